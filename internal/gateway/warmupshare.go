package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// A cold back end looks idle to every gateway. Each gateway sends it an equal share of the
// service's warm-up rate, so that all gateways together stay close to that rate without
// having to discover it by refusals.

// withinWarmUpShare reports whether this gateway may send a cold instance a request now.
func (g *Gateway) withinWarmUpShare(service *routeconfig.Service, candidate fleetwire.Instance, now time.Time) bool {
	if candidate.Node == g.config.Name {
		return g.slots.hasWarmUpCapacity()
	}
	peer := g.peers.get(candidate.Address)
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return service.WarmupRate <= 0 || peer.coldShare.Available(service.WarmupRate, g.gatewayCount(), rand.Float64(), now)
}

// countWarmUpShare counts a request that is sent to a cold instance against this gateway's
// share.
func (g *Gateway) countWarmUpShare(service *routeconfig.Service, chosen fleetwire.Instance, now time.Time) {
	if chosen.Node == g.config.Name || service.WarmupRate <= 0 {
		return
	}
	peer := g.peers.get(chosen.Address)
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	peer.coldShare.Take(service.WarmupRate, g.gatewayCount(), rand.Float64(), now)
}

// gatewayCount is the number of gateways that may send requests: one for each back end.
func (g *Gateway) gatewayCount() int { return len(g.views.load().byID) }
