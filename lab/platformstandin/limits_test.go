package platformstandin

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// Two back ends stated limits of 28 requests a second and got 91 and 86 a second, as many as before,
// from gateways that had all passed the statements on: the header field was forwarded like any other,
// and nothing but slots bounded what a back end got.

const (
	// loadPause is between two requests at each gateway, whether earlier ones are answered or not:
	// several times the limits below.
	loadPause = 15 * time.Millisecond
)

// loadCounts are what the callers of a load got.
type loadCounts struct {
	mutex sync.Mutex
	// served counts the answers of each instance, refused the refusals, and early those without a
	// time to come back.
	served                 map[string]int
	refused, early, failed int
	// slowest is the longest time that a refusal took.
	slowest time.Duration
}

func (c *loadCounts) add(answer Answer, err error, took time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch {
	case err != nil:
		c.failed++
	case answer.Status == http.StatusOK:
		var instance string
		_, _ = fmt.Sscan(answer.Body, &instance)
		c.served[instance]++
	case answer.Status == http.StatusServiceUnavailable:
		c.refused++
		c.slowest = max(c.slowest, took)
		if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err != nil || seconds <= 0 {
			c.early++
		}
	default:
		c.failed++
	}
}

// load sends requests at all gateways for a time, and returns what the callers got.
func (r *rig) load(length time.Duration, method, path string) *loadCounts {
	counts := &loadCounts{served: map[string]int{}}
	ctx, cancel := context.WithTimeout(r.ctx, length)
	defer cancel()
	var all sync.WaitGroup
	for side := range r.Sides {
		all.Go(func() {
			for number := 0; pause.For(ctx, loadPause) == nil; number++ {
				all.Go(func() {
					id := fmt.Sprintf("load-%s-%d-%d-%d", path[1:2], side, number, time.Now().UnixNano())
					key := fmt.Sprint((number*7919 + side*104729) % 65536)
					began := time.Now()
					answer, err := r.Sides[side].Call(r.ctx, method, "a.example", path, id, key, "body")
					counts.add(answer, err, time.Since(began))
				})
			}
		})
	}
	all.Wait()
	return counts
}

func (r *rig) instancesOf(service string) []*Instance {
	var found []*Instance
	for _, instance := range r.instances {
		if instance.Service == service {
			found = append(found, instance)
		}
	}
	return found
}

func TestBackEndsGetNoMoreThanTheLimitTheyState(t *testing.T) {
	byBoth(t, backEndsGetNoMoreThanTheyState)
}

func backEndsGetNoMoreThanTheyState(t *testing.T, r *rig) {
	for _, instance := range r.instancesOf("keyed") {
		instance.StateLimit("12.5")
	}
	r.instancesOf("plain")[0].StateLimit("8")
	var keyed, plain *loadCounts
	var both sync.WaitGroup
	const length = 10 * time.Second
	both.Go(func() { keyed = r.load(length, http.MethodGet, "/k/x") })
	both.Go(func() { plain = r.load(length, http.MethodPost, "/p/x") })
	both.Wait()
	r.checkPromises()
	assert.Check(t, keyed.refused > 0 && keyed.early == 0, "%d refused, %d without a time to come back", keyed.refused, keyed.early)
	assert.Check(t, plain.refused == 0, "%d refused though a back end had room", plain.refused)
	for _, instance := range r.instancesOf("keyed") {
		assert.Check(t, keyed.served[instance.ID] >= 100, "%s served %d in %v, and takes 12.5 a second", instance.ID, keyed.served[instance.ID], length)
	}
	assert.Equal(t, keyed.failed+plain.failed, 0)
}

// The gateway beside a back end that states a limit is killed and started again, while the gateways
// that have passed the limit on go on sending.
func TestRestartedGatewayKeepsToAStatedLimit(t *testing.T) {
	byBoth(t, restartedGatewayKeepsToALimit)
}

func restartedGatewayKeepsToALimit(t *testing.T, r *rig) {
	for _, instance := range r.instances {
		instance.StateLimit("4")
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 4 {
			_ = pause.For(r.ctx, 1500*time.Millisecond)
			for _, side := range []*Machine{r.Sides[0], r.Sides[2]} {
				side.Signal(syscall.SIGKILL)
				assert.Check(t, side.Start())
			}
		}
	}()
	var both sync.WaitGroup
	both.Go(func() { r.load(9*time.Second, http.MethodGet, "/k/x") })
	both.Go(func() { r.load(9*time.Second, http.MethodPost, "/p/x") })
	both.Wait()
	<-done
	r.checkPromises()
}
