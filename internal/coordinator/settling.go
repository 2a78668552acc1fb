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
	known := c.settling.services[shard.ID.Service]
	quiet := now-known.last >= c.config.SettleTime
	long := now-known.first >= c.config.LongestSettle
	if quiet || long {
		return true
	}
	c.decideAt = min(c.decideAt, known.last+c.config.SettleTime)
	return false
}
