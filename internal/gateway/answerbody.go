package gateway

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// beginAnswer waits until the body of a result may be written, and returns the result to write with
// its body. If that takes until the deadline of the request, or if the body could be cut off by the
// end of a planned stop, the result becomes a failure, which has next to no body: it is complete when
// it arrives, and in time.
func (g *Gateway) beginAnswer(ctx context.Context, deadline time.Time, result *forwardResult) (*pacedBody, *forwardResult) {
	length := result.bodySize()
	waitContext, cancel := context.WithTimeout(ctx, steady.Until(g.latestBegin(deadline, length)))
	defer cancel()
	body, err := g.beginBody(waitContext, length)
	if err == nil && g.endsBeforeStop(length) {
		return body, result
	}
	if err == nil {
		body.end()
	}
	if ctx.Err() == nil { // else its reader has left
		g.metrics.notDelivered.Inc()
	}
	return &pacedBody{pacer: g.pacer}, &forwardResult{Outcome: outcomeUnknown, Reason: reasonTimeout, Sent: true, Load: result.Load}
}

// beginBody waits until a body may be written: until the earlier responses on the connection have
// been written and the link is free for it.
func (g *Gateway) beginBody(ctx context.Context, length int) (*pacedBody, error) {
	if length >= minPacedBody {
		httpserver.AwaitTurn(ctx) // before it may occupy the link
	}
	return g.pacer.begin(ctx, length)
}

// latestBegin returns until when a body waits to be written.
func (g *Gateway) latestBegin(deadline time.Time, length int) time.Time {
	if !g.admission.Stopping() {
		return deadline
	}
	now := steady.Reading()
	latest := now.Add(g.admission.Remaining(now) - g.pacer.longestWrite(length))
	if latest.Before(deadline) {
		return latest
	}
	return deadline
}

// endsBeforeStop reports whether a body that begins now is written before a planned stop ends.
func (g *Gateway) endsBeforeStop(length int) bool {
	return !g.admission.Stopping() || g.admission.Remaining(steady.Reading()) >= g.pacer.longestWrite(length)
}
