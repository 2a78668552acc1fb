package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// joinTracker tracks when back ends of each service first attached and first got
// a lease. The first assignment of a service's shards waits for further back
// ends, so that the first one to renew does not get all of them.
type joinTracker struct {
	services map[topology.ServiceID]joinTimes
}

// joinTimes holds the times of the first and the latest join of a service.
type joinTimes struct{ first, last time.Duration }

// record notes that a back end of the service attached or got its first lease.
func (t *joinTracker) record(service topology.ServiceID, now time.Duration) {
	known, ok := t.services[service]
	if !ok {
		known.first = now
	}
	known.last = now
	t.services[service] = known
}

// mayAssignUnowned reports whether a shard without an owner may be assigned now.
// A shard that had an owner before does not wait for further back ends.
func (c *Coordinator) mayAssignUnowned(shard topology.Shard, now time.Duration) bool {
	if shard.Epoch > 0 {
		return true
	}
	if leasesEnd := c.removedLeasesEnd(); now < leasesEnd {
		c.nextDecisionAt = min(c.nextDecisionAt, leasesEnd)
		return false
	}
	known := c.joins.services[shard.ID.Service]
	quiet := now-known.last >= c.config.SettleTime
	long := now-known.first >= c.config.MaxSettleTime
	if quiet || long {
		return true
	}
	c.nextDecisionAt = min(c.nextDecisionAt, known.last+c.config.SettleTime)
	return false
}

// removedLeasesEnd returns the time from which no back end can still serve keys
// under a lease for shards of a deleted service, whether it was deleted in this
// term or earlier.
func (c *Coordinator) removedLeasesEnd() time.Duration {
	if c.backendRemovedAt == 0 {
		return c.leases.Settled()
	}
	return max(c.leases.Settled(), c.backendRemovedAt+c.config.LeaseDuration)
}
