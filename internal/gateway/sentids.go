package gateway

import (
	"sync"
	"time"
)

// sentIDs remembers the ids of requests that were sent to the back end, each until its request's
// deadline, after which it is not sent any more. A back end may send an answer twice, and late, and
// its id doesn't tell which sending of one request it answers.
type sentIDs struct {
	mutex     sync.Mutex
	deadlines map[string]time.Time
	// expiring has the ids by the second of their deadline, and expired is the first second whose
	// ids are not forgotten.
	expiring map[int64][]string
	expired  int64
}

func newSentIDs() *sentIDs {
	return &sentIDs{deadlines: map[string]time.Time{}, expiring: map[int64][]string{}}
}

// add remembers the id of a request that is about to be sent, and reports whether a request with
// this id may have been sent before.
func (s *sentIDs) add(id string, deadline, now time.Time) (again bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget(now)
	known, again := s.deadlines[id]
	if again && !deadline.After(known) {
		return true
	}
	s.deadlines[id] = deadline
	second := max(deadline.Unix(), s.expired)
	s.expiring[second] = append(s.expiring[second], id)
	return again
}

// forget drops the ids whose deadline is over. The caller has the mutex.
func (s *sentIDs) forget(now time.Time) {
	if s.expired == 0 {
		s.expired = now.Unix()
	}
	for ; s.expired < now.Unix(); s.expired++ {
		for _, id := range s.expiring[s.expired] {
			if s.deadlines[id].Unix() <= s.expired {
				delete(s.deadlines, id)
			}
		}
		delete(s.expiring, s.expired)
	}
}

// count returns how many ids are remembered.
func (s *sentIDs) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.deadlines)
}
