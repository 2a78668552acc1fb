package controller

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// subscribers guards the tracker of who has which revision in force, and wakes
// those who wait for a change of it.
type subscribers struct {
	mutex   sync.Mutex
	tracker *inforce.Tracker
	changed broadcast
}

func (s *subscribers) start(now time.Duration) { s.tracker = inforce.NewTracker(now) }

// edit changes the tracker and wakes who waits.
func (s *subscribers) edit(change func(*inforce.Tracker)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s.tracker)
	s.changed.signal()
}

// applied wakes only where the revision is news: agents repeat it with each
// renewal.
func (s *subscribers) applied(key inforce.Key, boot uint64, revision topology.Revision, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.tracker.Applied(key, boot, revision, now) {
		s.changed.signal()
	}
}

func (s *subscribers) heard(key inforce.Key, boot uint64, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.Heard(key, boot, now)
}

func (s *subscribers) report(all bool, now time.Duration) wire.SubscriberReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Report(all, now)
}

func (s *subscribers) list(self topology.ReplicaID) []inforce.Subscriber {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Subscribers(self)
}

func (s *subscribers) progress(revision topology.Revision, status *consensus.Status, now time.Duration) inforce.Progress {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Progress(revision, status, now)
}
