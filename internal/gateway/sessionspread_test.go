package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// When a leader fails, the gateways of a large fleet connect to the next one spread over a time
// that grows with their number. At the first start they connect without delay.
func TestSessionsAreSpreadAfterLeaderFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const gateways = 280
		var fleet []fleetwire.Instance
		for i := range gateways {
			fleet = append(fleet, fleetwire.Instance{ID: fmt.Sprint("i-", i), Node: fmt.Sprint("node-", i)})
		}
		var waited []time.Duration
		for range gateways {
			g := &Gateway{views: newViewStore()}
			advance(t, g.views, viewOf(true, fleet...))
			s := &sessionClient{gateway: g}
			began := steady.Reading()
			assert.Assert(t, s.delayReconnect(t.Context()))
			assert.Equal(t, steady.Elapsed(began), time.Duration(0))
			s.receivedView = true
			assert.Assert(t, s.delayReconnect(t.Context()))
			waited = append(waited, steady.Elapsed(began))
		}
		const parts = 4
		var counts [parts]int
		for _, wait := range waited {
			assert.Assert(t, wait < gateways*reconnectDelayPerGateway)
			counts[int(wait*parts/(gateways*reconnectDelayPerGateway))]++
		}
		for _, count := range counts {
			assert.Assert(t, count > gateways/parts/2, "%v", counts)
		}
	})
}
