package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// revisionLog records when recent revisions were applied. Times must not
// decrease from call to call.
type revisionLog struct {
	recent []revisionTime
	// newestBefore is the last result of before.
	newestBefore topology.Revision
}

type revisionTime struct {
	revision  topology.Revision
	appliedAt time.Duration
}

// add records that a revision is applied now.
func (l *revisionLog) add(revision topology.Revision, now time.Duration) {
	if last := len(l.recent) - 1; last >= 0 && l.recent[last].appliedAt == now {
		l.recent[last].revision = revision
		return
	}
	l.recent = append(l.recent, revisionTime{revision, now})
}

// before returns the newest revision that was applied before limit, or zero.
// limit must not decrease from call to call.
func (l *revisionLog) before(limit time.Duration) topology.Revision {
	for len(l.recent) > 0 && l.recent[0].appliedAt < limit {
		l.newestBefore = l.recent[0].revision
		l.recent = l.recent[1:]
	}
	return l.newestBefore
}
