package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// pieceBytes is the most that one read takes.
const pieceBytes = 32 << 10

// link is one connection through the proxy.
type link struct {
	proxy  *Proxy
	source func() string
	near   *net.TCPConn
	far    *net.TCPConn
	ctx    context.Context
	end    context.CancelFunc
}

func newLink(proxy *Proxy, source func() string, near, far *net.TCPConn) *link {
	ctx, end := context.WithCancel(proxy.ctx)
	return &link{proxy: proxy, source: source, near: near, far: far, ctx: ctx, end: end}
}

// run passes both directions on until both have ended or the link is broken.
func (l *link) run() {
	defer l.end()
	context.AfterFunc(l.ctx, func() {
		l.near.Close()
		l.far.Close()
	})
	var both sync.WaitGroup
	both.Go(func() { l.newFlow(Forward, l.near, l.far).run() })
	both.Go(func() { l.newFlow(Backward, l.far, l.near).run() })
	both.Wait()
}

// flow is one direction of a link. It remembers since which faults it counts
// bytes, and whether it lost any.
type flow struct {
	link      *link
	direction Direction
	from, to  *net.TCPConn
	fault     Fault
	passed    int64
	strikes   bool
	gap       bool
	lastDue   time.Time
}

func (l *link) newFlow(direction Direction, from, to *net.TCPConn) *flow {
	return &flow{link: l, direction: direction, from: from, to: to}
}

// piece is what one read took, with the time when it may be passed on.
type piece struct {
	data []byte
	due  time.Time
	end  bool
}

// maxPieces bounds what a delayed direction holds.
const maxPieces = 256

// errStruck means that the flow cut its connection on purpose.
var errStruck = errors.New("connection cut by a fault")

func (f *flow) run() {
	pieces := make(chan piece, maxPieces)
	go f.read(pieces)
	for taken := range pieces {
		if err := f.pass(taken); err != nil {
			f.link.end()
			break
		}
	}
	for range pieces {
		// The reader ends once the link is closed.
	}
}

// read takes pieces off the connection so that a delay does not slow the rate.
func (f *flow) read(pieces chan<- piece) {
	defer close(pieces)
	for {
		buffer := make([]byte, pieceBytes)
		count, err := f.from.Read(buffer)
		if count > 0 {
			pieces <- piece{data: buffer[:count], due: f.due()}
		}
		if err != nil {
			pieces <- piece{end: errors.Is(err, io.EOF), due: time.Now()}
			return
		}
	}
}

// due returns when a piece read now may be passed on: never before the piece
// ahead of it.
func (f *flow) due() time.Time {
	faults, _ := f.link.proxy.current(f.link.source)
	fault := faults.of(f.direction)
	delay := time.Duration(fault.Delay)
	if fault.Jitter > 0 {
		delay += time.Duration(float64(fault.Jitter) * f.link.proxy.draw())
	}
	if due := time.Now().Add(delay); due.After(f.lastDue) {
		f.lastDue = due
	}
	return f.lastDue
}

func (f *Faults) of(direction Direction) Fault {
	if direction == Forward {
		return f.Forward
	}
	return f.Backward
}

// pass does to one piece what the faults in force demand.
func (f *flow) pass(taken piece) error {
	if err := pause.For(f.link.ctx, time.Until(taken.due)); err != nil {
		return err
	}
	if err := f.awaitStallEnd(); err != nil {
		return err
	}
	if f.fault.Drop || f.gap {
		f.gap = true
		f.link.proxy.count(func(c *Counters) { c.BytesDropped += int64(len(taken.data)) })
		return nil
	}
	if taken.end {
		return f.to.CloseWrite()
	}
	if len(taken.data) == 0 {
		return net.ErrClosed
	}
	return f.write(taken.data)
}

// awaitStallEnd takes over the faults in force and waits while they stall.
func (f *flow) awaitStallEnd() error {
	for {
		faults, changed := f.link.proxy.current(f.link.source)
		if fault := faults.of(f.direction); fault != f.fault {
			f.fault = fault
			f.passed = 0
			f.strikes = fault.Probability == 0 || f.link.proxy.draw() < fault.Probability
		}
		if !f.fault.Stall {
			return nil
		}
		select {
		case <-changed:
		case <-f.link.ctx.Done():
			return f.link.ctx.Err()
		}
	}
}

func (f *flow) write(data []byte) error {
	limit, strike := f.limit()
	whole := limit < 0 || f.passed+int64(len(data)) < limit
	if !whole {
		data = data[:max(0, limit-f.passed)]
	}
	count, err := f.to.Write(data)
	f.passed += int64(count)
	f.countPassed(int64(count))
	if err != nil || whole {
		return err
	}
	strike()
	return errStruck
}

// limit returns after how many bytes the connection is to be cut, or -1, and
// how.
func (f *flow) limit() (int64, func()) {
	switch {
	case !f.strikes:
		return -1, nil
	case f.fault.TruncateAfter > 0:
		return f.fault.TruncateAfter, f.truncate
	case f.fault.ResetAfter > 0:
		return f.fault.ResetAfter, f.reset
	}
	return -1, nil
}

func (f *flow) truncate() {
	f.link.proxy.count(func(c *Counters) { c.Truncated++ })
	f.to.CloseWrite()
	f.to.Close()
}

func (f *flow) reset() {
	f.link.proxy.count(func(c *Counters) { c.Reset++ })
	reset(f.to)
}

func (f *flow) countPassed(count int64) {
	f.link.proxy.count(func(c *Counters) {
		if f.direction == Forward {
			c.BytesForward += count
		} else {
			c.BytesBackward += count
		}
	})
}
