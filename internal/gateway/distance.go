package gateway

import (
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

const (
	// minCrossZoneCost is the minimum cost of sending a request to another zone, in seconds,
	// and crossZoneTargetFraction the cost as a fraction of the route's target latency:
	// traffic between zones is expensive, and a somewhat later response is as good as long
	// as it is well within the target. crossRegionFactor multiplies both between regions, whose
	// links are longer, shared by all, and more expensive still.
	minCrossZoneCost        = 0.02
	crossZoneTargetFraction = 0.25
	crossRegionFactor       = 2
	// crossZoneTransferCost applies to large responses, which leave the zone only if it has no
	// suitable instance, and crossRegionTransferCost to large responses and large request
	// bodies, for which the same holds of the region.
	crossZoneTransferCost   = 1.0
	crossRegionTransferCost = 2.0
)

// distanceCost is the cost of sending a request to a zone, in seconds.
func (g *Gateway) distanceCost(c *call, zone string) float64 {
	if zone == g.config.Zone {
		return 0
	}
	otherRegion := g.otherRegion(zone)
	largeResponse := c.route.Repetition == routeconfig.RepeatableTransfer
	if otherRegion && (largeResponse || len(c.body) >= minPacedBody) {
		return crossRegionTransferCost
	}
	if largeResponse {
		return crossZoneTransferCost
	}
	cost := max(minCrossZoneCost, crossZoneTargetFraction*c.route.TargetLatency.Seconds())
	if otherRegion {
		cost *= crossRegionFactor
	}
	return cost
}

// otherRegion reports whether a zone is in another region than this gateway.
func (g *Gateway) otherRegion(zone string) bool {
	return g.config.Regions[zone] != g.config.Regions[g.config.Zone]
}

// boundToOwnRegion reports whether a request must not leave this gateway's region: it has a large
// body, and its service has a usable instance in the region. Sent to one region after another, the
// large bodies of refused requests fill the links that the others need.
func (g *Gateway) boundToOwnRegion(c *call, v *view) bool {
	if len(c.body) < minPacedBody || len(g.config.Regions) == 0 {
		return false
	}
	for _, instance := range v.instances[c.service.Name] {
		if instance.State == fleetwire.InstanceReady && !g.otherRegion(instance.Zone) && !v.evacuated(instance.Zone) {
			return true
		}
	}
	return false
}
