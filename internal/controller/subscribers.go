package controller

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// subscribers synchronizes access to the tracker of the revisions that
// subscribers have in force, and wakes goroutines that wait for a change of it.
type subscribers struct {
	mutex   sync.Mutex
	tracker *inforce.Tracker
	changed broadcast
}

func (s *subscribers) init(now time.Duration) { s.tracker = inforce.NewTracker(now) }

// editTracker changes the tracker and wakes the waiting goroutines.
func (s *subscribers) editTracker(change func(*inforce.Tracker)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s.tracker)
	s.changed.signal()
}

// setApplied records the revision that a subscriber has in force. It wakes
// waiting goroutines only if the revision is new, since agents repeat it with
// each renewal.
func (s *subscribers) setApplied(key inforce.Key, boot uint64, revision topology.Revision, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.tracker.Applied(key, boot, revision, now) {
		s.changed.signal()
	}
}

// setContact records that a subscriber was heard from.
func (s *subscribers) setContact(key inforce.Key, boot uint64, now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.RecordMessage(key, boot, now)
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
