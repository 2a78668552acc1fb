package gateway

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// suspensionCheckInterval is how often the gateway checks whether the machine was suspended.
const suspensionCheckInterval = 200 * time.Millisecond

// watchSuspensions logs suspensions of the machine after it resumes, and requests a report
// immediately: the leases from before the suspension may have expired.
func (g *Gateway) watchSuspensions(ctx context.Context) {
	counted := steady.Suspended()
	runEvery(ctx, suspensionCheckInterval, func() {
		duration := steady.Suspended() - counted
		if duration <= 0 {
			return
		}
		counted += duration
		g.metrics.suspended(duration)
		g.config.Log.Warn("machine was suspended", "lasted_ms", duration.Milliseconds(), "serves", g.Ready())
		g.session.requestReport()
	})
}
