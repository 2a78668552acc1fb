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

// chunkBytes is the maximum size of one read.
const chunkBytes = 32 << 10

// proxiedConnection is one connection through the proxy. source returns the
// source of its faults (see Config.Source).
type proxiedConnection struct {
	proxy  *Proxy
	source func() string
	client *net.TCPConn
	server *net.TCPConn
	ctx    context.Context
	cancel context.CancelFunc
}

func newProxiedConnection(proxy *Proxy, source func() string, client, server *net.TCPConn) *proxiedConnection {
	ctx, cancel := context.WithCancel(proxy.ctx)
	return &proxiedConnection{proxy: proxy, source: source, client: client, server: server, ctx: ctx, cancel: cancel}
}

// run forwards both directions until both have ended or one has failed.
func (c *proxiedConnection) run() {
	defer c.cancel()
	context.AfterFunc(c.ctx, func() {
		c.client.Close()
		c.server.Close()
	})
	var both sync.WaitGroup
	both.Go(func() { c.newStream(Forward, c.client, c.server).run() })
	both.Go(func() { c.newStream(Backward, c.server, c.client).run() })
	both.Wait()
}

// stream is one direction of a proxiedConnection.
type stream struct {
	connection *proxiedConnection
	direction  Direction
	from, to   *net.TCPConn
	// fault is the fault in effect as of the last delivered chunk.
	fault Fault
	// forwarded counts the bytes forwarded since fault took effect.
	forwarded int64
	// triggered is whether TruncateAfter or ResetAfter of fault applies to this
	// stream, which Probability decides.
	triggered bool
	// lostBytes is set once the stream has dropped a chunk.
	lostBytes bool
	// lastDue is when the last chunk read may be forwarded.
	lastDue time.Time
}

func (c *proxiedConnection) newStream(direction Direction, from, to *net.TCPConn) *stream {
	return &stream{connection: c, direction: direction, from: from, to: to}
}

// chunk is the data of one read and the earliest time to forward it. Its data is
// empty when the connection has ended; eof then means that it ended with FIN.
type chunk struct {
	data []byte
	due  time.Time
	eof  bool
}

// maxBufferedChunks bounds the chunks that a stream buffers while it delays them.
const maxBufferedChunks = 256

// errCutByFault means that a fault truncated or reset the connection.
var errCutByFault = errors.New("connection cut by a fault")

func (s *stream) run() {
	chunks := make(chan chunk, maxBufferedChunks)
	go s.read(chunks)
	for next := range chunks {
		if err := s.deliver(next); err != nil {
			s.connection.cancel()
			break
		}
	}
	for range chunks {
		// Drain until read returns, which it does once the connections are closed.
	}
}

// read reads chunks ahead of deliver, so that a delay does not reduce the
// throughput.
func (s *stream) read(chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		count, err := s.from.Read(buffer)
		if count > 0 {
			chunks <- chunk{data: buffer[:count], due: s.due()}
		}
		if err != nil {
			chunks <- chunk{eof: errors.Is(err, io.EOF), due: time.Now()}
			return
		}
	}
}

// due returns the earliest time to forward a chunk that is read now, which is
// never before that of the chunk ahead of it.
func (s *stream) due() time.Time {
	faults, _ := s.connection.proxy.currentFaults(s.connection.source)
	fault := faults.of(s.direction)
	delay := time.Duration(fault.Delay)
	if fault.Jitter > 0 {
		delay += time.Duration(float64(fault.Jitter) * s.connection.proxy.randomFloat())
	}
	if due := time.Now().Add(delay); due.After(s.lastDue) {
		s.lastDue = due
	}
	return s.lastDue
}

func (f *Faults) of(direction Direction) Fault {
	if direction == Forward {
		return f.Forward
	}
	return f.Backward
}

// deliver applies the faults in effect to one chunk and forwards what remains.
func (s *stream) deliver(next chunk) error {
	if err := pause.For(s.connection.ctx, time.Until(next.due)); err != nil {
		return err
	}
	if err := s.awaitUnstalled(); err != nil {
		return err
	}
	if s.fault.Drop || s.lostBytes {
		s.lostBytes = true
		s.connection.proxy.updateCounters(func(c *Counters) { c.BytesDropped += int64(len(next.data)) })
		return nil
	}
	if next.eof {
		return s.to.CloseWrite()
	}
	if len(next.data) == 0 {
		return net.ErrClosed
	}
	return s.write(next.data)
}

// awaitUnstalled updates the stream's fault to the one in effect and waits while
// that is a stall.
func (s *stream) awaitUnstalled() error {
	for {
		faults, changed := s.connection.proxy.currentFaults(s.connection.source)
		if fault := faults.of(s.direction); fault != s.fault {
			s.fault = fault
			s.forwarded = 0
			s.triggered = fault.Probability == 0 || s.connection.proxy.randomFloat() < fault.Probability
		}
		if !s.fault.Stall {
			return nil
		}
		select {
		case <-changed:
		case <-s.connection.ctx.Done():
			return s.connection.ctx.Err()
		}
	}
}

func (s *stream) write(data []byte) error {
	limit, cut := s.cutAfter()
	complete := limit < 0 || s.forwarded+int64(len(data)) < limit
	if !complete {
		data = data[:max(0, limit-s.forwarded)]
	}
	count, err := s.to.Write(data)
	s.forwarded += int64(count)
	s.countForwarded(int64(count))
	if err != nil || complete {
		return err
	}
	cut()
	return errCutByFault
}

// cutAfter returns the number of bytes after which to cut the connection and the
// function that cuts it, or -1 if it is not to be cut.
func (s *stream) cutAfter() (int64, func()) {
	switch {
	case !s.triggered:
		return -1, nil
	case s.fault.TruncateAfter > 0:
		return s.fault.TruncateAfter, s.truncate
	case s.fault.ResetAfter > 0:
		return s.fault.ResetAfter, s.reset
	}
	return -1, nil
}

func (s *stream) truncate() {
	s.connection.proxy.updateCounters(func(c *Counters) { c.Truncated++ })
	s.to.CloseWrite()
	s.to.Close()
}

func (s *stream) reset() {
	s.connection.proxy.updateCounters(func(c *Counters) { c.Reset++ })
	reset(s.to)
}

func (s *stream) countForwarded(count int64) {
	s.connection.proxy.updateCounters(func(c *Counters) {
		if s.direction == Forward {
			c.BytesForward += count
		} else {
			c.BytesBackward += count
		}
	})
}
