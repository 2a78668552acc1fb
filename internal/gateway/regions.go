package gateway

import "github.com/quartzdock/quartzdock/internal/routeconfig"

// boundToRegions reports whether only the back ends of some regions may run a request.
func (c *call) boundToRegions() bool {
	return len(c.route.AllowedRegions) > 0 || c.tenant != nil && len(c.tenant.AllowedRegions) > 0
}

// regionAllowed reports whether the back ends of a zone may run a request. A zone whose region is
// unknown is in the region "".
func (g *Gateway) regionAllowed(c *call, zone string) bool {
	return !c.boundToRegions() || routeconfig.RegionAllowed(c.route, c.tenant, g.config.Regions[zone])
}

// outsideRegions reports whether a request can't be served because its key's owner, or all
// instances of its service, are in regions where it must not run.
func (g *Gateway) outsideRegions(c *call) bool {
	if !c.boundToRegions() {
		return false
	}
	v := g.views.load()
	if c.hasKey {
		owner, ok := v.owner(c.service.Name, c.key)
		return ok && !g.regionAllowed(c, owner.Zone)
	}
	instances := v.instances[c.service.Name]
	for i := range instances {
		if g.regionAllowed(c, instances[i].Zone) {
			return false
		}
	}
	return len(instances) > 0
}
