package inforce

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// commits records when the controller applied its latest revisions.
type commits struct{ times []commit }

type commit struct {
	revision topology.Revision
	at       time.Duration
}

// add records a revision and drops entries that are no longer needed.
func (c *commits) add(revision topology.Revision, at time.Duration) {
	c.times = append(c.times, commit{revision, at})
	for len(c.times) > 1 && at-c.times[0].at > 2*MaxRelianceTime {
		c.times = c.times[1:]
	}
}

// at returns when the first recorded revision that includes the given one was
// applied. For a revision that is older than all recorded ones the result is too
// late, which is safe; for one that is newer it is now.
func (c *commits) at(revision topology.Revision, now time.Duration) time.Duration {
	for _, entry := range c.times {
		if entry.revision >= revision {
			return entry.at
		}
	}
	return now
}
