package gateway

import (
	"context"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

const (
	// probeAfterIntervals is the number of intervals without contact after which the gateway
	// probes whether the back end's process is still there: a single heartbeat may be late.
	probeAfterIntervals = 2
	// silentAfterIntervals is the number after which the back end is reported to the leader as
	// silent.
	silentAfterIntervals = 4
)

// watchSilence counts the intervals without contact with the back end. It counts intervals
// instead of comparing times, so that a gateway that was itself stalled for seconds misses
// only one of them.
func (g *Gateway) watchSilence(ctx context.Context) {
	runEvery(ctx, g.config.HeartbeatInterval, g.checkSilence)
}

// checkSilence counts one interval, and probes or reports the back end after too many without
// contact.
func (g *Gateway) checkSilence() {
	instance, missed := g.registry.countInterval()
	if instance == "" || missed < probeAfterIntervals {
		return
	}
	g.probeBackend(instance)
	if missed == silentAfterIntervals {
		g.config.Log.Warn("back end is silent", "instance", instance, "intervals", missed, "interval_ms", g.config.HeartbeatInterval.Milliseconds())
		g.session.requestReport()
	}
}

// countInterval counts an interval without contact with the current instance, and returns
// their number; the instance is empty if none is known or it is unreachable.
func (r *registry) countInterval() (instance string, missed int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.current.ID == "" || r.current.State == fleetwire.InstanceGone {
		return "", 0
	}
	r.missedIntervals++
	return r.current.ID, r.missedIntervals
}

// recordContact records contact with the back end other than a heartbeat.
func (r *registry) recordContact(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if instance == r.current.ID {
		r.missedIntervals = 0
	}
}

// silent reports whether the back end has neither sent a heartbeat nor confirmed a grant for
// silentAfterIntervals intervals.
func (r *registry) silent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.missedIntervals >= silentAfterIntervals
}
