package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/steady"
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
	// httpserver bounds its backlog by 200 ms, and the wait for requests that are
	// on their way by 250 ms. No run at the back end lasts into it.
	callersReserve = 450 * time.Millisecond
	// restartTime is from the end of a gateway's process until the next one serves:
	// 0.51 s were seen twice in incident inc1.
	restartTime = 500 * time.Millisecond
)

// Stop lets callers go elsewhere, finishes what runs, and ends. From its begin
// on, only requests are admitted whose time is over before the stop's end, so
// that the end cuts off none of them.
//
// The listener of other gateways is stopped first, and that of callers once the
// back end runs nothing: until then it makes calls of its own there.
func (g *Gateway) Stop() error {
	began := steady.Reading()
	end := began.Add(g.config.StopWithin)
	g.admission.Begin(end)
	g.registry.leaving()
	g.logStop("planned stop begins", began, "ends_within_ms", g.config.StopWithin.Milliseconds())
	g.awaitQuietCallers(began)
	ctx, cancel := context.WithTimeout(context.Background(), steady.Until(end))
	defer cancel()
	var peersError error
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		peersError = g.stopListener(ctx, "peers", g.inbound, began)
	}()
	g.awaitIdleBackend(drained, end.Add(-callersReserve))
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
	for steady.Elapsed(began) < g.config.StopWithin-drainReserve {
		last, came := g.lastCaller.Load()
		quiet := (!came || steady.Since(last) > quietBeforeStop) && g.active.Load() == 0
		if quiet && steady.Elapsed(began) > leastStop {
			return
		}
		time.Sleep(stopStep)
	}
}

// awaitIdleBackend returns once the requests of other gateways have ended and the
// back end runs nothing that it was sent from here, or at the latest moment.
func (g *Gateway) awaitIdleBackend(drained <-chan struct{}, latest time.Time) {
	select {
	case <-drained:
	case <-time.After(steady.Until(latest)):
	}
	for load := g.slots.load(); load.running+load.waiting > 0 && steady.Reading().Before(latest); load = g.slots.load() {
		time.Sleep(stopStep)
	}
}

// refuseStopping refuses a request that would outlast the stop: it may come back
// when the gateway has started again.
func (g *Gateway) refuseStopping() *forwardResult {
	result := notRun(reasonStopping)
	result.RetryAfter = g.admission.Left(steady.Reading()) + restartTime
	return result
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
func (g *Gateway) closeWhileStopping(w http.ResponseWriter, r *http.Request) {
	if g.admission.Stopping() {
		httpserver.EndConnection(w, r)
	}
}

// logStop tells how far a planned stop has come and what is in progress.
func (g *Gateway) logStop(message string, began time.Time, fields ...any) {
	fields = append(fields, "after_ms", steady.Elapsed(began).Milliseconds(),
		"callers_in_flight", g.active.Load(), "peers_in_flight", g.peerActive.Load(), "slots_used", g.slots.load().running)
	g.config.Log.Info(message, fields...)
}
