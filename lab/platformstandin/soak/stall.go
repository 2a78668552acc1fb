package soak

import (
	"context"
	"sync"
	"time"
)

const (
	// stallLook is how often the soak looks at the clock.
	stallLook = 10 * time.Millisecond
	// stallLeast is by how much a look must be late to count as a stall: half of the time
	// for which two back ends may hold a key together.
	stallLeast = 250 * time.Millisecond
)

// Stall is a time in which the soak itself, and with it its back ends and callers, stood
// still: orders that came to a back end meanwhile were read after it.
type Stall struct {
	// From is since the fleet's start.
	From time.Duration `json:"from"`
	For  time.Duration `json:"for"`
}

// stalls notes when the soak itself stood still. It excuses nothing.
type stalls struct {
	mutex sync.Mutex
	began time.Time
	last  time.Time
	all   []Stall
}

func newStalls(began time.Time) *stalls { return &stalls{began: began, last: began} }

// look notes a look at the clock.
func (s *stalls) look(now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if late := now.Sub(s.last) - stallLook; late >= stallLeast {
		s.all = append(s.all, Stall{s.last.Sub(s.began), late})
	}
	s.last = now
}

// watch looks at the clock until the context ends.
func (s *stalls) watch(ctx context.Context) {
	ticker := time.NewTicker(stallLook)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.look(time.Now())
		}
	}
}

// told returns the stalls and the longest one's length.
func (s *stalls) told() (all []Stall, longest time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, each := range s.all {
		longest = max(longest, each.For)
	}
	return append([]Stall{}, s.all...), longest
}
