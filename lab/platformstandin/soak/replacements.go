package soak

import (
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// ControllersReplaced replaces controllers one after the other, each by one with a new address and an
// empty disk. Every second one is stopped as planned.
const ControllersReplaced Kind = "controllers-replaced"

const (
	// replacementStream keeps the draw of this kind apart from that of other strikes.
	replacementStream = 0x4ea7
	// firstReplacement lets the fleet serve before, and replacementPause is the mean pause between
	// two series.
	firstReplacement = 2 * time.Second
	replacementPause = 20 * time.Second
	// mostReplaced bounds the machines of a series, which is more than half of the usual ones.
	mostReplaced = 4
)

// drawReplacements returns the strikes of a seed of this kind.
func drawReplacements(seed uint64, duration time.Duration) []Strike {
	random := rand.New(rand.NewPCG(seed, replacementStream))
	return drawStrikes(random, firstReplacement, duration, replacementPause, func(at time.Duration) Strike {
		return Strike{Kind: ControllersReplaced, At: at, Target: random.IntN(1 << 16), Rounds: 1 + random.IntN(mostReplaced)}
	})
}

// replaceControllers does one strike of this kind. No other disk is lost meanwhile.
func (f *fleet) replaceControllers(strike Strike) error {
	f.diskLosses.Lock()
	defer f.diskLosses.Unlock()
	for round := range strike.Rounds {
		if f.ctx.Err() != nil {
			return nil
		}
		struck := f.controllers[(strike.Target+round)%len(f.controllers)]
		if err := f.replaceController(struck, round%2 == 1); err != nil {
			return err
		}
		_ = pause.For(f.ctx, platformstandin.CountsAgain)
	}
	return nil
}

// replaceController replaces the machine of a place.
func (f *fleet) replaceController(struck *place, planned bool) error {
	struck.mutex.Lock()
	defer struck.mutex.Unlock()
	added, err := f.ReplaceCore(f.ctx, struck.machine, planned)
	if added != nil {
		struck.machine = added
	}
	return err
}
