package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// minPacedBody is the size from which the body of a response is paced, in bytes: it occupies
	// a link of 8 Mbit/s, as the users' machines have, for 16 ms.
	minPacedBody = 16 << 10
	// pacedChunk is how much is written to the link at a time, in bytes. A small response
	// waits for at most one chunk and maxPacingLead.
	pacedChunk = 16 << 10
	// maxPacingLead is how far ahead of the link bodies may be written, so that the link is
	// never idle between two chunks.
	maxPacingLead = 25 * time.Millisecond
	// pacedLinkFraction is the fraction of the link's rate that paced bodies use. The rest
	// is for packet headers (40 of 1,500 bytes) and small responses.
	pacedLinkFraction = 0.93
	// maxPacedWriters is how many paced bodies are written concurrently, apart from those that
	// wait for their reader or their source. Sent one after the other, bodies arrive earlier
	// on average than all at once.
	maxPacedWriters = 3
	// maxStall is how long a body may wait for its reader or its source and keep its place. It
	// is longer than a pause of this process by a CPU quota (100 ms).
	maxStall = 200 * time.Millisecond
)

// linkPacer writes large bodies one after the other and no faster than the machine's network link sends them.
// Otherwise they would queue in the socket buffers of many connections, and small responses,
// for which other requests are waiting, would queue behind them. A body that waits for its reader
// or its source does not keep the others from the link.
type linkPacer struct {
	places linkPlaces

	mutex sync.Mutex
	link  *overload.Link
}

// newLinkPacer returns the pacer of a link with a rate in bytes per second; zero means
// unknown.
func newLinkPacer(bytesPerSecond float64) *linkPacer {
	link := overload.NewLink(pacedLinkFraction * bytesPerSecond)
	p := &linkPacer{link: link}
	p.places.busy = func() time.Duration { return p.countSent(0) }
	return p
}

// withLink calls a function on the link at the present time, with the mutex held.
func (p *linkPacer) withLink(call func(link *overload.Link, now time.Time)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	call(p.link, steady.Reading())
}

// admit reserves link capacity for a large response. The reservation must be passed to
// settle once the response has arrived or can't arrive any more.
func (p *linkPacer) admit(wanted overload.Transfer) (reservation overload.Reservation, ok bool) {
	p.withLink(func(link *overload.Link, now time.Time) { reservation, ok = link.Admit(wanted, now) })
	return reservation, ok
}

// settle ends the reservation of admit. answered is set if the response has arrived, with a
// body of the given number of bytes.
func (p *linkPacer) settle(reservation overload.Reservation, answered bool, bytes int) {
	p.withLink(func(link *overload.Link, _ time.Time) { link.Release(reservation, answered, bytes) })
}

// backlog is how long a large response would wait for the link.
func (p *linkPacer) backlog() (busy time.Duration) {
	p.withLink(func(link *overload.Link, now time.Time) { busy = link.Backlog(now) })
	return busy
}

// longestWrite returns how long a body takes to be written, beside as many others as are written at
// a time.
func (p *linkPacer) longestWrite(length int) time.Duration {
	if !p.link.Bounded() || length < minPacedBody {
		return 0
	}
	return p.countSent(0) + maxPacedWriters*p.link.TimeFor(length)
}

// countSent counts bytes that are written to the link and returns how long the link is busy
// with the bytes before them.
func (p *linkPacer) countSent(bytes int) (busy time.Duration) {
	p.withLink(func(link *overload.Link, now time.Time) { busy = link.AddSent(bytes, now) })
	return busy
}

// sleep sleeps and reports whether the context is still active.
func sleep(ctx context.Context, pause time.Duration) bool {
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
