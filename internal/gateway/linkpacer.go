package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"
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
	// rate of paced bodies in bytes a second; zero is no bound.
	rate  float64
	turns chan struct{}

	mutex sync.Mutex
	// free is when the link will have sent what was handed over.
	free time.Time
	// waiting are the bytes of paced bodies that were not handed over yet.
	waiting int
	use     linkUse
}

// newLinkPacer returns the pacer of a link of a number of bytes a second; zero is
// unknown.
func newLinkPacer(bytesPerSecond float64) *linkPacer {
	return &linkPacer{rate: bulkShare * bytesPerSecond, turns: make(chan struct{}, bulkTurns), use: linkUse{at: time.Now()}}
}

// write hands a body over. It returns early, with only a part written, where the
// context ends or the reader is gone.
func (p *linkPacer) write(ctx context.Context, w http.ResponseWriter, body []byte) {
	if p.rate <= 0 || len(body) < bulkFrom {
		p.note(len(body), time.Now())
		_, _ = w.Write(body)
		return
	}
	p.wait(len(body))
	defer func() { p.wait(-len(body)) }() // what is left of it
	select {
	case p.turns <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-p.turns }()
	for len(body) > 0 {
		chunk := body[:min(bulkChunk, len(body))]
		if !pauseFor(ctx, p.note(len(chunk), time.Now())-bulkBurst) {
			return
		}
		if _, err := w.Write(chunk); err != nil {
			return
		}
		p.wait(-len(chunk))
		body = body[len(chunk):]
	}
}

// wait counts bytes that wait.
func (p *linkPacer) wait(bytes int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.advance(time.Now())
	p.waiting += bytes
}

// note counts bytes that go to the link, and returns for how long it is busy with
// those before.
func (p *linkPacer) note(bytes int, now time.Time) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.advance(now)
	if p.free.Before(now) {
		p.free = now
	}
	busy := p.free.Sub(now)
	p.free = p.free.Add(p.timeFor(bytes))
	return busy
}

// backlog is how long the link takes for what was handed over, what waits, and the
// large answers that are being made.
func (p *linkPacer) backlog(now time.Time) time.Duration {
	if p.rate <= 0 {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.backlogLocked(now)
}

// backlogLocked is backlog for who has the mutex.
func (p *linkPacer) backlogLocked(now time.Time) time.Duration {
	return max(p.free.Sub(now), 0) + p.timeFor(p.waiting+p.use.coming)
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
