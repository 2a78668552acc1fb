package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
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
			age := seen.age("route", (waits - steady.Elapsed(first)).Truncate(time.Millisecond))
			if !c.byFirstTry {
				age = 0
			}
			taken, err := g.acquire(t.Context(), wish(target-age, waits-steady.Elapsed(first)))
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
				first := steady.Reading()
				for try := range tries {
					time.Sleep(pauses[try])
					if !ask(first, work) {
						continue
					}
					mutex.Lock()
					defer mutex.Unlock()
					if steady.Elapsed(first) <= target {
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

// A request that is due already has no place among those that can be in time: by its due
// time it would stand before all of them, and with many slots the next one comes within
// the time that any request may wait.
func TestARequestThatIsDueStandsBeforeNobody(t *testing.T) {
	backend := startRawBackend(t, func(*http.Request) string { return "" })
	g := egressOver(t, backend)
	g.egress.setSlots(18)
	g.slots.decide(func(queue *overload.SlotQueue, _ time.Time) { queue.SetServiceTime(400 * time.Millisecond) })
	due := tryOf("due")
	due.Due = steady.Reading()
	for range 18 {
		_, err := g.slots.acquire(t.Context(), g.egress.demand(tryOf("first")))
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	order := make(chan string, 2)
	for _, name := range []string{"first", "due"} {
		wanted := g.egress.demand(tryOf(name))
		if name == "due" {
			wanted = g.egress.demand(due)
		}
		go func() {
			if _, err := g.slots.acquire(ctx, wanted); err == nil {
				order <- name
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	g.slots.release(overload.Slot{Target: time.Second}, 400*time.Millisecond)
	assert.Equal(t, <-order, "first")
}
