package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// settling tracks when back ends of each service first came and first got a
// lease, so that the first owners of its shards are not all the first back end that renewed.
type settling struct {
	services map[topology.ServiceID]period
}

type period struct{ first, last time.Duration }

func (s *settling) came(service topology.ServiceID, now time.Duration) {
	known, ok := s.services[service]
	if !ok {
		known.first = now
	}
	known.last = now
	s.services[service] = known
}

// settled reports whether a shard without owner may get one. A shard that had
// one before does not wait.
func (c *Coordinator) settled(shard topology.Shard, now time.Duration) bool {
	if shard.Epoch > 0 {
		return true
	}
	if free := c.freeOfDeleted(); now < free {
		c.decideAt = min(c.decideAt, free)
		return false
	}
	known := c.settling.services[shard.ID.Service]
	quiet := now-known.last >= c.config.SettleTime
	long := now-known.first >= c.config.LongestSettle
	if quiet || long {
		return true
	}
	c.decideAt = min(c.decideAt, known.last+c.config.SettleTime)
	return false
}

// freeOfDeleted returns from when on no owner serves keys by the shards of a
// service that was deleted, in this term or before it.
func (c *Coordinator) freeOfDeleted() time.Duration {
	if c.removedAt == 0 {
		return c.leases.Settled()
	}
	return max(c.leases.Settled(), c.removedAt+c.config.LeaseDuration)
}
