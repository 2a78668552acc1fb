package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// commits remembers when the latest revisions were applied.
type commits struct{ times []commit }

type commit struct {
	revision topology.Revision
	at       time.Duration
}

// add notes a revision and forgets those that a later one, old enough, replaces.
func (c *commits) add(revision topology.Revision, now time.Duration) {
	c.times = append(c.times, commit{revision, now})
	for len(c.times) > 1 && c.times[1].at <= now-wire.StopRelyingAfter {
		c.times = c.times[1:]
	}
}

// before returns the newest revision that was applied before a time, or zero.
func (c *commits) before(limit time.Duration) topology.Revision {
	var newest topology.Revision
	for _, entry := range c.times {
		if entry.at >= limit {
			break
		}
		newest = entry.revision
	}
	return newest
}
