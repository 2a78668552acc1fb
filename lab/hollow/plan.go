package hollow

import (
	"fmt"

	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// regions and zones of the target (docs/CAPACITY.md).
	regions = 5
	zones   = 19
	// nodesPerRack is assumed; the target names racks but not their size.
	nodesPerRack = 20
)

// Plan is the make-up of a hollow fleet.
type Plan struct {
	Controllers int
	// Agents, one back end each, spread evenly over zones and services.
	Agents   int
	Routers  int
	Services int
	// Shards of all services together.
	Shards int
}

// validate reports all findings.
func (plan Plan) validate() []error {
	var findings []error
	least := func(name string, value, least int) {
		if value < least {
			findings = append(findings, fmt.Errorf("%s: %d, want at least %d", name, value, least))
		}
	}
	least("controllers", plan.Controllers, 1)
	least("routers", plan.Routers, 1)
	least("services", plan.Services, 1)
	least("nodes", plan.Agents, plan.Services)
	least("shards", plan.Shards, plan.Services)
	if plan.Services > 0 && plan.Services%zones == 0 {
		findings = append(findings, fmt.Errorf("services: %d, want no multiple of %d", plan.Services, zones))
	}
	return findings
}

// locationOf spreads numbered machines over zones and, within a zone, racks.
func locationOf(number int) topology.Location {
	zone := number % zones
	return topology.Location{
		Region: topology.RegionName(fmt.Sprintf("region-%d", zone%regions+1)),
		Zone:   topology.ZoneName(fmt.Sprintf("zone-%d", zone+1)),
		Rack:   topology.RackName(fmt.Sprintf("rack-%d", number/zones/nodesPerRack+1)),
	}
}

// agentAddress is unique and never listened at.
func agentAddress(number int) string {
	return fmt.Sprintf("127.%d.%d.%d:7201", 200+number>>16, number>>8&0xff, number&0xff)
}

// serviceOf spreads agents over services: any run of plan.Services agents has
// one of each, and because the number of services has no divisor in common with
// that of zones, which validate sees to, each service reaches all zones.
func (plan Plan) serviceOf(agent int) int { return agent % plan.Services }

// serviceName names a service.
func serviceName(service int) string { return fmt.Sprintf("service-%d", service+1) }

// shardsOf divides the shards among services, the first ones taking the rest.
func (plan Plan) shardsOf(service int) int {
	share := plan.Shards / plan.Services
	if service < plan.Shards%plan.Services {
		share++
	}
	return share
}

// agentSpec describes a hollow agent.
func agentSpec(agent int) NodeSpec {
	return NodeSpec{
		Role:     topology.RoleAgent,
		Name:     fmt.Sprintf("agent-%d", agent+1),
		Address:  agentAddress(agent),
		Location: locationOf(agent),
	}
}

// routerSpec describes a hollow router.
func routerSpec(router int) NodeSpec {
	return NodeSpec{
		Role:     topology.RoleRouter,
		Name:     fmt.Sprintf("router-%d", router+1),
		Location: locationOf(router),
	}
}

// Loss is which agents a failure takes.
type Loss string

// Losses that the tool can cause.
const (
	LossNode Loss = "node"
	LossRack Loss = "rack"
	LossZone Loss = "zone"
)

// agentsOf lists the agents that a loss takes: the first agent of a zone, its
// rack or its zone.
func (plan Plan) agentsOf(loss Loss, zone int) []int {
	first := locationOf(zone)
	var lost []int
	for agent := range plan.Agents {
		at := locationOf(agent)
		sameZone := at.Region == first.Region && at.Zone == first.Zone
		switch {
		case loss == LossNode && agent == zone,
			loss == LossRack && sameZone && at.Rack == first.Rack,
			loss == LossZone && sameZone:
			lost = append(lost, agent)
		}
	}
	return lost
}
