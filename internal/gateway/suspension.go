package gateway

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// suspensionLook is how often it is looked for the end of a suspension.
const suspensionLook = 200 * time.Millisecond

// watchSuspensions tells of suspensions of the machine once it runs again, and asks for the
// leader's word at once: what it vouched for before may be over.
func (g *Gateway) watchSuspensions(ctx context.Context) {
	known := steady.Suspended()
	each(ctx, suspensionLook, func() {
		lasted := steady.Suspended() - known
		if lasted <= 0 {
			return
		}
		known += lasted
		g.metrics.suspended(lasted)
		g.config.Log.Warn("machine was suspended", "lasted_ms", lasted.Milliseconds(), "serves", g.Ready())
		g.session.report()
	})
}
