package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Attach reports that the agent process with a boot number opened a session for
// a back end. A process that has not applied any revision gets a lease once it
// has applied the current one. An applied revision was received since the
// process started: processes do not keep routing data across a restart.
func (c *Coordinator) Attach(backend topology.BackendID, hello *wire.Hello, now time.Duration) {
	if !c.leading {
		return
	}
	known, ok := c.agents[backend]
	if !ok {
		known = &agent{}
		c.agents[backend] = known
		c.joins.record(c.serviceOf(backend), now)
	}
	if known.boot != hello.Boot {
		known.boot = hello.Boot
		known.leaving = false
	}
	known.requiredRevision = 1
	known.withoutRevision = hello.Applied == 0
	if known.withoutRevision {
		known.requiredRevision = c.state.Revision()
	}
}

func (c *Coordinator) serviceOf(backend topology.BackendID) topology.ServiceID {
	info, _ := c.state.Backend(backend)
	return info.Service
}

// Renew answers a lease renewal from the agent process with a boot number. The
// caller must hold the leader lease at now.
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
	c.recordRenewal(known, backend, renew, now)
	if renew.Release {
		c.recordLeaseReleased(known, backend, now)
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
	c.recordLeaseGranted(known, backend, now)
	return ack
}

func (c *Coordinator) recordRenewal(known *agent, backend topology.BackendID, renew *wire.Renew, now time.Duration) {
	if !renew.LoadOmitted {
		c.loads.RecordAgentReport(c.serviceOf(backend), backend, renew, now)
	}
	if renew.Leaving && !known.leaving {
		known.leavingAt = now
		c.nextDecisionAt = now
	}
	known.leaving = renew.Leaving || (known.leaving && known.lost)
}

func (c *Coordinator) recordLeaseReleased(known *agent, backend topology.BackendID, now time.Duration) {
	c.leases.Release(backend, known.boot, now)
	if !known.lost {
		known.lost = true
		known.lostAt = now
	}
	c.nextDecisionAt = now
}

// mayRenew reports whether the holder has applied every revocation of the back
// end's shards and is not stuck at an old revision.
func (c *Coordinator) mayRenew(known *agent, backend topology.BackendID, applied topology.Revision, now time.Duration) bool {
	info, exists := c.state.Backend(backend)
	if !exists || c.revoking[backend] {
		return false
	}
	if known.withoutRevision && !c.leases.Known(backend) && now < c.leases.Settled() {
		return false // an earlier process may hold a lease of an earlier leader
	}
	minRevision := c.revisions.before(now - c.config.StuckTimeout)
	return applied >= max(info.RevokedAt, known.requiredRevision, minRevision)
}

// recordLeaseGranted records a granted lease; if the back end had none, it
// triggers a placement decision.
func (c *Coordinator) recordLeaseGranted(known *agent, backend topology.BackendID, now time.Duration) {
	if known.liveSince == 0 {
		c.joins.record(c.serviceOf(backend), now)
	}
	if known.lost || known.liveSince == 0 {
		known.lost = false
		known.liveSince = now
		c.nextDecisionAt = now
	}
}

// detectExpiredLeases marks back ends as lost whose leases have ended since the
// last call.
func (c *Coordinator) detectExpiredLeases(now time.Duration) {
	for id, known := range c.agents {
		if known.lost || !c.leases.Lapsed(id, now) {
			continue
		}
		known.lost = true
		known.lostAt = now
		c.statistics.LeasesLapsed++
		c.nextDecisionAt = now
		c.lossSinceDecision = true
	}
}

// Warmed records a target's message that it is ready for a shard, or why it
// cannot be.
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

// Released records an owner's promise never again to serve a shard at an epoch.
func (c *Coordinator) Released(from topology.BackendID, message *wire.Released) {
	shard, known := c.state.Shard(message.Shard)
	valid := known && shard.Phase == topology.ShardReleasing && shard.Owner == from && shard.Epoch == message.Epoch
	if !c.leading || !valid {
		return
	}
	c.progress(shard, 0).released = true
}
