package fleetcontroller

import (
	"math"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetview"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

const (
	// publishPerSession is the least time between two views for each session, so
	// that changes which come together travel together and the senders use a bounded
	// part of the processor: a message costs about 0.1 ms of the 0.24 cores of the
	// users' machines.
	publishPerSession = 400 * time.Microsecond
	// longestPublish bounds that time: an owner's change should be known within a
	// quarter of a second.
	longestPublish = 200 * time.Millisecond
)

// view is an immutable picture of what gateways need.
type view struct {
	document  *fleetwire.Shared[*routeconfig.Document]
	owners    *ownerSet
	instances *instanceSet
	// term of the leader, and whether its instances are complete.
	term        uint64
	complete    bool
	controllers []string
}

// versioned is a set as published, and its changes from earlier ones, each worked
// out and packed when it is first sent, once.
type versioned[Changes any] struct {
	number uint64
	digest uint64

	mutex  sync.Mutex
	packed map[uint64]*fleetwire.Shared[Changes]
}

// ofNothing is the number that no set has.
const ofNothing = math.MaxUint64

// changes returns the changes from the set of a number, which make works out.
func (v *versioned[Changes]) changes(from uint64, work func() Changes) ([]byte, error) {
	v.mutex.Lock()
	if v.packed == nil {
		v.packed = map[uint64]*fleetwire.Shared[Changes]{}
	}
	shared, ok := v.packed[from]
	if !ok {
		shared = &fleetwire.Shared[Changes]{Value: work()}
		v.packed[from] = shared
	}
	v.mutex.Unlock()
	return shared.Pack()
}

// instanceSet is a set of instances with its number, which no other has in a
// process.
type instanceSet struct {
	versioned[*fleetwire.InstanceChanges]
	set fleetview.Instances
}

// since returns the packed changes from an earlier set; nil is none.
func (s *instanceSet) since(earlier *instanceSet) ([]byte, error) {
	if earlier == nil {
		return s.changes(ofNothing, s.set.Snapshot)
	}
	return s.changes(earlier.number, func() *fleetwire.InstanceChanges { return s.set.ChangesFrom(earlier.set) })
}

// ownerSet is a set of owners, numbered by the log index of the last change.
type ownerSet struct {
	versioned[*fleetwire.OwnerChanges]
	set fleetview.Owners
}

// since returns the packed changes from an earlier set; nil is none.
func (s *ownerSet) since(earlier *ownerSet) ([]byte, error) {
	if earlier == nil {
		return s.changes(ofNothing, s.set.Snapshot)
	}
	return s.changes(earlier.number, func() *fleetwire.OwnerChanges { return s.set.ChangesFrom(earlier.set) })
}

// published remembers from what the last view was made.
type published struct {
	version           routeconfig.Version
	ownersIndex       uint64
	term              uint64
	instancesRevision uint64
	complete          bool
	members           int
}

// urgent says that a view must not wait for others that come together with it.
func (p published) urgent(before published) bool {
	return p.version != before.version || p.term != before.term || p.complete != before.complete
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
		term:              control.leadership.Term(),
		instancesRevision: control.planner.Revision(),
		complete:          control.planner.Complete(c.member.Now()),
		members:           len(members.Members),
	}
	now := c.member.Now()
	if next == control.published || now < control.publishAt && !next.urgent(control.published) {
		return
	}
	control.publishAt = now + min(longestPublish, time.Duration(c.sessionCount())*publishPerSession)
	c.view.Store(c.nextView(next, c.controllers(members)))
	control.published = next
	c.wakeSessions()
}

// nextView makes a view; parts that have not changed are those of the last one.
func (c *Controller) nextView(now published, controllers []string) *view {
	control := &c.control
	before := c.view.Load()
	next := &view{
		document: before.document, owners: before.owners, instances: before.instances,
		term: now.term, complete: now.complete, controllers: controllers,
	}
	if document := control.state.Document(); document != nil && (before.document == nil || before.document.Value != document) {
		next.document = &fleetwire.Shared[*routeconfig.Document]{Value: document}
	}
	if now.ownersIndex != control.published.ownersIndex || before.owners == nil {
		set := fleetview.NewOwners(control.state.AllOwners())
		next.owners = &ownerSet{set: set}
		next.owners.number, next.owners.digest = now.ownersIndex, set.Digest()
	}
	if now.instancesRevision != control.published.instancesRevision || now.term != control.published.term || before.instances == nil {
		set := fleetview.NewInstances(control.planner.Instances())
		control.instanceSets++
		next.instances = &instanceSet{set: set}
		next.instances.number, next.instances.digest = control.instanceSets, set.Digest()
	}
	return next
}

// sent is what a session's gateway has.
type sent struct {
	version   routeconfig.Version
	owners    *ownerSet
	instances *instanceSet
	term      uint64
	complete  bool
	// controllers is how many it knows.
	controllers int
}

// news returns what a gateway lacks of the present view, or nil.
func (c *Controller) news(has *sent) (*fleetwire.View, error) {
	now := c.view.Load()
	news, changed := &fleetwire.View{}, false
	var err error
	if now.document != nil && now.document.Value.Version != has.version {
		if news.PackedDocument, err = now.document.Pack(); err != nil {
			return nil, err
		}
		has.version, changed = now.document.Value.Version, true
	}
	if now.owners != nil && now.owners != has.owners {
		if news.PackedOwners, err = now.owners.since(has.owners); err != nil {
			return nil, err
		}
		news.OwnersIndex, news.OwnersDigest = now.owners.number, now.owners.digest
		has.owners, changed = now.owners, true
	}
	if now.instances != nil && (now.instances != has.instances || now.term != has.term || now.complete != has.complete) {
		if news.PackedInstances, err = now.instances.since(has.instances); err != nil {
			return nil, err
		}
		news.InstancesDigest, news.Complete = now.instances.digest, now.complete
		has.instances, has.term, has.complete, changed = now.instances, now.term, now.complete, true
	}
	if len(now.controllers) != has.controllers {
		news.Controllers, has.controllers, changed = now.controllers, len(now.controllers), true
	}
	if !changed {
		return nil, nil
	}
	return news, nil
}
