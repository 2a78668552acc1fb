package simulate

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	repairPoll       = 100 * time.Millisecond
	secondLossChance = 0.5
	secondLossAfter  = time.Millisecond
)

// repair replaces the member that a controller was before it lost its disk, as
// the operators' page says: remove the old member, add the new one as a
// learner, promote it. Done is called when the repair is reported done.
type repair struct {
	cluster *cluster
	of      *controller
	old     topology.ReplicaID
	done    func()
	// promotedBy is an index at or after that of the promotion.
	promotedBy uint64
}

// replaceDisk begins a repair of a controller that runs on an empty disk.
func (c *cluster) replaceDisk(of *controller, old topology.ReplicaID, done func()) {
	r := &repair{cluster: c, of: of, old: old, done: done}
	r.step()
}

// again goes on after a while.
func (r *repair) again() { r.cluster.world.after(repairPoll, r.step) }

// step does what the membership still lacks.
func (r *repair) step() {
	leader := r.cluster.leader()
	if leader == nil || leader.frozen || !r.of.up {
		r.again()
		return
	}
	membership := leader.core.Membership()
	if _, present := membership.Find(r.old); present {
		leader.changeMembership(consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: r.old}}, r.again)
		return
	}
	member, present := findIncarnation(membership, r.of.disk.durable.incarnation)
	switch {
	case !present:
		added := consensus.Member{Incarnation: r.of.disk.durable.incarnation, Address: r.of.name}
		leader.changeMembership(consensus.Change{Kind: consensus.AddLearner, Member: added}, r.again)
	case r.cluster.has(DefectRepairEarly):
		r.done()
	case member.Learner:
		r.promotedBy = 0
		leader.changeMembership(consensus.Change{Kind: consensus.Promote, Member: member}, r.again)
	default:
		r.awaitDurable(leader, member.ID)
	}
}

// awaitDurable reports the repair done once the promotion is committed and the
// new voter durably holds all that is committed.
func (r *repair) awaitDurable(leader *controller, id topology.ReplicaID) {
	status := leader.status()
	if r.promotedBy == 0 {
		r.promotedBy = status.LastIndex
	}
	held := status.Durable
	for _, peer := range status.Peers {
		if peer.ID == id {
			held = peer.Match
		}
	}
	if held >= max(status.Commit, r.promotedBy) && status.Commit >= r.promotedBy {
		r.done()
		return
	}
	r.again()
}

func findIncarnation(membership consensus.Membership, wanted topology.Incarnation) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.Incarnation == wanted {
			return member, true
		}
	}
	return consensus.Member{}, false
}

// changeMembership proposes a change; the caller looks again later whether it
// was made.
func (c *controller) changeMembership(change consensus.Change, again func()) {
	_, _, err := c.core.ProposeMembership(change)
	var refused *consensus.ChangeError
	if errors.As(err, &refused) {
		c.world.violate(Recovers, "a membership change is refused: %v", err)
		return
	}
	c.later(c.work)
	again()
}

// loseDisk empties a controller's disk, restarts it and has it replaced; with
// some chance another one loses its disk right after the repair is done.
func (c *cluster) loseDisk(of *controller, mayRepeat bool) {
	if of.disk.durable.identity == 0 {
		return
	}
	old := of.disk.durable.identity
	membership := of.disk.durable.snapshot.Meta.Membership
	oldIncarnation := of.disk.durable.incarnation
	of.crash()
	of.disk.lose()
	c.unsound[of] = true
	c.world.after(c.world.between(restartLeast, restartMost), func() {
		if c.has(DefectLostDiskIdentity) {
			of.disk.durable.identity, of.disk.durable.incarnation = old, oldIncarnation
			of.disk.durable.snapshot.Meta.Membership = membership
			of.disk.durable.snapshot.Meta.Index, of.disk.durable.snapshot.Meta.Term = 0, 0
			delete(c.unsound, of)
			of.boot()
			return
		}
		of.boot()
		c.replaceDisk(of, old, func() { c.repaired(of, mayRepeat) })
	})
}

func (c *cluster) repaired(of *controller, mayRepeat bool) {
	delete(c.unsound, of)
	c.repairs++
	if !mayRepeat || c.quiet || !c.world.chance(secondLossChance) {
		return
	}
	other := pick(c.world, c.controllers)
	if other == of || other.disk.durable.identity == 0 {
		return
	}
	c.world.after(secondLossAfter, func() {
		if len(c.unsound) == 0 {
			c.loseDisk(other, false)
		}
	})
}
