// Package hotkeys finds the keys that get the most requests in little memory.
// It implements Space-Saving (Metwally, Agrawal and El Abbadi, "Efficient
// Computation of Frequent and Top-k Elements in Data Streams", ICDT 2005): a key
// with more than 1/capacity of the requests is always among those kept.
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
	// excess is how much of count may belong to keys that were replaced.
	excess uint64
}

// Frequency is the estimate for one key.
type Frequency struct {
	Key topology.KeyHash
	// Share of all requests, 0 to 1; never an overestimate.
	Share float64
}

// New returns a sketch that keeps capacity keys.
func New(capacity int) *Sketch {
	return &Sketch{capacity: capacity, counters: make(map[topology.KeyHash]*counter, capacity)}
}

// Add counts one request for key.
func (s *Sketch) Add(key topology.KeyHash) {
	s.total++
	if known, found := s.counters[key]; found {
		known.count++
		return
	}
	if len(s.counters) < s.capacity {
		s.counters[key] = &counter{count: 1}
		return
	}
	replaced, least := s.least()
	delete(s.counters, replaced)
	s.counters[key] = &counter{count: least + 1, excess: least}
}

// least returns the kept key with the lowest count, the lowest key if several.
func (s *Sketch) least() (topology.KeyHash, uint64) {
	var key topology.KeyHash
	var count uint64
	first := true
	for candidate, known := range s.counters {
		lower := known.count < count || known.count == count && candidate < key
		if first || lower {
			key, count, first = candidate, known.count, false
		}
	}
	return key, count
}

// Total returns the number of requests counted.
func (s *Sketch) Total() uint64 { return s.total }

// Top returns the keys with a share of at least minimum, greatest first, at
// most limit.
func (s *Sketch) Top(limit int, minimum float64) []Frequency {
	var result []Frequency
	for key, known := range s.counters {
		share := float64(known.count-known.excess) / float64(s.total)
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

// Reset forgets everything.
func (s *Sketch) Reset() {
	s.total = 0
	clear(s.counters)
}
