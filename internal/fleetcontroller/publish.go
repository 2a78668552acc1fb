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
	// publishPerSession is the least time between two views for each session, so
	// that changes which come together travel together and the senders use a bounded
	// part of the processor: a message costs about 0.1 ms of the 0.24 cores of the
	// users' machines.
	publishPerSession = 700 * time.Microsecond
	// longestPublish bounds that time: an owner's change should be known within a
	// quarter of a second.
	longestPublish = 200 * time.Millisecond
	// incompleteFactor makes it longer while a new leader does not know all
	// instances: gateways keep those that they know, and all of them come at once.
	incompleteFactor = 3
)

// view is an immutable picture of what gateways need.
type view struct {
	document  *fleetwire.Shared[*routeconfig.Document]
	owners    *ownerSet
	instances *instanceSet
	// evacuated zones, and the log index of the last change of them.
	evacuated        []string
	evacuationsIndex uint64
	// suspects are requests under which back ends have ended, and quarantineIndex is that
	// of their set.
	suspects        []quarantine.Suspect
	quarantineIndex uint64
	// term of the leader, and whether its instances are complete.
	term        uint64
	complete    bool
	controllers []string
}

// mostSteps is how many views a session may be behind and still get the steps in
// between; one that is further behind gets the whole set.
const mostSteps = 24

// step leads from the set of a number to the next one. The changes are worked out
// when they are first sent, once for all sessions. They travel plain: a gateway
// that had to unpack each small change would spend more on the types than on it.
type step[Changes any] struct {
	from    uint64
	changes func() Changes
}

// set is what travels as changes: fleetview.Instances and fleetview.Owners.
type set[Set, Changes any] interface {
	Digest() uint64
	Snapshot() Changes
	ChangesFrom(earlier Set) Changes
}

// history is a set with what leads to it: the last steps, or all of it, which is
// packed when it is first sent, once. What it costs the leader to make is the same
// however far the sessions are behind.
type history[Set set[Set, Changes], Changes any] struct {
	set Set
	// number of the set, which no other of its kind has in a term, and its digest.
	number, digest uint64
	steps          []step[Changes]
	whole          func() ([]byte, error)
}

// newHistory returns a set with its history after another; nil is none.
func newHistory[Set set[Set, Changes], Changes any](before *history[Set, Changes], number uint64, present Set) *history[Set, Changes] {
	next := &history[Set, Changes]{set: present, number: number, digest: present.Digest()}
	next.whole = sync.OnceValues(func() ([]byte, error) { return fleetwire.Pack(present.Snapshot()) })
	if before != nil {
		earlier := before.set
		changes := sync.OnceValue(func() Changes { return present.ChangesFrom(earlier) })
		kept := before.steps[max(0, len(before.steps)+1-mostSteps):]
		next.steps = append(slices.Clone(kept), step[Changes]{before.number, changes})
	}
	return next
}

// since returns the changes from the set of a number on, or all of the set, packed,
// where the gateway has none or is too far behind.
func (h *history[Set, Changes]) since(number uint64, known bool) (steps []Changes, whole []byte, err error) {
	if known && number == h.number {
		return nil, nil, nil
	}
	at := slices.IndexFunc(h.steps, func(s step[Changes]) bool { return s.from == number })
	if !known || at < 0 {
		whole, err = h.whole()
		return nil, whole, err
	}
	for _, each := range h.steps[at:] {
		steps = append(steps, each.changes())
	}
	return steps, nil, nil
}

// instanceSet is numbered by the leader, and ownerSet by the log index of the last
// change.
type (
	instanceSet = history[fleetview.Instances, *fleetwire.InstanceChanges]
	ownerSet    = history[fleetview.Owners, *fleetwire.OwnerChanges]
)

// published remembers from what the last view was made.
type published struct {
	version           routeconfig.Version
	ownersIndex       uint64
	evacuationsIndex  uint64
	quarantineIndex   uint64
	term              uint64
	instancesRevision uint64
	complete          bool
	members           int
}

// urgent says that a view must not wait for others that come together with it.
func (p published) urgent(before published) bool {
	return p.version != before.version || p.term != before.term || p.complete != before.complete || p.evacuationsIndex != before.evacuationsIndex
}

