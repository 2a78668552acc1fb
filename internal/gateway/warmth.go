package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// A back end that is cold bears a few requests a second and fails above that. The
// gateway beside it is its only sender, so that the bound is held here, exactly, and
// told to the other gateways and to the leader, which choose by it.

const (
	// warmthInterval is how often it is looked whether the back end has become warm or
	// should be asked: a fraction of the seconds that one is cold.
	warmthInterval = 100 * time.Millisecond
	// askTimeout bounds one question. The back ends' health path answers at once.
	askTimeout = 300 * time.Millisecond
)

// errOtherInstance: another life of the back end has answered.
var errOtherInstance = errors.New("another instance answered")

// configureWarmth follows the configuration of the back end's service.
func (g *slotGate) configureWarmth(perSecond float64, length time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.warmth.Configure(perSecond, length)
}

// suspectCold takes the back end for cold until it is told otherwise.
func (g *slotGate) suspectCold() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.warmth.Suspect(time.Now())
}

// tellWarmth takes the back end's word on how much longer it is cold; fresh says
// that it is the first of a life.
func (g *slotGate) tellWarmth(left time.Duration, fresh bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if fresh {
		g.warmth.Forget()
	}
	g.warmth.Tell(left, time.Now())
	g.admit()
}

// coldness reports whether the back end is taken for cold, and whether it should be
// asked.
func (g *slotGate) coldness(now time.Time) (cold, ask bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.warmth.Cold(now), g.warmth.Suspected()
}

// bearsNow reports whether a request that came now would not wait for the back end
// to become warmer.
func (g *slotGate) bearsNow(now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.warmth.Wait(now) == 0 && len(g.short.queue)+len(g.long.queue) == 0
}

// paced is how long a request waits behind a number of others at the rate that a
// cold back end bears; zero where it is warm. The caller has the mutex.
func (g *slotGate) paced(ahead int, now time.Time) time.Duration {
	if !g.warmth.Cold(now) {
		return 0
	}
	behind := float64(ahead) / g.warmth.Rate()
	return g.warmth.Wait(now) + time.Duration(behind*float64(time.Second))
}

// awaitPace sets the timer for the next request that waits for the back end to bear
// it. The caller has the mutex.
func (g *slotGate) awaitPace(now time.Time) {
	if g.pace != nil || g.short.waiting()+g.long.waiting() == 0 {
		return
	}
	wait := g.warmth.Wait(now)
	if wait == 0 {
		return
	}
	g.pace = time.AfterFunc(wait, func() {
		g.mutex.Lock()
		defer g.mutex.Unlock()
		g.pace = nil
		g.admit()
	})
}

// watchWarmth follows how the back end warms up.
func (g *Gateway) watchWarmth(ctx context.Context) {
	each(ctx, warmthInterval, func() { g.checkWarmth(ctx) })
}

// checkWarmth asks the back end where nobody knows whether it is cold, and tells the
// leader where that has changed. In a zone that is evacuated nothing is asked: when
// the back end gets requests again, it may have turned cold a moment before.
func (g *Gateway) checkWarmth(ctx context.Context) {
	v := g.views.load()
	if v.evacuated(g.config.Zone) {
		g.slots.suspectCold()
	} else if _, ask := g.slots.coldness(time.Now()); ask {
		if err := g.askWarmth(ctx, v); err != nil {
			g.config.Log.Info("back end did not say whether it is cold", "error", err)
		}
	}
	cold, _ := g.slots.coldness(time.Now())
	if g.registry.setCold(cold) {
		g.instanceChanged()
	}
}

// askWarmth asks the back end's health path how much longer it is cold.
func (g *Gateway) askWarmth(ctx context.Context, v *view) error {
	instance := g.registry.snapshot()
	service := v.service(g.config.Service)
	if instance.ID == "" || instance.State == fleetwire.InstanceGone || service == nil || service.HealthPath == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	names := &g.config.Headers
	header := http.Header{"User-Agent": {""}}
	response, err := g.egress.pool.Do(ctx, &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: service.HealthPath}, Host: g.config.BackendAddress, Header: header,
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswer)); err != nil {
		return err
	}
	if answered := response.Header.Get(names.InstanceID); answered != "" && answered != instance.ID {
		return errOtherInstance
	}
	text := response.Header.Get(names.WarmupLeft)
	if text == "" && response.StatusCode == http.StatusOK {
		g.slots.tellWarmth(0, false)
		return nil
	}
	left, ok := parseMilliseconds(text)
	if !ok {
		return fmt.Errorf("%s: %q is no time in milliseconds", names.WarmupLeft, text)
	}
	g.slots.tellWarmth(left, false)
	return nil
}

// prepare follows a view that is about to come into force: what a cold back end bears,
// and whether it may have turned cold. A gateway that has just started does not know,
// and a back end that stood empty is cold.
func (g *Gateway) prepare(before, after *view) {
	if service := after.service(g.config.Service); service != nil {
		g.slots.configureWarmth(service.WarmupRate, service.Warmup)
	}
	if before.table == nil || before.evacuationsIndex != after.evacuationsIndex {
		g.slots.suspectCold()
	}
}
