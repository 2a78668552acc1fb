package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// bulkFrom is the size from which the body of an answer is paced, in bytes: at
	// the users' 8 Mbit/s it takes the link for 16 ms.
	bulkFrom = 16 << 10
	// bulkChunk is what is handed to the link at a time, in bytes. A small answer
	// waits for one of them at most, and for bulkBurst.
	bulkChunk = 16 << 10
	// bulkBurst is how much ahead of the link bodies may be handed over, so that it
	// never stands idle between two chunks.
	bulkBurst = 25 * time.Millisecond
	// bulkShare is the part of the link that paced bodies use: the rest is for
	// packet headers (40 of 1,500 bytes) and small answers.
	bulkShare = 0.93
	// bulkTurns is how many paced bodies are handed over at the same time. One after
	// the other they come sooner on the mean than all at once; more than one, so
	// that a reader that stands still doesn't hold up the others.
	bulkTurns = 3
)

// linkPacer hands large bodies to the machine's link no faster than it sends
// them. Otherwise they would queue there, in the buffers of many connections, and
// small answers, for which other requests are waiting, behind them.
type linkPacer struct {
	turns chan struct{}

	mutex sync.Mutex
	link  *overload.Link
}

// newLinkPacer returns the pacer of a link of a number of bytes a second; zero is
// unknown.
func newLinkPacer(bytesPerSecond float64) *linkPacer {
	link := overload.NewLink(bulkShare * bytesPerSecond)
	return &linkPacer{link: link, turns: make(chan struct{}, bulkTurns)}
}

// decide calls a function on the link at the present time.
func (p *linkPacer) decide(call func(link *overload.Link, now time.Time)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call(p.link, steady.Reading())
}

// admit keeps a part of the link for a large answer, to be given to settle once it
// is there or will never be.
func (p *linkPacer) admit(wanted overload.Transfer) (kept overload.Kept, ok bool) {
	p.decide(func(link *overload.Link, now time.Time) { kept, ok = link.Admit(wanted, now) })
	return kept, ok
}

// settle gives back what admit kept. Answered says that the answer has come, of a
// number of bytes.
func (p *linkPacer) settle(kept overload.Kept, answered bool, bytes int) {
	p.decide(func(link *overload.Link, _ time.Time) { link.Settle(kept, answered, bytes) })
}

// sent learns from a large answer that has left this machine whole.
func (p *linkPacer) sent(kept overload.Kept) {
	p.decide(func(link *overload.Link, now time.Time) { link.Sent(kept, now) })
}

// backlog is how long a large answer would wait for the link.
func (p *linkPacer) backlog() (busy time.Duration) {
	p.decide(func(link *overload.Link, now time.Time) { busy = link.Backlog(now) })
	return busy
}

// note counts bytes that go to the link, and returns for how long it is busy with
// those before.
func (p *linkPacer) note(bytes int) (busy time.Duration) {
	p.decide(func(link *overload.Link, now time.Time) { busy = link.Note(bytes, now) })
	return busy
}

// wait counts bytes that wait.
func (p *linkPacer) wait(bytes int) {
	p.decide(func(link *overload.Link, _ time.Time) { link.Wait(bytes) })
}

// write hands a body over, and reports whether all of it was. It returns early where
// the context ends or the reader is gone.
func (p *linkPacer) write(ctx context.Context, w http.ResponseWriter, body []byte) (whole bool) {
	if !p.link.Bounded() || len(body) < bulkFrom {
		p.note(len(body))
		_, err := w.Write(body)
		return err == nil
	}
	return p.copy(ctx, w, bytes.NewReader(body), len(body)) == nil
}

// copy hands a body of a known length over as it comes. It returns why it ended early: the
// source, the reader or the context.
func (p *linkPacer) copy(ctx context.Context, w http.ResponseWriter, source io.Reader, length int) error {
	p.wait(length)
	defer func() { p.wait(-length) }() // what is left of it
	select {
	case p.turns <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.turns }()
	buffer := make([]byte, min(bulkChunk, length))
	for length > 0 {
		chunk := buffer[:min(len(buffer), length)]
		if _, err := io.ReadFull(source, chunk); err != nil {
			return err
		}
		if !pauseFor(ctx, p.note(len(chunk))-bulkBurst) {
			return context.Cause(ctx)
		}
		if _, err := w.Write(chunk); err != nil {
			return err
		}
		p.wait(-len(chunk))
		length -= len(chunk)
	}
	return nil
}

// pauseFor waits, and reports whether the context still runs.
func pauseFor(ctx context.Context, pause time.Duration) bool {
	if pause <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
