package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// A crash that the leader confirms is told to a bounded number of gateways at every size of the
// fleet, and to all of them if the leader doesn't confirm it.
func TestCrashNoticesAreBoundedWhileLeaderConfirms(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{50, 200, 800} {
		for _, confirmed := range []bool{true, false} {
			g := gatewayWithBackends(t, "g", gateways)
			g.metrics = newGatewayMetrics(g.config.Registry)
			crashes := []quarantine.Ended{{Life: "i", Service: "s"}}
			g.quarantine.addCrashes(crashes)
			if confirmed {
				g.quarantine.confirm([]string{"i"})
			}
			g.broadcastCrashes(t.Context(), crashes)
			told := len(g.peers.byAddress)
			if confirmed {
				assert.Check(t, told <= noticeFanout, "%d of %d told", told, gateways)
			} else {
				assert.Check(t, told == gateways, "%d of %d told", told, gateways)
			}
		}
	}
}
