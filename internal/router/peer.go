package router

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission/gate"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// peer is one back end's agent as this router sees it: its connections, the
// requests in progress there, and what came of earlier ones.
type peer struct {
	id      topology.BackendID
	address string
	// near says that it is in the router's own zone.
	near bool
	// pool is nil where the address is not usable.
	pool *upstream.Pool
	// gate orders the requests that wait for one of the pool's connections.
	gate *gate.Gate
	// running counts requests that wait for a connection or whose answers were
	// not yet read to the end.
	running  atomic.Int64
	observed observation
	attempts attemptList
	breaker  breaker

	completed atomic.Uint32
	failed    atomic.Uint32
	timedOut  atomic.Uint32
}

// queuedPerConnection is how many requests may wait for each connection to a
// back end.
const queuedPerConnection = 10

// Costs of a peer that is not answering as it should.
const (
	// failureCost is the least latency that a failed attempt counts as: a back
	// end that fails fast must not look fast.
	failureCost = time.Second
	// unseenCost is the latency assumed of a peer before any was seen.
	unseenCost = time.Millisecond
	// costHalfLife is how fast an observation fades while none is made, after
	// which a peer that failed is tried again.
	costHalfLife = 5 * time.Second
	// costWindow is over what time observations are averaged.
	costWindow = time.Second
)

// observation is a moving average of what attempts at a peer cost. It rises at
// once with a worse sample and falls over costWindow, so that trouble is seen
// with the first request ("peak EWMA", as in Twitter's Finagle).
type observation struct {
	mutex sync.Mutex
	cost  float64 // seconds
	at    time.Duration
}

// add takes a sample made at now.
func (o *observation) add(now time.Duration, sample time.Duration) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	seconds := sample.Seconds()
	if seconds >= o.cost {
		o.cost = seconds
	} else {
		keep := math.Exp(-(now - o.at).Seconds() / costWindow.Seconds())
		o.cost = o.cost*keep + seconds*(1-keep)
	}
	o.at = now
}

// read returns the expected latency in seconds at now.
func (o *observation) read(now time.Duration) float64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.cost == 0 {
		return unseenCost.Seconds()
	}
	faded := o.cost * math.Exp2(-(now-o.at).Seconds()/costHalfLife.Seconds())
	return max(faded, unseenCost.Seconds())
}

// cost is what one more request is expected to cost here.
func (p *peer) cost(now time.Duration) float64 {
	return float64(p.running.Load()+1) * p.observed.read(now)
}

// refusedLocally counts an attempt that got no connection in time. The peer was
// not asked, so the controllers are told nothing of it.
func (p *peer) refusedLocally(now time.Duration, result attemptResult) {
	if result.kind == attemptRefused {
		p.observed.add(now, failureCost)
	}
}

// ended counts what came of an attempt. The latency of bulk work says nothing
// of how fast a look-up would be.
func (p *peer) ended(now, latency time.Duration, result attemptKind, class topology.RequestClass) {
	switch result {
	case attemptAbandoned:
		return
	case attemptAnswered:
		p.completed.Add(1)
		if class != topology.ClassBulk {
			p.observed.add(now, latency)
		}
		return
	case attemptTimedOut:
		p.timedOut.Add(1)
	case attemptNotSent, attemptUnknown:
		p.failed.Add(1)
	}
	p.observed.add(now, max(latency, failureCost))
}

// takeCounts returns the outcomes since the last call.
func (p *peer) takeCounts() (wire.ObservedBackend, bool) {
	counts := wire.ObservedBackend{
		Backend:   p.id,
		Completed: p.completed.Swap(0),
		Failed:    p.failed.Swap(0),
		TimedOut:  p.timedOut.Swap(0),
	}
	return counts, counts.Completed+counts.Failed+counts.TimedOut > 0
}
