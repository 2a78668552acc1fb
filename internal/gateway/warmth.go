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
	"github.com/quartzdock/quartzdock/internal/incarnation"
	"github.com/quartzdock/quartzdock/internal/overload"
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
	// maxHealthAnswer bounds what is read of an answer's body, which tells nothing.
	maxHealthAnswer = 64 << 10
)

// errTwice: a field of the answer stands twice.
var errTwice = errors.New("a field stands twice")

// errOtherInstance: another life of the back end has answered.
var errOtherInstance = errors.New("another instance answered")

// configureWarmth follows the configuration of the back end's service.
func (g *slotGate) configureWarmth(perSecond float64, length time.Duration) {
	g.decide(func(queue *overload.SlotQueue, _ time.Time) { queue.ConfigureWarmth(perSecond, length) })
}

// suspectCold takes the back end for cold until it is told otherwise.
func (g *slotGate) suspectCold() {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.SuspectCold(now) })
}

// hearWarmth takes a heartbeat's word on how much longer the back end is cold; fresh
// says that it is the first of a life.
func (g *slotGate) hearWarmth(left time.Duration, fresh bool) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.HearWarmth(left, fresh, now) })
}

// tellWarmth takes the back end's answer to the question how much longer it is cold.
func (g *slotGate) tellWarmth(left time.Duration) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.TellWarmth(left, now) })
}

// coldness reports whether the back end is taken for cold, and whether it should be
// asked.
func (g *slotGate) coldness() (cold, ask bool) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { cold, ask = queue.Coldness(now) })
	return cold, ask
}

// bearsNow reports whether a request that came now would not wait for the back end
// to become warmer.
func (g *slotGate) bearsNow() (bears bool) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { bears = queue.BearsNow(now) })
	return bears
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
	} else if _, ask := g.slots.coldness(); ask {
		if err := g.askWarmth(ctx, v); err != nil {
			g.metrics.unread(toldWarmth)
			g.config.Log.Info("back end did not say whether it is cold", "error", err)
		}
	}
	cold, _ := g.slots.coldness()
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
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthAnswer)); err != nil {
		return err
	}
	if len(response.Header.Values(names.InstanceID)) > 1 || len(response.Header.Values(names.WarmupLeft)) > 1 {
		return errTwice
	}
	answered := response.Header.Get(names.InstanceID)
	if answered != "" && answered != incarnation.IDOf(instance.ID) {
		return errOtherInstance
	}
	if answered != "" && !g.registry.proved() {
		g.registry.prove(answered)
		g.keys.signal()
	}
	text := response.Header.Get(names.WarmupLeft)
	if text == "" && response.StatusCode == http.StatusOK {
		g.slots.tellWarmth(0)
		return nil
	}
	left, ok := parseMilliseconds(text)
	if !ok {
		return fmt.Errorf("%s: %.64q is no time in milliseconds", names.WarmupLeft, text)
	}
	g.slots.tellWarmth(left)
	return nil
}

// unproved says that the back end may be another life than the one that the leader knew
// when this process started. It is granted nothing then: the keys would go to a life that
// the leader does not know to hold them. Its answer or its first heartbeat tells.
func (g *Gateway) unproved() bool {
	service := g.views.load().service(g.config.Service)
	return service != nil && service.WarmupRate > 0 && !g.registry.proved()
}

// prepare follows a view that is about to come into force: what a cold back end bears,
// and whether it may have turned cold. A gateway that has just started does not know,
// and a back end that stood empty is cold.
func (g *Gateway) prepare(before, after *view) {
	if service := after.service(g.config.Service); service != nil {
		g.slots.configureWarmth(service.WarmupRate, service.Warmup)
	}
	if before.version() != after.version() {
		g.firstTries.follow(after)
	}
	if before.table == nil || before.evacuationsIndex != after.evacuationsIndex {
		g.slots.suspectCold()
	}
}
