// Package distribution keeps the latest routing deltas and works out what a
// subscriber at any revision needs next: one delta that merges all it missed,
// or the whole snapshot where that is smaller. So a slow subscriber costs no
// queue: it is behind, and its next message is larger.
package distribution

import (
	"cmp"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// DefaultWindow is how many changed objects the deltas that are kept hold
// together. At about 20 bytes each on the wire and 60 in memory it is 12 MB.
const DefaultWindow = 200_000

// Estimated size of one object on the wire, in bytes.
const (
	shardBytes   = 20
	backendBytes = 90
	serviceBytes = 200
	removalBytes = 8
)

// Log collects deltas. One goroutine appends; the views that it returns may be
// read by any.
type Log struct {
	window int
	view   View
	held   int
}

// View is a Log at one moment. It is immutable.
type View struct {
	newest topology.Revision
	// deltas lie end to end: each begins where the one before ends.
	deltas []wire.RoutingDelta
	// snapshotBytes estimates a snapshot at the newest revision.
	snapshotBytes int
}

// NewLog returns an empty log that keeps deltas of at most window objects
// together; zero is DefaultWindow.
func NewLog(window int) *Log {
	if window == 0 {
		window = DefaultWindow
	}
	return &Log{window: window}
}

// Reset forgets all deltas: the state was replaced by a snapshot at newest.
func (l *Log) Reset(newest topology.Revision) {
	l.view = View{newest: newest}
	l.held = 0
}

// Append adds the next delta. Totals describe the state after it. A delta that
// changes nothing (From equals To) is left out.
func (l *Log) Append(delta wire.RoutingDelta, totals Totals) {
	if delta.From == delta.To {
		return
	}
	if delta.From != l.view.newest {
		l.Reset(delta.From)
	}
	l.view.deltas = append(l.view.deltas, delta)
	l.view.newest = delta.To
	l.view.snapshotBytes = totals.bytes()
	l.held += objects(&delta)
	l.trim()
}

func (l *Log) trim() {
	for l.held > l.window && len(l.view.deltas) > 1 {
		l.held -= objects(&l.view.deltas[0])
		l.view.deltas = l.view.deltas[1:]
	}
}

// View returns the log as it is now.
func (l *Log) View() *View {
	view := l.view
	return &view
}

// Totals counts the objects of the whole state.
type Totals struct{ Services, Backends, Shards int }

func (t Totals) bytes() int {
	return t.Services*serviceBytes + t.Backends*backendBytes + t.Shards*shardBytes
}

// objects counts a delta's objects, at least one.
func objects(delta *wire.RoutingDelta) int {
	removed := len(delta.RemovedServices) + len(delta.RemovedBackends) + len(delta.RemovedShards)
	return 1 + len(delta.Services) + len(delta.Backends) + len(delta.Shards) + removed
}

func deltaBytes(delta *wire.RoutingDelta) int {
	removed := len(delta.RemovedServices) + len(delta.RemovedBackends) + len(delta.RemovedShards)
	return len(delta.Services)*serviceBytes + len(delta.Backends)*backendBytes +
		len(delta.Shards)*shardBytes + removed*removalBytes
}

// Newest returns the newest revision.
func (v *View) Newest() topology.Revision { return v.newest }

// Since returns one delta from a revision to the newest, of the services named
// or of all. It reports false where the subscriber needs a snapshot: the deltas
// it missed are no longer kept, or a snapshot is smaller.
func (v *View) Since(from topology.Revision, services ...topology.ServiceID) (wire.RoutingDelta, bool) {
	first, found := v.position(from)
	if !found {
		return wire.RoutingDelta{}, false
	}
	missed := v.deltas[first:]
	if len(services) > 0 {
		missed = filterAll(missed, services)
	}
	merged := merge(missed)
	return merged, deltaBytes(&merged) <= v.snapshotBytes
}

// smallPart of a snapshot is what the deltas that lead on from an older one may
// have together for it to be sent in place of a new one.
const smallPart = 8

// LeadsOn reports whether the deltas kept lead from a revision to the newest and
// are small beside a snapshot.
func (v *View) LeadsOn(from topology.Revision) bool {
	if from == v.newest {
		return true
	}
	first, found := v.position(from)
	if !found {
		return false
	}
	missed := 0
	for index := range v.deltas[first:] {
		missed += deltaBytes(&v.deltas[first+index])
	}
	return missed <= v.snapshotBytes/smallPart
}

// position returns the place of the delta that begins at a revision.
func (v *View) position(from topology.Revision) (int, bool) {
	return slices.BinarySearchFunc(v.deltas, from, func(delta wire.RoutingDelta, at topology.Revision) int {
		return cmp.Compare(delta.From, at)
	})
}

func filterAll(deltas []wire.RoutingDelta, services []topology.ServiceID) []wire.RoutingDelta {
	filtered := make([]wire.RoutingDelta, len(deltas))
	for index := range deltas {
		filtered[index] = Filter(deltas[index], services)
	}
	return filtered
}

// Filter leaves in a delta only what concerns the services, all if none are
// named. ServiceOf tells the service of a removed back end; removals of unknown
// ones stay.
func Filter(delta wire.RoutingDelta, services []topology.ServiceID) wire.RoutingDelta {
	if len(services) == 0 {
		return delta
	}
	kept := wire.RoutingDelta{Group: delta.Group, From: delta.From, To: delta.To}
	wanted := func(id topology.ServiceID) bool { return slices.Contains(services, id) }
	kept.Services = keep(delta.Services, func(s topology.Service) bool { return wanted(s.ID) })
	kept.RemovedServices = keep(delta.RemovedServices, wanted)
	kept.Backends = keep(delta.Backends, func(b topology.Backend) bool { return wanted(b.Service) })
	kept.RemovedBackends = delta.RemovedBackends
	kept.Shards = keep(delta.Shards, func(s topology.Shard) bool { return wanted(s.ID.Service) })
	kept.RemovedShards = keep(delta.RemovedShards, func(id topology.ShardID) bool { return wanted(id.Service) })
	return kept
}

// FilterSnapshot leaves in a snapshot only the services, all if none are named.
func FilterSnapshot(snapshot wire.RoutingSnapshot, services []topology.ServiceID) wire.RoutingSnapshot {
	if len(services) == 0 {
		return snapshot
	}
	kept := wire.RoutingSnapshot{Group: snapshot.Group, Revision: snapshot.Revision}
	wanted := func(id topology.ServiceID) bool { return slices.Contains(services, id) }
	kept.Services = keep(snapshot.Services, func(s wire.ServiceRoutes) bool { return wanted(s.Service.ID) })
	kept.Backends = keep(snapshot.Backends, func(b topology.Backend) bool { return wanted(b.Service) })
	return kept
}

func keep[T any](all []T, wanted func(T) bool) []T {
	var kept []T
	for _, entry := range all {
		if wanted(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}
