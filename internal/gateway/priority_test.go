package gateway

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// requestKind describes one kind of request that an overloaded back end gets.
type requestKind struct {
	priority int
	target   time.Duration
	// interval is the time between arrivals, and serviceTime how long a request uses a slot.
	interval    time.Duration
	serviceTime time.Duration
}

// servedShares sends requests of several kinds for a while and returns the fraction of each
// kind that got a slot.
func servedShares(t *testing.T, g *slotLimiter, kinds ...requestKind) []float64 {
	const period = 20 * time.Second
	var mutex sync.Mutex
	served := make([]float64, len(kinds))
	offered := make([]float64, len(kinds))
	var all sync.WaitGroup
	for i, kind := range kinds {
		all.Go(func() {
			for began := steady.Reading(); steady.Elapsed(began) < period; time.Sleep(kind.interval) {
				mutex.Lock()
				offered[i]++
				mutex.Unlock()
				all.Go(func() {
					wanted := demand{Priority: kind.priority, Due: steady.Reading().Add(kind.target), Target: kind.target,
						InTimeWait: kind.target - time.Duration(serviceTimeMargin*float64(kind.serviceTime))}
					taken, err := g.acquire(t.Context(), wanted)
					if err != nil {
						return
					}
					time.Sleep(kind.serviceTime)
					g.release(taken, kind.serviceTime)
					mutex.Lock()
					served[i]++
					mutex.Unlock()
				})
			}
		})
	}
	all.Wait()
	for i := range served {
		served[i] /= offered[i]
	}
	return served
}

// maxInversion is how much less often a more urgent kind of request may be served than a
// less urgent one of the same back end (a requirement of the users).
const maxInversion = 0.05

func TestMoreUrgentKindIsServedNoLessOften(t *testing.T) {
	const tick = time.Millisecond
	cases := map[string]struct{ urgent, other requestKind }{
		"same target": {
			requestKind{priority: 0, target: 400 * tick, interval: 8 * tick, serviceTime: 50 * tick},
			requestKind{priority: 2, target: 400 * tick, interval: 7 * tick, serviceTime: 50 * tick},
		},
		"urgent with the shorter target": {
			requestKind{priority: 0, target: 200 * tick, interval: 8 * tick, serviceTime: 40 * tick},
			requestKind{priority: 2, target: 800 * tick, interval: 7 * tick, serviceTime: 60 * tick},
		},
		"urgent with the longer target": {
			requestKind{priority: 0, target: 800 * tick, interval: 9 * tick, serviceTime: 60 * tick},
			requestKind{priority: 2, target: 200 * tick, interval: 7 * tick, serviceTime: 40 * tick},
		},
		"urgent with the longer target, few short": {
			requestKind{priority: 0, target: 800 * tick, interval: 9 * tick, serviceTime: 60 * tick},
			requestKind{priority: 2, target: 200 * tick, interval: 20 * tick, serviceTime: 30 * tick},
		},
	}
	for name, kinds := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newSlotLimiter()
				g.setCapacity(8)
				shares := servedShares(t, g, kinds.urgent, kinds.other)
				t.Logf("urgent %.2f, other %.2f", shares[0], shares[1])
				assert.Assert(t, shares[0] >= shares[1]-maxInversion, "urgent %.2f, other %.2f", shares[0], shares[1])
			})
		})
	}
}
