// Package distribution keeps the latest routing deltas and computes what a
// subscriber at any revision needs next: one delta that merges all the deltas it
// missed, or a snapshot if that is smaller. No queue per subscriber is needed: a
// slow one gets fewer and larger messages.
package distribution

import (
	"cmp"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// DefaultWindow is the default limit on the total number of changed objects in
// the deltas that are kept. At about 60 bytes each in memory (20 on the wire)
// they take 12 MB.
const DefaultWindow = 200_000

// Estimated sizes of one object on the wire, in bytes.
const (
	shardBytes   = 20
	backendBytes = 90
	serviceBytes = 200
	removalBytes = 8
)

// Log collects deltas. Only one goroutine may use a Log; the views that it
// returns may be read by any goroutine.
type Log struct {
	window      int
	view        View
	objectCount int
}

// View is an immutable view of a Log at one point in time.
type View struct {
	newest topology.Revision
	// deltas are contiguous: each begins at the revision where the one before
	// ends.
	deltas []wire.RoutingDelta
	// snapshotBytes estimates a snapshot at the newest revision.
	snapshotBytes int
}

// NewLog returns an empty log that keeps deltas with at most window objects in
// total; zero means DefaultWindow.
func NewLog(window int) *Log {
	if window == 0 {
		window = DefaultWindow
	}
	return &Log{window: window}
}

// Reset drops all deltas, as the state was replaced by a snapshot at revision
// newest.
func (l *Log) Reset(newest topology.Revision) {
	l.view = View{newest: newest}
	l.objectCount = 0
}

// Append adds the next delta; totals describes the state after it. An empty delta
// (From equals To) is ignored. A delta that does not begin at the newest revision
// replaces all earlier ones.
func (l *Log) Append(delta wire.RoutingDelta, totals Totals) {
	if delta.From == delta.To {
		return
	}
	if delta.From != l.view.newest {
		l.Reset(delta.From)
	}
	l.view.deltas = append(l.view.deltas, delta)
	l.view.newest = delta.To
	l.view.snapshotBytes = totals.estimatedBytes()
	l.objectCount += countObjects(&delta)
	l.trim()
}

func (l *Log) trim() {
	for l.objectCount > l.window && len(l.view.deltas) > 1 {
		l.objectCount -= countObjects(&l.view.deltas[0])
		l.view.deltas = l.view.deltas[1:]
	}
}

// View returns a view of the current log.
func (l *Log) View() *View {
	view := l.view
	return &view
}

// Totals counts the objects of the whole state.
type Totals struct{ Services, Backends, Shards int }

func (t Totals) estimatedBytes() int {
	return t.Services*serviceBytes + t.Backends*backendBytes + t.Shards*shardBytes
}

// countObjects returns the number of objects in a delta plus one, so that empty
// deltas also count.
func countObjects(delta *wire.RoutingDelta) int {
	removed := len(delta.RemovedServices) + len(delta.RemovedBackends) + len(delta.RemovedShards)
	return 1 + len(delta.Services) + len(delta.Backends) + len(delta.Shards) + removed
}

func estimatedDeltaBytes(delta *wire.RoutingDelta) int {
	removed := len(delta.RemovedServices) + len(delta.RemovedBackends) + len(delta.RemovedShards)
	return len(delta.Services)*serviceBytes + len(delta.Backends)*backendBytes +
		len(delta.Shards)*shardBytes + removed*removalBytes
}

// Newest returns the newest revision.
func (v *View) Newest() topology.Revision { return v.newest }

// Since returns one delta from a revision to the newest, for the given services
// or, if there are none, for all. It reports false if the subscriber needs a
// snapshot because a delta that it missed is no longer kept or a snapshot is
// smaller.
func (v *View) Since(from topology.Revision, services ...topology.ServiceID) (wire.RoutingDelta, bool) {
	first, found := v.indexOf(from)
	if !found {
		return wire.RoutingDelta{}, false
	}
	missed := v.deltas[first:]
	if len(services) > 0 {
		missed = filterDeltas(missed, services)
	}
	merged := merge(missed)
	return merged, estimatedDeltaBytes(&merged) <= v.snapshotBytes
}

// maxExtensionDivisor limits the deltas with which an older snapshot may be sent
// instead of a new one: to the size of a snapshot divided by it.
const maxExtensionDivisor = 8

// CanExtend reports whether a snapshot at a revision can be brought up to date by
// the deltas that are kept, and these are small compared with a snapshot.
func (v *View) CanExtend(from topology.Revision) bool {
	if from == v.newest {
		return true
	}
	first, found := v.indexOf(from)
	if !found {
		return false
	}
	missed := 0
	for index := range v.deltas[first:] {
		missed += estimatedDeltaBytes(&v.deltas[first+index])
	}
	return missed <= v.snapshotBytes/maxExtensionDivisor
}

// indexOf returns the index of the delta that begins at a revision.
func (v *View) indexOf(from topology.Revision) (int, bool) {
	return slices.BinarySearchFunc(v.deltas, from, func(delta wire.RoutingDelta, at topology.Revision) int {
		return cmp.Compare(delta.From, at)
	})
}

func filterDeltas(deltas []wire.RoutingDelta, services []topology.ServiceID) []wire.RoutingDelta {
	filtered := make([]wire.RoutingDelta, len(deltas))
	for index := range deltas {
		filtered[index] = Filter(deltas[index], services)
	}
	return filtered
}

// Filter returns the part of a delta that concerns the given services, or all of
// it if there are none. Removals of back ends are always kept, as they do not
// name the service.
func Filter(delta wire.RoutingDelta, services []topology.ServiceID) wire.RoutingDelta {
	if len(services) == 0 {
		return delta
	}
	kept := wire.RoutingDelta{Group: delta.Group, From: delta.From, To: delta.To}
	wanted := func(id topology.ServiceID) bool { return slices.Contains(services, id) }
	kept.Services = filterSlice(delta.Services, func(s topology.Service) bool { return wanted(s.ID) })
	kept.RemovedServices = filterSlice(delta.RemovedServices, wanted)
	kept.Backends = filterSlice(delta.Backends, func(b topology.Backend) bool { return wanted(b.Service) })
	kept.RemovedBackends = delta.RemovedBackends
	kept.Shards = filterSlice(delta.Shards, func(s topology.Shard) bool { return wanted(s.ID.Service) })
	kept.RemovedShards = filterSlice(delta.RemovedShards, func(id topology.ShardID) bool { return wanted(id.Service) })
	return kept
}

// FilterSnapshot returns the part of a snapshot that concerns the given services,
// or all of it if there are none.
func FilterSnapshot(snapshot wire.RoutingSnapshot, services []topology.ServiceID) wire.RoutingSnapshot {
	if len(services) == 0 {
		return snapshot
	}
	kept := wire.RoutingSnapshot{Group: snapshot.Group, Revision: snapshot.Revision}
	wanted := func(id topology.ServiceID) bool { return slices.Contains(services, id) }
	kept.Services = filterSlice(snapshot.Services, func(s wire.ServiceRoutes) bool { return wanted(s.Service.ID) })
	kept.Backends = filterSlice(snapshot.Backends, func(b topology.Backend) bool { return wanted(b.Service) })
	return kept
}

func filterSlice[T any](all []T, wanted func(T) bool) []T {
	var kept []T
	for _, entry := range all {
		if wanted(entry) {
			kept = append(kept, entry)
		}
	}
	return kept
}