// publish makes a new view where anything has changed, and wakes the senders.
// Changes that come sooner after another than the sessions' number allows wait for
// the next tick.
func (c *Controller) publish() {
	control := &c.control
	if control.planner == nil {
		return
	}
	members := c.member.Status().Membership
	next := published{
		version:           control.state.Version(),
		ownersIndex:       control.state.OwnersIndex(),
		evacuationsIndex:  control.state.EvacuationsIndex(),
		quarantineIndex:   control.state.Quarantine().Index,
		term:              control.leadership.Term(),
		instancesRevision: control.planner.Revision(),
		complete:          control.planner.Complete(c.member.Now()),
		members:           len(members.Members),
	}
	now := c.member.Now()
	if next == control.published || now < control.publishAt && !next.urgent(control.published) {
		return
	}
	control.publishAt = now + publishInterval(c.sessionCount(), next.complete)
	c.view.Store(c.nextView(next, c.controllers(members)))
	control.published = next
	c.wakeSessions()
}

// publishInterval is the least time between two views that are not urgent.
func publishInterval(sessions int, complete bool) time.Duration {
	interval := min(longestPublish, time.Duration(sessions)*publishPerSession)
	if !complete {
		interval *= incompleteFactor
	}
	return interval
}

// nextView makes a view; parts that have not changed are those of the last one.
func (c *Controller) nextView(now published, controllers []string) *view {
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
		control.instanceSets++
		next.instances = newHistory(before.instances, control.instanceSets, fleetview.NewInstances(control.planner.Instances()))
	}
	return next
}

// sent is what a session's gateway has.
type sent struct {
	// hello is what it said to have, until that was compared with the first view.
	hello   *fleetwire.Hello
	version routeconfig.Version
	// owners and instances are the numbers of the sets; zero is none.
	owners, instances uint64
	hasOwners         bool
	evacuationsIndex  uint64
	quarantineIndex   uint64
	term              uint64
	complete          bool
	// controllers is how many it knows.
	controllers int
}

// news returns what a gateway lacks of the present view, or nil.
func (c *Controller) news(has *sent) (*fleetwire.View, error) {
	now := c.view.Load()
	has.compare(now)
	news, changed := &fleetwire.View{}, false
	var err error
	if now.document != nil && now.document.Value.Version != has.version {
		if news.PackedDocument, err = now.document.Pack(); err != nil {
			return nil, err
		}
		has.version, changed = now.document.Value.Version, true
	}
	if now.owners != nil && (now.owners.number != has.owners || !has.hasOwners) {
		if news.Owners, news.PackedOwners, err = now.owners.since(has.owners, has.hasOwners); err != nil {
			return nil, err
		}
		news.OwnersIndex, news.OwnersDigest = now.owners.number, now.owners.digest
		has.owners, has.hasOwners, changed = now.owners.number, true, true
	}
	if now.instances != nil && (now.instances.number != has.instances || now.term != has.term || now.complete != has.complete) {
		if news.Instances, news.PackedInstances, err = now.instances.since(has.instances, has.instances != 0); err != nil {
			return nil, err
		}
		news.HasInstances, news.InstancesDigest, news.Complete = true, now.instances.digest, now.complete
		has.instances, has.term, has.complete, changed = now.instances.number, now.term, now.complete, true
	}
	if now.evacuationsIndex != has.evacuationsIndex {
		news.EvacuationsIndex, news.Evacuated = now.evacuationsIndex, now.evacuated
		has.evacuationsIndex, changed = now.evacuationsIndex, true
	}
	if now.quarantineIndex != has.quarantineIndex {
		news.QuarantineIndex, news.Suspects = now.quarantineIndex, now.suspects
		has.quarantineIndex, changed = now.quarantineIndex, true
	}
	if len(now.controllers) != has.controllers {
		news.Controllers, has.controllers, changed = now.controllers, len(now.controllers), true
	}
	if !changed {
		return nil, nil
	}
	return news, nil
}

// compare takes the owners that a gateway brings from an earlier session for those
// of a view, where they are the same.
func (s *sent) compare(now *view) {
	if s.hello == nil || now.owners == nil {
		return
	}
	if s.hello.OwnersIndex == now.owners.number && s.hello.OwnersDigest == now.owners.digest {
		s.owners, s.hasOwners = now.owners.number, true
	}
	s.hello = nil
}
