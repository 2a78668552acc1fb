package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Attach says that the process with a boot number opened a session for a back
// end. A process that has nothing in force yet is given a lease once it has the
// present revision. One with an applied revision has had it since its start:
// processes keep no routing data over a restart.
func (c *Coordinator) Attach(backend topology.BackendID, hello *wire.Hello, now time.Duration) {
	if !c.leading {
		return
	}
	known, ok := c.agents[backend]
	if !ok {
		known = &agent{}
		c.agents[backend] = known
		c.settling.came(c.serviceOf(backend), now)
	}
	if known.boot != hello.Boot {
		known.boot = hello.Boot
		known.leaving = false
	}
	known.required = 1
	known.fresh = hello.Applied == 0
	if known.fresh {
		known.required = c.state.Revision()
	}
}

func (c *Coordinator) serviceOf(backend topology.BackendID) topology.ServiceID {
	info, _ := c.state.Backend(backend)
	return info.Service
}

// Renew answers a renewal from the process with a boot number. The caller holds
// the leader lease at now.
func (c *Coordinator) Renew(backend topology.BackendID, boot uint64, renew *wire.Renew, now time.Duration) wire.RenewAck {
	ack := wire.RenewAck{
		Sequence: renew.Sequence,
		SentAt:   renew.SentAt,
		Revision: c.state.Revision(),
	}
	known, attached := c.agents[backend]
	if !c.leading || !attached || known.boot != boot {
		return ack
	}
	c.observe(known, backend, renew, now)
	if renew.Release {
		c.released(known, backend, now)
		return ack
	}
	if !c.mayRenew(known, backend, renew.Applied, now) {
		c.statistics.RefusedRenewals++
		return ack
	}
	ack.Granted = c.leases.Renew(backend, boot, now)
	if ack.Granted == 0 {
		c.statistics.RefusedRenewals++
		return ack
	}
	c.statistics.Renewals++
	c.returned(known, backend, now)
	return ack
}

func (c *Coordinator) observe(known *agent, backend topology.BackendID, renew *wire.Renew, now time.Duration) {
	if !renew.LoadOmitted {
		c.loads.RecordAgentReport(c.serviceOf(backend), backend, renew, now)
	}
	if renew.Leaving && !known.leaving {
		known.leavingAt = now
		c.decideAt = now
	}
	known.leaving = renew.Leaving || (known.leaving && known.lost)
}

func (c *Coordinator) released(known *agent, backend topology.BackendID, now time.Duration) {
	c.leases.Release(backend, known.boot, now)
	if !known.lost {
		known.lost = true
		known.lostAt = now
	}
	c.decideAt = now
}

// mayRenew reports whether the holder knows of every shard that was taken from
// the back end, and is not stuck at a revision of long ago.
func (c *Coordinator) mayRenew(known *agent, backend topology.BackendID, applied topology.Revision, now time.Duration) bool {
	info, exists := c.state.Backend(backend)
	if !exists || c.revoking[backend] {
		return false
	}
	if known.fresh && !c.leases.Known(backend) && now < c.leases.Settled() {
		return false // an earlier process may hold a predecessor's lease
	}
	overdue := c.commits.before(now - c.config.StuckAfter)
	return applied >= max(info.RevokedAt, known.required, overdue)
}

// returned notes that a back end holds a lease again.
func (c *Coordinator) returned(known *agent, backend topology.BackendID, now time.Duration) {
	if known.liveSince == 0 {
		c.settling.came(c.serviceOf(backend), now)
	}
	if known.lost || known.liveSince == 0 {
		known.lost = false
		known.liveSince = now
		c.decideAt = now
	}
}

// findLost notes the leases that have ended since the last look.
func (c *Coordinator) findLost(now time.Duration) {
	for id, known := range c.agents {
		if known.lost || !c.leases.Lapsed(id, now) {
			continue
		}
		known.lost = true
		known.lostAt = now
		c.statistics.LeasesLapsed++
		c.decideAt = now
		c.lossPending = true
	}
}

// Warmed takes a target's word that it is ready for a shard, or why not.
func (c *Coordinator) Warmed(from topology.BackendID, message *wire.Warmed) {
	shard, known := c.state.Shard(message.Shard)
	valid := known && shard.Phase == topology.ShardWarming && shard.Target == from && shard.Epoch == message.Epoch
	if !c.leading || !valid {
		return
	}
	progress := c.progress(shard, 0)
	progress.warmed = message.Error == ""
	progress.failure = message.Error
}

// Released takes an owner's promise never again to serve a shard at an epoch.
func (c *Coordinator) Released(from topology.BackendID, message *wire.Released) {
	shard, known := c.state.Shard(message.Shard)
	valid := known && shard.Phase == topology.ShardReleasing && shard.Owner == from && shard.Epoch == message.Epoch
	if !c.leading || !valid {
		return
	}
	c.progress(shard, 0).released = true
}
