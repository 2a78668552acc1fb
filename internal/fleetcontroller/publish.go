package fleetcontroller

import (
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetview"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

const (
	// publishIntervalPerSession, multiplied by the number of sessions, is the minimum time between
	// two views. It combines changes that happen close together and limits the senders'
	// share of the CPU: a message takes about 0.1 ms of the 0.24 cores that the users'
	// machines have.
	publishIntervalPerSession = 700 * time.Microsecond
	// maxPublishInterval limits that time: gateways should know about a change of owner within
	// 250 ms.
	maxPublishInterval = 200 * time.Millisecond
	// incompleteFactor multiplies that time while a new leader doesn't know all instances
	// yet. All gateways connect to it at once then, and meanwhile they keep the instances
	// that they know.
	incompleteFactor = 3
)

// view is an immutable copy of what gateways need to route requests.
type view struct {
	document  *fleetwire.Shared[*routeconfig.Document]
	owners    *ownerSet
	instances *instanceSet
	// evacuated holds the evacuated zones, and evacuationsIndex is the log index of their
	// last change.
	evacuated        []string
	evacuationsIndex uint64
	// suspects are the requests during which back ends have crashed, and quarantineIndex is
	// the log index of their last change.
	suspects        []quarantine.Suspect
	quarantineIndex uint64
	// term is that of the leader; complete is set once it knows all instances.
	term        uint64
	complete    bool
	controllers []string
}

// maxDeltas is how many versions of a set a session may be behind to be sent deltas; one that
// is further behind gets a snapshot.
const maxDeltas = 24

// delta holds the changes from the set numbered from to the next one. The changes are computed
// once for all sessions, when they are first sent. They aren't packed: unpacking them
// one by one would cost a gateway more for gob's type information than for the changes.
type delta[Changes any] struct {
	from    uint64
	changes func() Changes
}

// diffable is a set of which changes can be sent: fleetview.Instances or fleetview.Owners.
type diffable[Set, Changes any] interface {
	Digest() uint64
	Snapshot() Changes
	ChangesFrom(earlier Set) Changes
}

// history is a set with the last deltas that lead to it, and a packed snapshot for sessions to
// which they don't apply. Each is computed at most once, when it is first sent, so the leader's
// work doesn't depend on how far the sessions are behind.
type history[Set diffable[Set, Changes], Changes any] struct {
	set Set
	// number identifies the set among all of its type in a term.
	number, digest uint64
	deltas         []delta[Changes]
	snapshot       func() ([]byte, error)
}

// newHistory returns the history of the current set, which follows the one of before; nil if
// it is the first.
func newHistory[Set diffable[Set, Changes], Changes any](before *history[Set, Changes], number uint64, current Set) *history[Set, Changes] {
	next := &history[Set, Changes]{set: current, number: number, digest: current.Digest()}
	next.snapshot = sync.OnceValues(func() ([]byte, error) { return fleetwire.Pack(current.Snapshot()) })
	if before != nil {
		earlier := before.set
		changes := sync.OnceValue(func() Changes { return current.ChangesFrom(earlier) })
		kept := before.deltas[max(0, len(before.deltas)+1-maxDeltas):]
		next.deltas = append(slices.Clone(kept), delta[Changes]{before.number, changes})
	}
	return next
}

// changesSince returns the changes since the set with the given number, or a packed snapshot if
// the gateway has no set or is too far behind.
func (h *history[Set, Changes]) changesSince(number uint64, known bool) (changes []Changes, snapshot []byte, err error) {
	if known && number == h.number {
		return nil, nil, nil
	}
	at := slices.IndexFunc(h.deltas, func(d delta[Changes]) bool { return d.from == number })
	if !known || at < 0 {
		snapshot, err = h.snapshot()
		return nil, snapshot, err
	}
	for _, next := range h.deltas[at:] {
		changes = append(changes, next.changes())
	}
	return changes, nil, nil
}

// An instanceSet is numbered by a counter of the leader, and an ownerSet by the log index of
// the last change.
type (
	instanceSet = history[fleetview.Instances, *fleetwire.InstanceChanges]
	ownerSet    = history[fleetview.Owners, *fleetwire.OwnerChanges]
)

// publishedState identifies the state from which a view was built.
type publishedState struct {
	version           routeconfig.Version
	ownersIndex       uint64
	evacuationsIndex  uint64
	quarantineIndex   uint64
	term              uint64
	instancesRevision uint64
	complete          bool
	members           int
}

// urgent reports whether a view must be published without waiting for further changes.
func (p publishedState) urgent(before publishedState) bool {
	return p.version != before.version || p.term != before.term || p.complete != before.complete || p.evacuationsIndex != before.evacuationsIndex
}

// publish builds a new view if anything has changed, and wakes the senders. A change that
// isn't urgent waits for a later tick if the last view is more recent than publishInterval.
func (c *Controller) publish() {
	control := &c.control
	if control.planner == nil {
		return
	}
	members := c.replica.Status().Membership
	next := publishedState{
		version:           control.state.Version(),
		ownersIndex:       control.state.OwnersIndex(),
		evacuationsIndex:  control.state.EvacuationsIndex(),
		quarantineIndex:   control.state.Quarantine().Index,
		term:              control.leadership.Term(),
		instancesRevision: control.planner.Revision(),
		complete:          control.planner.AllReported(c.replica.Now()),
		members:           len(members.Members),
	}
	now := c.replica.Now()
	if next == control.published || now < control.nextPublish && !next.urgent(control.published) {
		return
	}
	control.nextPublish = now + publishInterval(c.sessionCount(), next.complete)
	c.view.Store(c.nextView(next, c.controllers(members)))
	control.published = next
	c.wakeSessions()
}

// publishInterval returns the minimum time between two views that aren't urgent.
func publishInterval(sessions int, complete bool) time.Duration {
	interval := min(maxPublishInterval, time.Duration(sessions)*publishIntervalPerSession)
	if !complete {
		interval *= incompleteFactor
	}
	return interval
}

// nextView builds a view, reusing the parts of the last one that haven't changed.
func (c *Controller) nextView(now publishedState, controllers []string) *view {
	control := &c.control
	before := c.view.Load()
	next := &view{
		document: before.document, owners: before.owners, instances: before.instances,
		term: now.term, complete: now.complete, controllers: controllers,
		evacuated: control.state.EvacuatedZones(), evacuationsIndex: now.evacuationsIndex,
		suspects: control.state.Quarantine().Suspects, quarantineIndex: now.quarantineIndex,
	}
	if document := control.state.Document(); document != nil && (before.document == nil || before.document.Value != document) {
		next.document = &fleetwire.Shared[*routeconfig.Document]{Value: document}
	}
	if now.ownersIndex != control.published.ownersIndex || before.owners == nil {
		next.owners = newHistory(before.owners, now.ownersIndex, fleetview.NewOwners(control.state.AllOwners()))
	}
	if now.instancesRevision != control.published.instancesRevision || now.term != control.published.term || before.instances == nil {
		control.instanceSetNumber++
		next.instances = newHistory(before.instances, control.instanceSetNumber, fleetview.NewInstances(control.planner.Instances()))
	}
	return next
}

// deliveredState is what the gateway of a session has.
type deliveredState struct {
	// hello lists what it had at the start of the session; nil once that has been compared with
	// a view.
	hello   *fleetwire.Hello
	version routeconfig.Version
	// owners and instances are the numbers of its sets; instances is zero if it has none.
	owners, instances uint64
	hasOwners         bool
	evacuationsIndex  uint64
	quarantineIndex   uint64
	term              uint64
	complete          bool
	// controllers is the number of controllers that it knows.
	controllers int
}

// viewUpdate returns the parts of the current view that a gateway doesn't have, or nil. It
// updates delivered accordingly.
func (c *Controller) viewUpdate(delivered *deliveredState) (*fleetwire.View, error) {
	now := c.view.Load()
	delivered.adoptOwners(now)
	update, changed := &fleetwire.View{}, false
	var err error
	if now.document != nil && now.document.Value.Version != delivered.version {
		if update.PackedDocument, err = now.document.Pack(); err != nil {
			return nil, err
		}
		delivered.version, changed = now.document.Value.Version, true
	}
	if now.owners != nil && (now.owners.number != delivered.owners || !delivered.hasOwners) {
		if update.Owners, update.PackedOwners, err = now.owners.changesSince(delivered.owners, delivered.hasOwners); err != nil {
			return nil, err
		}
		update.OwnersIndex, update.OwnersDigest = now.owners.number, now.owners.digest
		delivered.owners, delivered.hasOwners, changed = now.owners.number, true, true
	}
	if now.instances != nil && (now.instances.number != delivered.instances || now.term != delivered.term || now.complete != delivered.complete) {
		if update.Instances, update.PackedInstances, err = now.instances.changesSince(delivered.instances, delivered.instances != 0); err != nil {
			return nil, err
		}
		update.HasInstances, update.InstancesDigest, update.Complete = true, now.instances.digest, now.complete
		delivered.instances, delivered.term, delivered.complete, changed = now.instances.number, now.term, now.complete, true
	}
	if now.evacuationsIndex != delivered.evacuationsIndex {
		update.EvacuationsIndex, update.Evacuated = now.evacuationsIndex, now.evacuated
		delivered.evacuationsIndex, changed = now.evacuationsIndex, true
	}
	if now.quarantineIndex != delivered.quarantineIndex {
		update.QuarantineIndex, update.Suspects = now.quarantineIndex, now.suspects
		delivered.quarantineIndex, changed = now.quarantineIndex, true
	}
	if len(now.controllers) != delivered.controllers {
		update.Controllers, delivered.controllers, changed = now.controllers, len(now.controllers), true
	}
	if !changed {
		return nil, nil
	}
	return update, nil
}

// adoptOwners records that a gateway already has the owners of a view, from an earlier session,
// if their index and digest are the same.
func (s *deliveredState) adoptOwners(now *view) {
	if s.hello == nil || now.owners == nil {
		return
	}
	if s.hello.OwnersIndex == now.owners.number && s.hello.OwnersDigest == now.owners.digest {
		s.owners, s.hasOwners = now.owners.number, true
	}
	s.hello = nil
}
