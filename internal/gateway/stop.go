package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/httpserver"
)

const (
	// quietBeforeStop is how long no caller must have come, and leastStop how
	// long callers are given to go elsewhere.
	quietBeforeStop = 400 * time.Millisecond
	leastStop       = 2200 * time.Millisecond
	stopStep        = 25 * time.Millisecond
	// drainReserve is kept of a planned stop, where callers keep coming, for the
	// requests that are still running: the usual timeout of a route (1.2 to 1.5 s).
	drainReserve = 1500 * time.Millisecond
	// callersReserve is kept of a planned stop for the callers' listener alone:
	// it takes its backlog, which httpserver bounds by 200 ms.
	callersReserve = 300 * time.Millisecond
)

// Stop lets callers go elsewhere, finishes what runs, and ends. From its begin
// on, only requests are admitted whose time is over before the stop's end, so
// that the end cuts off none of them.
//
// The listener of other gateways is stopped first: while their requests run, the
// back end makes calls of its own at the callers' listener.
func (g *Gateway) Stop() error {
	began := time.Now()
	end := began.Add(g.config.StopWithin)
	g.admission.Begin(end)
	g.registry.leaving()
	g.logStop("planned stop begins", began, "ends_within_ms", g.config.StopWithin.Milliseconds())
	g.awaitQuietCallers(began)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	var peersError error
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		peersError = g.stopListener(ctx, "peers", g.inbound, began)
	}()
	select {
	case <-drained:
	case <-time.After(time.Until(end) - callersReserve):
	}
	callersError := g.stopListener(ctx, "callers", g.callers, began)
	<-drained
	err := errors.Join(callersError, peersError)
	g.cancel()
	g.ended.Wait()
	g.logStop("planned stop ends", began)
	return err
}

// awaitQuietCallers returns once callers have gone elsewhere, or when only the
// time for what is running is left.
func (g *Gateway) awaitQuietCallers(began time.Time) {
	for time.Since(began) < g.config.StopWithin-drainReserve {
		quiet := time.Since(time.Unix(0, g.lastCaller.Load())) > quietBeforeStop && g.active.Load() == 0
		if quiet && time.Since(began) > leastStop {
			return
		}
		time.Sleep(stopStep)
	}
}

// stopListener stops a listener and tells of its beginning, its end and how many
// requests it cut off.
func (g *Gateway) stopListener(ctx context.Context, name string, server *httpserver.Server, began time.Time) error {
	g.logStop("listener stops", began, "listener", name)
	err := server.Stop(ctx)
	cut := 0
	if cutOff := (*httpserver.CutOffError)(nil); errors.As(err, &cutOff) {
		cut = cutOff.Requests
	}
	g.logStop("listener stopped", began, "listener", name, "cut_off", cut)
	return err
}

// closeWhileStopping makes callers and other gateways leave a connection with its
// answer during a planned stop, so that no request is on its way when the
// connection is closed.
func (g *Gateway) closeWhileStopping(w http.ResponseWriter) {
	if g.admission.Stopping() {
		w.Header().Set("Connection", "close")
	}
}

// logStop tells how far a planned stop has come and what is in progress.
func (g *Gateway) logStop(message string, began time.Time, fields ...any) {
	fields = append(fields, "after_ms", time.Since(began).Milliseconds(),
		"callers_in_flight", g.active.Load(), "peers_in_flight", g.peerActive.Load(), "slots_used", g.slots.load().running)
	g.config.Log.Info(message, fields...)
}
