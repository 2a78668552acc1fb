package platformstandin

import (
	"net/http"
	"strconv"
	"time"
)

// Bounds of what a cold instance may get in any second: its rate times coldOver, and
// coldSlack beside.
const (
	coldOver  = 1.5
	coldSlack = 8
)

// warmth is when a stand-in is warm and what it got while it was cold.
type warmth struct {
	until    time.Time
	arrivals []time.Time
}

// TurnCold makes the instance cold again for a time.
func (i *Instance) TurnCold(length time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.warm = warmth{until: time.Now().Add(length)}
}

// warmupLeft is how much longer the instance is cold.
func (i *Instance) warmupLeft() time.Duration {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	return max(time.Until(i.warm.until), 0)
}

// health answers at once.
func (i *Instance) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Instance-Id", i.ID)
	w.Header().Set("Warmup-Ms", strconv.FormatInt(i.warmupLeft().Milliseconds(), 10))
}

// arrives checks that a cold instance gets no more than it may.
func (i *Instance) arrives() {
	now := time.Now()
	i.mutex.Lock()
	if i.ColdRate <= 0 || now.After(i.warm.until) {
		i.mutex.Unlock()
		return
	}
	i.warm.arrivals = append(i.warm.arrivals, now)
	got := 0
	for _, at := range i.warm.arrivals {
		if now.Sub(at) <= time.Second {
			got++
		}
	}
	i.mutex.Unlock()
	if float64(got) > coldOver*i.ColdRate+coldSlack {
		i.ledger.Broken("%s is cold and got %d requests within a second", i.ID, got)
	}
}
