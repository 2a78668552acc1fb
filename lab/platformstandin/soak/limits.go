package soak

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// BackendLimit makes a back end state a rate limit in its answers, which changes meanwhile, and
// lifts it at the end.
const BackendLimit Kind = "back-end-limit"

const (
	// limitStream keeps the draw of limits apart from that of other strikes.
	limitStream = 0x11417
	// limitPause is the mean pause between two limits. Each lasts for shortestLimit to
	// longestLimit: as long as it takes until it is checked, and more.
	limitPause    = 4 * time.Second
	shortestLimit = 5 * time.Second
	longestLimit  = 12 * time.Second
	// highestLimit, in requests a second, is below what a back end gets without a limit.
	highestLimit = 6
)

// malformedLimits are no limits.
var malformedLimits = []string{"many", "-1", "1e2", "7,5"}

// drawLimits returns the limits of a seed.
func drawLimits(seed uint64, duration time.Duration) []Strike {
	random := rand.New(rand.NewPCG(seed, limitStream))
	return drawStrikes(random, firstStrike, duration, limitPause, func(at time.Duration) Strike {
		return Strike{Kind: BackendLimit, At: at, Target: random.IntN(1 << 16), For: drawLength(random, shortestLimit, longestLimit)}
	})
}

// limitBackend makes a back end state a limit for the time of a strike. Half-way it states another
// one, or what is none.
func (f *fleet) limitBackend(instance *platformstandin.Instance, strike Strike) {
	random := rand.New(rand.NewPCG(uint64(strike.At), uint64(strike.Target)))
	limit := func() string { return strconv.FormatFloat(highestLimit*random.Float64()*random.Float64(), 'f', 1, 64) }
	instance.StateLimit(limit())
	_ = pause.For(f.ctx, strike.For/2)
	if random.IntN(2) == 0 {
		instance.StateLimit(malformedLimits[random.IntN(len(malformedLimits))])
	} else {
		instance.StateLimit(limit())
	}
	_ = pause.For(f.ctx, strike.For/2)
	instance.StateLimit("")
}
