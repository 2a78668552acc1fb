package platformstandin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// order sends an operator's order about the fleet's zone.
func (r *rig) order(action string) {
	r.t.Helper()
	status, err := r.Operate(r.ctx, "/evacuations/z/"+action, "")
	assert.NilError(r.t, err)
	assert.Equal(r.t, status, http.StatusOK)
}

// waitStatus calls until a machine's callers get a status.
func (r *rig) waitStatus(side *Machine, method, path string, status int) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if answer, _ := r.call(side, method, path); answer.Status != status {
			return poll.Continue("%s %s: %d", method, path, answer.Status)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// While its zone is evacuated no back end gets a request, also after all processes were
// killed; callers are told that theirs have not run. Afterwards all are served again.
func TestBackEndsOfAnEvacuatedZoneGetNothing(t *testing.T) {
	r := newRig(t)
	r.order("start")
	r.order("start")
	r.waitStatus(r.Sides[2], http.MethodPost, "/p/x", http.StatusServiceUnavailable)
	r.waitStatus(r.Sides[0], http.MethodGet, "/k/x", http.StatusServiceUnavailable)
	before, _ := r.Ledger.Totals()
	for range 20 {
		for _, side := range r.Sides {
			r.call(side, http.MethodPost, "/p/x")
			r.call(side, http.MethodGet, "/k/x")
		}
	}
	for _, machine := range append(append([]*Machine{}, r.Cores...), r.Sides...) {
		machine.kill()
		assert.NilError(t, machine.Start())
	}
	for range 20 {
		for _, side := range r.Sides {
			r.call(side, http.MethodPost, "/p/x")
			r.call(side, http.MethodGet, "/k/x")
		}
		time.Sleep(50 * time.Millisecond)
	}
	after, _ := r.Ledger.Totals()
	assert.Equal(t, after, before, "requests ran in an evacuated zone")
	r.order("end")
	r.waitStatus(r.Sides[2], http.MethodPost, "/p/x", http.StatusOK)
	r.waitStatus(r.Sides[0], http.MethodGet, "/k/x", http.StatusOK)
	assert.DeepEqual(t, r.Ledger.Violations(), []string{})
}

// A back end that comes cold, or turns cold while its zone is empty, gets what it bears,
// however many callers there are.
func TestColdBackEndsGetWhatTheyBear(t *testing.T) {
	const rate, cold, callers = 13, 3 * time.Second, 24
	r := newRig(t)
	warmup := strings.ReplaceAll(r.configuration(6, 5), `"healthCheckPath":"/health",`, fmt.Sprintf(`"healthCheckPath":"/health","warmup":"3s","warmupPerS":%d,`, rate))
	status, err := r.Operate(r.ctx, "/config/put", warmup)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	for _, instance := range r.instances {
		instance.mutex.Lock()
		instance.ColdRate = rate
		instance.mutex.Unlock()
	}
	r.order("start")
	r.waitStatus(r.Sides[2], http.MethodPost, "/p/x", http.StatusServiceUnavailable)
	for _, instance := range r.instances {
		instance.TurnCold(cold)
	}
	r.order("end")
	served := r.flood(callers, cold+time.Second)
	assert.Assert(t, served > rate, "%d served", served)
	assert.DeepEqual(t, r.Ledger.Violations(), []string{})
}

// flood calls the unkeyed service from several callers for a time and returns how many
// requests were served.
func (r *rig) flood(callers int, length time.Duration) (served int) {
	var all sync.WaitGroup
	var mutex sync.Mutex
	began := time.Now()
	for caller := range callers {
		all.Go(func() {
			side := r.Sides[2+caller%2]
			for number := 0; time.Since(began) < length; number++ {
				id := fmt.Sprintf("flood-%d-%d", caller, number)
				answer, err := side.Call(r.ctx, http.MethodPost, "a.example", "/p/x", id, "1", "body")
				if err != nil || answer.Status != http.StatusOK {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				mutex.Lock()
				served++
				mutex.Unlock()
			}
		})
	}
	all.Wait()
	return served
}
