package gateway

import (
	"context"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

const (
	// probeAfterBeats is after how many intervals without a heartbeat it is probed
	// whether the back end's process is still there: one may be late.
	probeAfterBeats = 2
	// silentBeats is after how many the leader is told that the back end is
	// silent. Keys were held for holdFor at most, about as long, so that a back end
	// that comes back earlier has not lost its keys.
	silentBeats = 4
)

// watchSilence counts the intervals in which nothing was heard of the back end.
// Intervals are counted and not times compared: a gateway that stood still for
// seconds itself has missed no more than one of its own.
func (g *Gateway) watchSilence(ctx context.Context) {
	each(ctx, g.config.HeartbeatInterval, g.noteInterval)
}

// noteInterval counts one interval, and acts where too many were silent.
func (g *Gateway) noteInterval() {
	instance, unheard := g.registry.countInterval()
	if instance == "" || unheard < probeAfterBeats {
		return
	}
	g.probe(instance)
	if unheard == silentBeats {
		g.config.Log.Warn("back end is silent", "instance", instance, "intervals", unheard, "interval_ms", g.config.HeartbeatInterval.Milliseconds())
		g.session.report()
	}
}

// countInterval counts an interval without a word of the present instance, and
// returns how many there are now; no instance where its end is known.
func (r *registry) countInterval() (instance string, unheard int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.current.ID == "" || r.current.State == fleetwire.InstanceGone {
		return "", 0
	}
	r.unheard++
	return r.current.ID, r.unheard
}

// heard notes a word of the back end other than a heartbeat.
func (r *registry) heard(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if instance == r.current.ID {
		r.unheard = 0
	}
}

// silent says that the back end has neither sent a heartbeat nor confirmed keys
// for silentBeats intervals.
func (r *registry) silent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.unheard >= silentBeats
}
