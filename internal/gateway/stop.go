package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/httpserver"
)

const (
	// quietBeforeStop is how long no caller must have come, and leastStop how
	// long callers are given to go elsewhere.
	quietBeforeStop = 400 * time.Millisecond
	leastStop       = 2200 * time.Millisecond
	stopStep        = 25 * time.Millisecond
	// stopReserve is kept of a planned stop for what is still running.
	stopReserve = 1500 * time.Millisecond
)

// Stop lets callers go elsewhere, finishes what runs, and ends.
func (g *Gateway) Stop() error {
	began := time.Now()
	g.stopping.Store(true)
	g.registry.leaving()
	g.logStop("planned stop begins", began, "ends_within_ms", g.config.StopWithin.Milliseconds())
	for time.Since(began) < g.config.StopWithin-stopReserve {
		quiet := time.Since(time.Unix(0, g.lastCaller.Load())) > quietBeforeStop && g.active.Load() == 0
		if quiet && time.Since(began) > leastStop {
			break
		}
		time.Sleep(stopStep)
	}
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.config.StopWithin))
	defer cancel()
	err := errors.Join(g.stopListener("callers", began, func() error { return g.callers.Stop(ctx) }),
		g.stopListener("peers", began, func() error { return g.inbound.Stop(ctx) }))
	g.cancel()
	g.ended.Wait()
	g.logStop("planned stop ends", began)
	return err
}

// stopListener runs one listener's stop and tells of its beginning, its end and
// how many requests it cut off.
func (g *Gateway) stopListener(name string, began time.Time, stop func() error) error {
	g.logStop("listener stops", began, "listener", name)
	err := stop()
	cut := 0
	if cutOff := (*httpserver.CutOffError)(nil); errors.As(err, &cutOff) {
		cut = cutOff.Requests
	}
	g.logStop("listener stopped", began, "listener", name, "cut_off", cut)
	return err
}

// logStop tells how far a planned stop has come and what is in progress.
func (g *Gateway) logStop(message string, began time.Time, fields ...any) {
	fields = append(fields, "after_ms", time.Since(began).Milliseconds(),
		"callers_in_flight", g.active.Load(), "peers_in_flight", g.peerActive.Load(), "slots_used", g.slots.load().running)
	g.config.Log.Info(message, fields...)
}
