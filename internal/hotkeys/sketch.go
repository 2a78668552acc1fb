// Package hotkeys finds the keys with the most requests in bounded memory. It
// implements Space-Saving (Metwally, Agrawal and El Abbadi, "Efficient
// Computation of Frequent and Top-k Elements in Data Streams", ICDT 2005): a key
// with more than 1/capacity of the requests is always among the counted ones.
package hotkeys

import (
	"cmp"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Sketch counts the most frequent keys of a stream. It is not safe for
// concurrent use.
type Sketch struct {
	capacity int
	total    uint64
	counters map[topology.KeyHash]*counter
}

type counter struct {
	count uint64
	// overestimate is the part of count that may belong to keys that were replaced.
	overestimate uint64
}

// Frequency is the estimate for one key.
type Frequency struct {
	Key topology.KeyHash
	// Share of all requests, from 0 to 1. It is a lower bound.
	Share float64
}

// New returns a sketch that counts at most capacity keys at a time.
func New(capacity int) *Sketch {
	return &Sketch{capacity: capacity, counters: make(map[topology.KeyHash]*counter, capacity)}
}

// Add counts one request for key.
func (s *Sketch) Add(key topology.KeyHash) {
	s.total++
	if counted, found := s.counters[key]; found {
		counted.count++
		return
	}
	if len(s.counters) < s.capacity {
		s.counters[key] = &counter{count: 1}
		return
	}
	replaced, minimum := s.leastFrequent()
	delete(s.counters, replaced)
	s.counters[key] = &counter{count: minimum + 1, overestimate: minimum}
}

// leastFrequent returns the counted key with the lowest count and that count. Of
// several it takes the lowest key.
func (s *Sketch) leastFrequent() (topology.KeyHash, uint64) {
	var key topology.KeyHash
	var count uint64
	first := true
	for candidate, counter := range s.counters {
		lower := counter.count < count || counter.count == count && candidate < key
		if first || lower {
			key, count, first = candidate, counter.count, false
		}
	}
	return key, count
}

// Total returns the number of requests counted since the last reset.
func (s *Sketch) Total() uint64 { return s.total }

// Top returns the keys with a share of at least minimum, at most limit of them and
// the largest share first.
func (s *Sketch) Top(limit int, minimum float64) []Frequency {
	var result []Frequency
	for key, counter := range s.counters {
		share := float64(counter.count-counter.overestimate) / float64(s.total)
		if share >= minimum {
			result = append(result, Frequency{Key: key, Share: share})
		}
	}
	slices.SortFunc(result, func(left, right Frequency) int {
		if order := cmp.Compare(right.Share, left.Share); order != 0 {
			return order
		}
		return cmp.Compare(left.Key, right.Key)
	})
	return result[:min(limit, len(result))]
}

// Reset discards all counts.
func (s *Sketch) Reset() {
	s.total = 0
	clear(s.counters)
}
