// Package selection decides which back ends a gateway considers for requests without a key, and
// for how long it relies on what it has seen of one. It does no I/O and reads no clock: time is
// an argument, a reading of the caller's clock.
//
// What a gateway knows of a back end comes from the responses to its own requests. In a fleet
// of many gateways and many back ends each gateway sends so little to each back end that it
// would learn nothing if it considered all: the time between two visits grows with the number
// of back ends and that of gateways. So each gateway considers a fixed subset of bounded size,
// which it gets to know (compare deterministic subsetting in Beyer et al., "Site Reliability
// Engineering", chapter 20, and the aperture of Finagle's load balancers).
package selection

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/namehash"
)

const (
	// NearSize and FarSize bound how many back ends of its own zone and of other zones a gateway
	// considers. With NearSize back ends of which a third are fast, one gateway in a thousand
	// has no fast one; FarSize is for when none of the zone can be used.
	NearSize = 16
	FarSize  = 8
)

// Candidate is a back end that may be considered.
type Candidate struct {
	// ID names the back end, and Near is set if it is in the gateway's own zone.
	ID   string
	Near bool
}

// Subset returns the indexes of the candidates that a gateway considers: those with the highest
// hashes of gateway and candidate (rendezvous hashing: Thaler and Ravishankar, 1998). Different
// gateways get different subsets that cover the candidates evenly, and a candidate that comes or
// goes changes one place of a few subsets.
func Subset(gateway string, candidates []Candidate) []int {
	if len(candidates) <= NearSize+FarSize {
		all := make([]int, len(candidates))
		for i := range all {
			all[i] = i
		}
		return all
	}
	near := make([]scored, 0, len(candidates))
	far := make([]scored, 0, len(candidates))
	for i, candidate := range candidates {
		ranked := scored{index: i, score: namehash.Of(gateway, candidate.ID)}
		if candidate.Near {
			near = append(near, ranked)
		} else {
			far = append(far, ranked)
		}
	}
	nearest := highest(near, NearSize)
	return append(nearest, highest(far, NearSize+FarSize-len(nearest))...)
}

// explorers is how many gateways try a back end of which they know nothing at once, so that one
// that has joined gets requests. More of them would overload a back end that has just started.
const explorers = 8

// Explores reports whether a gateway is one of those that try a back end at once, if so many
// gateways consider it.
func Explores(gateway, backend string, gateways int) bool {
	if gateways <= explorers {
		return true
	}
	return float64(namehash.Of(backend, gateway)) < math.MaxUint64*float64(explorers)/float64(gateways)
}

// scored is the position of a candidate with its hash.
type scored struct {
	index int
	score uint64
}

// highest returns the positions of the candidates with the highest scores.
func highest(candidates []scored, count int) []int {
	slices.SortFunc(candidates, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	count = min(count, len(candidates))
	indexes := make([]int, 0, count)
	for _, candidate := range candidates[:count] {
		indexes = append(indexes, candidate.index)
	}
	return indexes
}

// Pace measures how often a gateway sends requests to a service. The zero value is ready to use.
// It is not safe for concurrent use.
type Pace struct {
	interval time.Duration
	last     time.Time
}

// paceWeight is the weight of the latest interval in the average.
const paceWeight = 0.125

// Observe counts a request.
func (p *Pace) Observe(now time.Time) {
	if !p.last.IsZero() {
		gap := now.Sub(p.last)
		if p.interval == 0 {
			p.interval = gap
		}
		p.interval += time.Duration(paceWeight * float64(gap-p.interval))
	}
	p.last = now
}

// visitsUntilDoubt is after how many requests for each back end of the subset a gateway begins to
// doubt what it knows of one that it hasn't used.
const visitsUntilDoubt = 4

// Reliance returns for how long the gateway relies on what it has seen of a back end, if it
// considers this many: at least shortest, and longer if it sends so little that it would
// otherwise forget what it has learnt before it can make use of it.
func (p *Pace) Reliance(considered int, shortest time.Duration) time.Duration {
	return max(shortest, time.Duration(visitsUntilDoubt*considered)*p.interval)
}
