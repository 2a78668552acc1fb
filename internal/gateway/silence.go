package gateway

import (
	"context"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

const (
	// probeAfterIntervals is the number of intervals without contact after which the gateway
	// probes whether the back end's process is still there: a single heartbeat may be late.
	probeAfterIntervals = 2
	// silentAfterIntervals is the number after which the leader is told that the back end is
	// silent. It was set when grants lasted about as long at most, so that a back end that
	// returned earlier had not lost its keys.
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
	instance, unheard := g.registry.countInterval()
	if instance == "" || unheard < probeAfterIntervals {
		return
	}
	g.probeBackend(instance)
	if unheard == silentAfterIntervals {
		g.config.Log.Warn("back end is silent", "instance", instance, "intervals", unheard, "interval_ms", g.config.HeartbeatInterval.Milliseconds())
		g.session.requestReport()
	}
}

// countInterval counts an interval without contact with the current instance, and returns
// their number; the instance is empty if none is known or it is unreachable.
func (r *registry) countInterval() (instance string, unheard int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.current.ID == "" || r.current.State == fleetwire.InstanceGone {
		return "", 0
	}
	r.unheardIntervals++
	return r.current.ID, r.unheardIntervals
}

// recordContact records contact with the back end other than a heartbeat.
func (r *registry) recordContact(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if instance == r.current.ID {
		r.unheardIntervals = 0
	}
}

// silent reports whether the back end has neither sent a heartbeat nor confirmed a grant for
// silentAfterIntervals intervals.
func (r *registry) silent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unheardIntervals >= silentAfterIntervals
}
