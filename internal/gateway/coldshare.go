package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// A cold back end looks idle to everybody. Each gateway sends it its own share of what
// it bears, so that all together send about that and nobody learns it by refusals.

// hasShare reports whether a cold instance may get a request of this gateway now.
func (g *Gateway) hasShare(service *routeconfig.Service, candidate fleetwire.Instance, now time.Time) bool {
	if candidate.Node == g.config.Name {
		return g.slots.bearsNow()
	}
	peer := g.peers.get(candidate.Address)
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	return service.WarmupRate <= 0 || peer.share.Has(service.WarmupRate, g.senders(), rand.Float64(), now)
}

// takeShare counts a request that is sent to a cold instance.
func (g *Gateway) takeShare(service *routeconfig.Service, chosen fleetwire.Instance, now time.Time) {
	if chosen.Node == g.config.Name || service.WarmupRate <= 0 {
		return
	}
	peer := g.peers.get(chosen.Address)
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	peer.share.Take(service.WarmupRate, g.senders(), rand.Float64(), now)
}

// senders is how many gateways may send requests: one beside each back end.
func (g *Gateway) senders() int { return len(g.views.load().byID) }
