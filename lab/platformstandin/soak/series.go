package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

const (
	// firstSeries lets other strikes come before, and meanBetweenSeries is the mean
	// time from one series to the next; a series takes the grace and its gaps.
	firstSeries       = 8 * time.Second
	meanBetweenSeries = 14 * time.Second
	// leastGap and mostGap bound the time between two stops of a series. With a
	// stop each 0.25 s and 6 s of grace, up to 24 would be under way together.
	leastGap = 150 * time.Millisecond
	mostGap  = 900 * time.Millisecond
	// onceMore is one in how many series that come twice in succession.
	onceMore = 2
	// seriesStream keeps the draw of series apart from that of other strikes, so
	// that a seed's other strikes are the same with and without series.
	seriesStream = 0x5e61e5
)

// drawSeries returns the series of planned stops of a seed, from a time on.
func drawSeries(seed uint64, first, duration time.Duration) []Strike {
	random := rand.New(rand.NewPCG(seed, seriesStream))
	var series []Strike
	for at := first; at < duration; at += platformstandin.Grace + time.Duration(random.ExpFloat64()*float64(meanBetweenSeries-platformstandin.Grace)) {
		strike := Strike{
			Kind: RollingStops, At: at, Target: random.IntN(1 << 16),
			Gap: leastGap + time.Duration(random.Int64N(int64(mostGap-leastGap))), Rounds: 1,
		}
		if random.IntN(onceMore) == onceMore-1 {
			strike.Rounds++
		}
		series = append(series, strike)
	}
	return series
}

// rollingStops stops the gateways one after the other, beginning with the
// target, and starts each again as soon as its process has ended. A further round
// begins a gap after the last stop of the one before.
func (f *fleet) rollingStops(series Strike) error {
	var all sync.WaitGroup
	failed := make(chan error, series.Rounds*len(f.gateways))
	for i := range series.Rounds * len(f.gateways) {
		gateway := f.gateways[(series.Target+i)%len(f.gateways)]
		all.Go(func() { failed <- f.restart(gateway) })
		if pause.For(f.ctx, series.Gap) != nil {
			break
		}
	}
	all.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// restart stops a machine's process as planned and starts it again.
func (f *fleet) restart(stopped *place) error {
	stopped.mutex.Lock()
	defer stopped.mutex.Unlock()
	if f.ctx.Err() != nil {
		return nil
	}
	stopped.machine.StopPlanned(f.ctx, platformstandin.Grace)
	return f.start(stopped.machine)
}

// start starts a machine's process again, unless the soak is ending.
func (f *fleet) start(machine *platformstandin.Machine) error {
	if f.ctx.Err() != nil {
		return nil
	}
	return machine.Start()
}

// end ends a machine's process as a strike says.
func (f *fleet) end(machine *platformstandin.Machine, kind Kind) {
	switch kind {
	case GatewayStop, ControllerStop:
		machine.StopPlanned(f.ctx, platformstandin.Grace)
	default:
		machine.Signal(syscall.SIGKILL)
	}
}
