package soak

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// SurplusAnswers makes a back end send a part of its answers twice, late or at once, those to grants
// and releases too, and turn a part of its requests away.
const SurplusAnswers Kind = "surplus-answers"

const (
	// surplusStream keeps the draw of this kind apart from that of other strikes.
	surplusStream = 0x5a7e
	// surplusPause is the mean pause between two such strikes.
	surplusPause = 600 * time.Millisecond
	// mostSurplus is the largest share of answers that are sent twice, and mostRefused that of requests
	// that are turned away.
	mostSurplus = 0.9
	mostRefused = 0.3
)

// drawSurplus returns the strikes of a seed of this kind.
func drawSurplus(seed uint64, duration time.Duration) []Strike {
	random := rand.New(rand.NewPCG(seed, surplusStream))
	return drawStrikes(random, firstStrike, duration, surplusPause, func(at time.Duration) Strike {
		return Strike{Kind: SurplusAnswers, At: at, Target: random.IntN(1 << 16), For: drawLength(random, shortest, longest)}
	})
}

// strikeSurplus does one strike of this kind. Others may strike the back end meanwhile: keys that move
// are those whose orders a surplus answer matters to.
func (f *fleet) strikeSurplus(instance *platformstandin.Instance, strike Strike) {
	random := lockedRandom{source: rand.New(rand.NewPCG(uint64(strike.At), uint64(strike.Target)))}
	surplus, refused, late := mostSurplus*random.float(), mostRefused*random.float(), random.float()
	instance.SetSurplus(func() platformstandin.Surplus {
		switch {
		case random.float() >= surplus:
			return platformstandin.NoSurplus
		case random.float() < late:
			return platformstandin.SurplusLate
		default:
			return platformstandin.SurplusAtOnce
		}
	})
	instance.SetRefusals(func() bool { return random.float() < refused })
	_ = pause.For(f.ctx, strike.For)
	instance.SetSurplus(nil)
	instance.SetRefusals(nil)
}

// lockedRandom is a random source for several goroutines.
type lockedRandom struct {
	mutex  sync.Mutex
	source *rand.Rand
}

// float draws a number from 0 up to 1.
func (r *lockedRandom) float() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source.Float64()
}
