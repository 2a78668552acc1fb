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
	// callersQuietFor is how long no request of a caller must have arrived before the
	// listeners are closed, and minStopDuration how long callers are given at least to go
	// elsewhere.
	callersQuietFor  = 400 * time.Millisecond
	minStopDuration  = 2200 * time.Millisecond
	stopPollInterval = 25 * time.Millisecond
	// drainReserve is the part of a planned stop that is reserved for running requests if
	// callers do not go away. It is the usual timeout of a route (1.2 to 1.5 s).
	drainReserve = 1500 * time.Millisecond
	// callersReserve is the part of a planned stop that is reserved for closing the callers'
	// listener: httpserver bounds the backlog by 200 ms, and the wait for requests in transit
	// by 250 ms. No run at the back end lasts into it.
	callersReserve = 450 * time.Millisecond
	// restartDuration is the time from the exit of a gateway process until the next one serves;
	// restarts took 0.51 s.
	restartDuration = 500 * time.Millisecond
)

// Stop drains the gateway and ends it.
func (g *Gateway) Stop() error {
	err := g.Drain()
	g.Close()
	return err
}

// Close ends the session with the controllers and all goroutines. Heartbeats and deregistrations
// that arrive later are not acknowledged if they announce a departure, so the listener for the back
// end must be closed before.
func (g *Gateway) Close() {
	g.cancel()
	g.goroutines.Wait()
}

// Drain lets callers go elsewhere, finishes running requests, and closes the listeners. From its
// start on, it admits only requests whose deadline is before the end of the stop, so that none
// of them is cut off. The session with the controllers remains open until Close.
//
// The listener for other gateways is closed first. The listener for callers is closed only
// when the back end is idle, since requests that run there may make calls through it.
func (g *Gateway) Drain() error {
	began := steady.Reading()
	end := began.Add(g.config.StopWithin)
	g.admission.Begin(end)
	g.registry.markStopping()
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
	g.logStop("planned stop ends", began)
	return errors.Join(callersError, peersError)
}

// awaitQuietCallers returns when callers have gone elsewhere, or when only drainReserve is
// left.
func (g *Gateway) awaitQuietCallers(began time.Time) {
	for steady.Elapsed(began) < g.config.StopWithin-drainReserve {
		latest, seen := g.lastCaller.Load()
		quiet := (!seen || steady.Since(latest) > callersQuietFor) && g.activeCallers.Load() == 0
		if quiet && steady.Elapsed(began) > minStopDuration {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

// awaitIdleBackend returns when the requests of other gateways have ended and the back end
// runs nothing that this gateway sent, at the latest at the given time.
func (g *Gateway) awaitIdleBackend(drained <-chan struct{}, latest time.Time) {
	select {
	case <-drained:
	case <-time.After(steady.Until(latest)):
	}
	for load := g.slots.load(); load.running+load.waiting > 0 && steady.Reading().Before(latest); load = g.slots.load() {
		time.Sleep(stopPollInterval)
	}
}

// refuseStopping refuses a request that would outlast the stop. Its retry time is after the
// expected restart of the gateway.
func (g *Gateway) refuseStopping() *forwardResult {
	result := notRun(reasonStopping)
	result.RetryAfter = g.admission.Remaining(steady.Reading()) + restartDuration
	return result
}

// stopListener stops a listener, and logs the start, the end and the number of requests that
// were cut off.
func (g *Gateway) stopListener(ctx context.Context, name string, server *httpserver.Server, began time.Time) error {
	g.logStop("listener stops", began, "listener", name)
	err := server.Stop(ctx)
	cutOffRequests := 0
	if cutOff := (*httpserver.CutOffError)(nil); errors.As(err, &cutOff) {
		cutOffRequests = cutOff.Requests
	}
	g.logStop("listener stopped", began, "listener", name, "cut_off", cutOffRequests)
	return err
}

// closeWhileStopping closes the connection after the response during a planned stop, so that
// callers and other gateways do not send a request while the connection is being closed.
func (g *Gateway) closeWhileStopping(w http.ResponseWriter, r *http.Request) {
	if g.admission.Stopping() {
		httpserver.EndConnection(w, r)
	}
}

// logStop logs the progress of a planned stop and the requests that are in progress.
func (g *Gateway) logStop(message string, began time.Time, fields ...any) {
	fields = append(fields, "after_ms", steady.Elapsed(began).Milliseconds(),
		"callers_in_flight", g.activeCallers.Load(), "peers_in_flight", g.activePeers.Load(), "slots_used", g.slots.load().running)
	g.config.Log.Info(message, fields...)
}
