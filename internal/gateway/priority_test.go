package gateway

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// requestKind is one kind of request of an overloaded back end.
type requestKind struct {
	priority int
	target   time.Duration
	// interval between arrivals, and how long one uses a slot.
	interval time.Duration
	runs     time.Duration
}

// servedShares offers kinds of requests to a gate for a while and returns which
// share of each got a slot.
func servedShares(t *testing.T, g *slotGate, kinds ...requestKind) []float64 {
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
						Patience: kind.target - time.Duration(serviceMargin*float64(kind.runs))}
					taken, err := g.acquire(t.Context(), wanted)
					if err != nil {
						return
					}
					time.Sleep(kind.runs)
					g.release(taken, kind.runs)
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

// A more urgent kind of request is not served less often than a less urgent one
// of the same back end by more than this (the users' bound).
const mostInversion = 0.05

func TestAMoreUrgentKindIsServedNoLessOften(t *testing.T) {
	const tick = time.Millisecond
	cases := map[string]struct{ urgent, other requestKind }{
		"same target": {
			requestKind{priority: 0, target: 400 * tick, interval: 8 * tick, runs: 50 * tick},
			requestKind{priority: 2, target: 400 * tick, interval: 7 * tick, runs: 50 * tick},
		},
		"urgent with the shorter target": {
			requestKind{priority: 0, target: 200 * tick, interval: 8 * tick, runs: 40 * tick},
			requestKind{priority: 2, target: 800 * tick, interval: 7 * tick, runs: 60 * tick},
		},
		"urgent with the longer target": {
			requestKind{priority: 0, target: 800 * tick, interval: 9 * tick, runs: 60 * tick},
			requestKind{priority: 2, target: 200 * tick, interval: 7 * tick, runs: 40 * tick},
		},
		"urgent with the longer target, few short": {
			requestKind{priority: 0, target: 800 * tick, interval: 9 * tick, runs: 60 * tick},
			requestKind{priority: 2, target: 200 * tick, interval: 20 * tick, runs: 30 * tick},
		},
	}
	for name, kinds := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newSlotGate()
				g.setCapacity(8)
				shares := servedShares(t, g, kinds.urgent, kinds.other)
				t.Logf("urgent %.2f, other %.2f", shares[0], shares[1])
				assert.Assert(t, shares[0] >= shares[1]-mostInversion, "urgent %.2f, other %.2f", shares[0], shares[1])
			})
		})
	}
}
