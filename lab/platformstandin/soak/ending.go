package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// Requests that end each back end that begins them, and what is allowed of them.
const (
	// endingPrefix begins their paths; the route is that of keyed requests.
	endingPrefix = "/k/ends-"
	// endingPause is between two visits of one such request.
	endingPause = 250 * time.Millisecond
	// backWithin bounds how long a back end is gone that has ended under one.
	backWithin = 2 * time.Second
	// endsCounted is the number of ends from which on it counts how often a request is
	// sent, once these are known everywhere, knownWithin later; sendsAllowed is how often.
	endsCounted  = 3
	knownWithin  = 3 * time.Second
	sendsAllowed = 3
)

// ending counts what became of the requests that end back ends.
type ending struct {
	fleet *fleet
	count int
	mutex sync.Mutex
	// ends are the moments at which back ends began each request, by its path.
	ends map[string][]time.Time
}

func newEnding(f *fleet, count int) *ending {
	return &ending{fleet: f, count: count, ends: map[string][]time.Time{}}
}

// endsBackEnd notes the run of a request that ends its back end.
func (e *ending) endsBackEnd(r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, endingPrefix) {
		return false
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ends[r.URL.Path] = append(e.ends[r.URL.Path], time.Now())
	return true
}

// run brings the requests to all gateways again and again, and back ends that have ended under
// them back, until the context ends.
func (e *ending) run(ctx context.Context, seed uint64) {
	var all sync.WaitGroup
	for number := range e.count {
		random := rand.New(rand.NewPCG(seed, uint64(number)^0xe2d5))
		path, key := fmt.Sprintf("%s%d", endingPrefix, number), drawKey(random)
		all.Go(func() {
			for pause.For(ctx, endingPause) == nil {
				gateway := e.fleet.gateways[random.IntN(len(e.fleet.gateways))].machine
				_, _ = gateway.CallReady(ctx, http.MethodGet, host, path, e.fleet.callers.next(), key, "body", 0, nil)
			}
		})
	}
	for _, backend := range e.fleet.backends {
		all.Go(func() {
			e.bringBack(ctx, backend, rand.New(rand.NewPCG(seed, uint64(backend.machine.Name[len(backend.machine.Name)-1]))))
		})
	}
	all.Wait()
}

// bringBack starts the next life of a back end that has ended under a request.
func (e *ending) bringBack(ctx context.Context, backend *place, random *rand.Rand) {
	const look = 50 * time.Millisecond
	for pause.For(ctx, look) == nil {
		backend.mutex.Lock()
		if backend.instance.Ended() {
			_ = pause.For(ctx, time.Duration(random.Int64N(int64(backWithin))))
			if err := e.fleet.startBackend(backend); err != nil {
				e.fleet.Ledger.Broken("%s: next life: %v", backend.machine.Name, err)
			}
		}
		backend.mutex.Unlock()
	}
}

// check notes the requests that were sent too often, and returns how many back ends have ended
// under them in all and under one at most.
func (e *ending) check() (all, most int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for path, ends := range e.ends {
		all, most = all+len(ends), max(most, len(ends))
		sends := 0
		for i, at := range ends {
			if i >= endsCounted && at.After(ends[endsCounted-1].Add(knownWithin)) {
				sends++
			}
		}
		if sends > sendsAllowed {
			e.fleet.Ledger.Broken("%s: %d back ends ended, %d of them %v and more after the third", path, len(ends), sends, knownWithin)
		}
	}
	return all, most
}
