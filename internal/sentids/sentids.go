// Package sentids remembers which requests were sent to a back end, each until its deadline, after
// which it is not sent any more. A back end may send an answer twice, and late, and the request's id
// doesn't tell which sending of it is answered. The package is pure: the time is an argument.
package sentids

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// step is the resolution at which ids are forgotten.
const step = time.Second

// Set is a set of ids. It is safe for concurrent use.
type Set struct {
	mutex     sync.Mutex
	deadlines map[string]steady.Instant
	// expiring has the ids by the step of their deadline, and next is the first step whose ids are
	// not forgotten.
	expiring map[int64][]string
	next     int64
}

// New returns an empty set.
func New() *Set {
	return &Set{deadlines: map[string]steady.Instant{}, expiring: map[int64][]string{}}
}

// Add remembers the id of a request that is about to be sent, and reports whether a request with
// this id may have been sent before.
func (s *Set) Add(id string, deadline, now steady.Instant) (again bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget(now)
	known, again := s.deadlines[id]
	if again && deadline <= known {
		return true
	}
	s.deadlines[id] = deadline
	expires := max(stepOf(deadline), s.next)
	s.expiring[expires] = append(s.expiring[expires], id)
	return again
}

// Has reports whether an id is remembered.
func (s *Set) Has(id string, now steady.Instant) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forget(now)
	_, known := s.deadlines[id]
	return known
}

func stepOf(at steady.Instant) int64 { return int64(at / steady.Instant(step)) }

// forget drops the ids whose deadline is over. The caller has the mutex.
func (s *Set) forget(now steady.Instant) {
	for ; s.next < stepOf(now); s.next++ {
		for _, id := range s.expiring[s.next] {
			if stepOf(s.deadlines[id]) <= s.next {
				delete(s.deadlines, id)
			}
		}
		delete(s.expiring, s.next)
	}
}

// Len returns how many ids are remembered.
func (s *Set) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.deadlines)
}
