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

// endpoint is the agent of one back end: the router's connections to it, the
// requests in progress there, and the results of earlier attempts.
type endpoint struct {
	id      topology.BackendID
	address string
	// sameZone is set if the back end is in the router's own zone.
	sameZone bool
	// pool is nil if the gate or the pool could not be created.
	pool *upstream.Pool
	// gate queues the requests that wait for one of the pool's connections.
	gate *gate.Gate
	// inFlight counts the requests that wait for a connection or whose responses
	// have not been read completely.
	inFlight atomic.Int64
	latency  peakEWMA
	pending  pendingAttempts
	breaker  breaker

	completed atomic.Uint32
	failed    atomic.Uint32
	timedOut  atomic.Uint32
}

// queuedPerConnection is how many requests may wait per connection to a back
// end.
const queuedPerConnection = 10

// Parameters of the latency estimate that is used for load balancing.
const (
	// minimumFailureLatency is the minimum latency recorded for a failed attempt,
	// so that a back end that fails quickly does not attract load.
	minimumFailureLatency = time.Second
	// minimumLatency is the estimate before the first sample and the minimum
	// afterwards.
	minimumLatency = time.Millisecond
	// latencyHalfLife is the half-life of the estimate while there are no new
	// samples. The decay lets an endpoint that failed be tried again.
	latencyHalfLife = 5 * time.Second
	// latencyWindow is the time constant of the moving average.
	latencyWindow = time.Second
)

// peakEWMA is a moving average of the latency of attempts ("peak EWMA", as in
// Twitter's Finagle). It rises to a higher sample immediately and falls over
// latencyWindow, so that the first slow request already takes effect.
type peakEWMA struct {
	mutex   sync.Mutex
	average float64 // seconds
	updated time.Duration
}

// observe adds a sample taken at now.
func (l *peakEWMA) observe(now time.Duration, sample time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	seconds := sample.Seconds()
	if seconds >= l.average {
		l.average = seconds
	} else {
		weight := math.Exp(-(now - l.updated).Seconds() / latencyWindow.Seconds())
		l.average = l.average*weight + seconds*(1-weight)
	}
	l.updated = now
}

// estimate returns the expected latency at now, in seconds.
func (l *peakEWMA) estimate(now time.Duration) float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.average == 0 {
		return minimumLatency.Seconds()
	}
	decayed := l.average * math.Exp2(-(now-l.updated).Seconds()/latencyHalfLife.Seconds())
	return max(decayed, minimumLatency.Seconds())
}

// cost returns the cost of sending one more request to this endpoint: the
// expected latency times the requests that would then be in flight.
func (e *endpoint) cost(now time.Duration) float64 {
	return float64(e.inFlight.Load()+1) * e.latency.estimate(now)
}

// recordGateError records an attempt that got no connection in time. Nothing
// was sent to the endpoint, so the attempt is not reported to the controllers.
func (e *endpoint) recordGateError(now time.Duration, result attemptResult) {
	if result.kind == attemptRejected {
		e.latency.observe(now, minimumFailureLatency)
	}
}

// recordResult records the result of an attempt. The latency of bulk requests
// is ignored, because it does not predict that of a lookup.
func (e *endpoint) recordResult(now, latency time.Duration, result attemptKind, class topology.RequestClass) {
	switch result {
	case attemptAbandoned:
		return
	case attemptAnswered:
		e.completed.Add(1)
		if class != topology.ClassBulk {
			e.latency.observe(now, latency)
		}
		return
	case attemptTimedOut:
		e.timedOut.Add(1)
	case attemptNotSent, attemptUnknown:
		e.failed.Add(1)
	}
	e.latency.observe(now, max(latency, minimumFailureLatency))
}

// takeCounts returns the counts of outcomes since the last call, and whether
// any is above zero.
func (e *endpoint) takeCounts() (wire.ObservedBackend, bool) {
	counts := wire.ObservedBackend{
		Backend:   e.id,
		Completed: e.completed.Swap(0),
		Failed:    e.failed.Swap(0),
		TimedOut:  e.timedOut.Swap(0),
	}
	return counts, counts.Completed+counts.Failed+counts.TimedOut > 0
}
