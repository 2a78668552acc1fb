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

// A cold back end can serve a few requests a second and fails above that. Its local gateway is
// its only sender, so it enforces the warm-up rate exactly. It reports the rate to the other
// gateways and the cold state to the leader, which take them into account.

const (
	// warmUpCheckInterval is how often it is checked whether the back end has warmed up or
	// should be probed: a fraction of the seconds for which a back end is cold.
	warmUpCheckInterval = 100 * time.Millisecond
	// warmUpProbeTimeout bounds one probe. Back ends respond on their health path at once.
	warmUpProbeTimeout = 300 * time.Millisecond
	// maxHealthBody bounds how much of a health response's body is read. Its content is
	// ignored.
	maxHealthBody = 64 << 10
)

// errDuplicateField means that a header field of the response occurs more than once.
var errDuplicateField = errors.New("duplicate header field")

// errOtherInstance means that another instance of the back end has responded.
var errOtherInstance = errors.New("another instance responded")

// configureWarmUp applies the warm-up rate and period of the back end's service.
func (g *slotLimiter) configureWarmUp(perSecond float64, length time.Duration) {
	g.withQueue(func(queue *overload.SlotQueue, _ time.Time) { queue.ConfigureWarmUp(perSecond, length) })
}

// assumeCold treats the back end as cold until its state is known.
func (g *slotLimiter) assumeCold() {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.AssumeCold(now) })
}

// updateWarmUpFromHeartbeat applies a heartbeat's report of how much longer the back end is
// cold; fresh is set if it is the first heartbeat of an incarnation.
func (g *slotLimiter) updateWarmUpFromHeartbeat(left time.Duration, fresh bool) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.WarmUpFromHeartbeat(left, fresh, now) })
}

// updateWarmUpFromProbe applies the back end's response to a probe: how much longer it is cold.
func (g *slotLimiter) updateWarmUpFromProbe(left time.Duration) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.WarmUpFromProbe(left, now) })
}

// warmUpState reports whether the back end is treated as cold, and whether it should be probed.
func (g *slotLimiter) warmUpState() (cold, probe bool) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { cold, probe = queue.WarmUpState(now) })
	return cold, probe
}

// hasWarmUpCapacity reports whether a request that arrived now could run without waiting for
// the warm-up rate.
func (g *slotLimiter) hasWarmUpCapacity() (available bool) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { available = queue.AdmitsNow(now) })
	return available
}

// monitorWarmUp checks the warm-up state regularly.
func (g *Gateway) monitorWarmUp(ctx context.Context) {
	runEvery(ctx, warmUpCheckInterval, func() { g.checkWarmUp(ctx) })
}

// checkWarmUp probes the back end if it is unknown whether it is cold, and reports a changed
// state to the leader. In an evacuated zone nothing is probed: the back end may turn cold
// again just before it gets requests.
func (g *Gateway) checkWarmUp(ctx context.Context) {
	v := g.views.load()
	if v.evacuated(g.config.Zone) {
		g.slots.assumeCold()
	} else if _, probe := g.slots.warmUpState(); probe {
		if err := g.probeWarmUp(ctx, v); err != nil {
			g.metrics.countUnreadable(unreadableWarmUp)
			g.config.Log.Info("warm-up probe of the back end failed", "error", err)
		}
	}
	cold, _ := g.slots.warmUpState()
	if g.registry.setCold(cold) {
		g.instanceChanged()
	}
}

// probeWarmUp asks the back end's health path how much longer the back end is cold.
func (g *Gateway) probeWarmUp(ctx context.Context, v *view) error {
	instance := g.registry.snapshot()
	service := v.service(g.config.Service)
	if instance.ID == "" || instance.State == fleetwire.InstanceGone || service == nil || service.HealthPath == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, warmUpProbeTimeout)
	defer cancel()
	names := &g.config.Headers
	header := http.Header{"User-Agent": {""}}
	// Nothing in an answer tells which probe it answers, and one to a request states no warm-up. So a
	// probe has a connection of its own.
	response, err := g.egress.pool.DoOnNewConnection(ctx, &http.Request{
		Method: http.MethodGet, URL: &url.URL{Path: service.HealthPath}, Host: g.config.BackendAddress, Header: header, Close: true,
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBody)); err != nil {
		return err
	}
	if len(response.Header.Values(names.InstanceID)) > 1 || len(response.Header.Values(names.WarmUpLeft)) > 1 {
		return errDuplicateField
	}
	respondedBy := response.Header.Get(names.InstanceID)
	if respondedBy != "" && respondedBy != incarnation.IDOf(instance.ID) {
		return errOtherInstance
	}
	if respondedBy != "" && !g.registry.verified() {
		g.registry.verify(respondedBy)
		g.keys.signal()
	}
	text := response.Header.Get(names.WarmUpLeft)
	if text == "" && response.StatusCode == http.StatusOK {
		g.slots.updateWarmUpFromProbe(0)
		return nil
	}
	left, ok := parseMilliseconds(text)
	if !ok {
		return fmt.Errorf("%s: %.64q is not a number of milliseconds", names.WarmUpLeft, text)
	}
	g.slots.updateWarmUpFromProbe(left)
	return nil
}

// identityUnconfirmed reports whether the back end may be another incarnation than the one that
// the leader knew when this process started. Such a back end is granted no keys: the leader
// would not know which incarnation holds them. A probe's response or the first heartbeat
// settles it.
func (g *Gateway) identityUnconfirmed() bool {
	service := g.views.load().service(g.config.Service)
	return service != nil && service.WarmupRate > 0 && !g.registry.verified()
}

// prepareView applies a view that is about to take effect: the warm-up rate, and whether the
// back end may have turned cold. A gateway that has just started does not know, and a back
// end that got no requests for a while is cold.
func (g *Gateway) prepareView(before, after *view) {
	if service := after.service(g.config.Service); service != nil {
		g.slots.configureWarmUp(service.WarmupRate, service.Warmup)
	}
	if before.version() != after.version() {
		g.firstAttempts.follow(after)
	}
	if before.table == nil || before.evacuationsIndex != after.evacuationsIndex {
		g.slots.assumeCold()
	}
}
