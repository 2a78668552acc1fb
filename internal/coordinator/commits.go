package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// commits remembers when the latest revisions were applied. Time passes only
// forwards.
type commits struct {
	waiting []commit
	passed  topology.Revision
}

type commit struct {
	revision topology.Revision
	at       time.Duration
}

// add notes a revision that is applied now.
func (c *commits) add(revision topology.Revision, now time.Duration) {
	if last := len(c.waiting) - 1; last >= 0 && c.waiting[last].at == now {
		c.waiting[last].revision = revision
		return
	}
	c.waiting = append(c.waiting, commit{revision, now})
}

// before returns the newest revision that was applied before a time, or zero.
// Later calls name no earlier time.
func (c *commits) before(limit time.Duration) topology.Revision {
	for len(c.waiting) > 0 && c.waiting[0].at < limit {
		c.passed = c.waiting[0].revision
		c.waiting = c.waiting[1:]
	}
	return c.passed
}
