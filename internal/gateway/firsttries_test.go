package gateway

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// comingBack counts how callers end that ask a back end for 1.6 times what it can do
// and come back twice, when told.
type comingBack struct {
	// byFirstTry says that the gateway works out when a caller tried first.
	byFirstTry            bool
	inTime, late, refused int
}

func (c *comingBack) play(t *testing.T) {
	const (
		slots, callers, tries = 6, 3000, 3
		load                  = 1.6
		target, waits         = 900 * time.Millisecond, 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 9))
		g := lateGate(slots)
		var seen firstTries
		var mutex sync.Mutex
		var all sync.WaitGroup
		ask := func(first time.Time, work time.Duration) bool {
			age := seen.age("route", (waits - time.Since(first)).Truncate(time.Millisecond))
			if !c.byFirstTry {
				age = 0
			}
			taken, err := g.acquire(t.Context(), wish(target-age, waits-time.Since(first)))
			if err != nil {
				return false
			}
			time.Sleep(work)
			g.release(taken, work)
			return true
		}
		for range callers {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(lateService) / slots / load))
			work := time.Duration((0.5 + random.Float64()) * float64(lateService))
			pauses := []time.Duration{0, time.Duration((0.4 + random.Float64()) * float64(time.Second)), time.Duration((0.4 + random.Float64()) * float64(time.Second))}
			all.Go(func() {
				first := time.Now()
				for try := range tries {
					time.Sleep(pauses[try])
					if !ask(first, work) {
						continue
					}
					mutex.Lock()
					defer mutex.Unlock()
					if time.Since(first) <= target {
						c.inTime++
					} else {
						c.late++
					}
					return
				}
				mutex.Lock()
				c.refused++
				mutex.Unlock()
			})
		}
		all.Wait()
	})
}

// A back end that is asked for too much by callers who come back serves most of them in
// time, where it knows which tries are first ones.
func TestFirstTriesAreServedInTimeUnderOverload(t *testing.T) {
	before, after := &comingBack{}, &comingBack{byFirstTry: true}
	before.play(t)
	after.play(t)
	t.Logf("due times from each try: %+v; from first tries: %+v", *before, *after)
	assert.Assert(t, float64(after.inTime) > 1.3*float64(before.inTime))
	assert.Assert(t, after.inTime+after.late > (before.inTime+before.late)*97/100, "no fewer are served")
}
