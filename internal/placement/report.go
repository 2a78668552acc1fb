package placement

import (
	"fmt"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// undividableShare is the fraction of a back end's slots from which the load
	// of a single key is reported.
	undividableShare = 0.9
	// Claimed and observed load contradict each other if they differ by more than
	// contradictionMinSlots and by more than contradictionShare of the observed
	// load.
	contradictionMinSlots = 2
	contradictionShare    = 0.5
)

// report adds the findings on the service's load and back ends.
func (planner *planner) report() {
	planner.reportUndividable()
	planner.reportContradictions()
	planner.reportHeadroom()
	planner.reportSingleRack()
}

func (planner *planner) reportUndividable() {
	for index := range planner.service.Shards {
		shard := &planner.service.Shards[index]
		owner, known := planner.nodeOf[shard.Shard.Owner]
		if !known {
			continue
		}
		limit := undividableShare * planner.nodes[owner].slots
		single := shard.Load >= limit && rangeWidth(planner.service.Shards, index) == 1
		hottest := len(shard.HotKeys) > 0 && shard.HotKeys[0].Load >= limit
		if !single && !hottest {
			continue
		}
		planner.findings = append(planner.findings, Finding{
			Kind: FindingUndividable, Service: planner.service.Service.ID,
			Shard: shard.Shard.ID, Backend: shard.Shard.Owner,
			Text: fmt.Sprintf("one key of shard %v needs %.1f slots; back end %d has %.0f",
				shard.Shard.ID, shard.Load, shard.Shard.Owner, planner.nodes[owner].slots),
		})
	}
}

func (planner *planner) reportContradictions() {
	for index := range planner.nodes {
		input := planner.nodes[index].input
		if !input.Live || !Contradicts(input.ClaimedLoad, input.ObservedLoad) {
			continue
		}
		planner.findings = append(planner.findings, Finding{
			Kind: FindingLoadContradicted, Service: planner.service.Service.ID, Backend: input.Backend.ID,
			Text: fmt.Sprintf("back end %d claims %.1f busy slots, observed are %.1f; the claim is not used",
				input.Backend.ID, input.ClaimedLoad, input.ObservedLoad),
		})
	}
}

// Contradicts reports whether a claimed load differs from the observed load by
// more than sampling errors explain. Both are in slots; a claim of zero is
// compared like any other.
func Contradicts(claimed, observed float64) bool {
	return math.Abs(claimed-observed) > math.Max(contradictionMinSlots, contradictionShare*observed)
}

// reportHeadroom adds a finding if the loss of the zone with the most slots would
// leave fewer slots than are busy now.
func (planner *planner) reportHeadroom() {
	zones := make(map[topology.ZoneName]float64)
	var load, slots, largest float64
	for index := range planner.nodes {
		node := &planner.nodes[index]
		load += node.load
		if !node.eligible {
			continue
		}
		slots += node.slots
		zone := node.input.Backend.Location.Zone
		zones[zone] += node.slots
		largest = math.Max(largest, zones[zone])
	}
	if len(zones) < 2 || load <= slots-largest {
		return
	}
	planner.findings = append(planner.findings, Finding{
		Kind: FindingZoneHeadroom, Service: planner.service.Service.ID,
		Text: fmt.Sprintf("%.1f slots are busy; after the loss of the largest zone %.0f of %.0f remain", load, slots-largest, slots),
	})
}

func (planner *planner) reportSingleRack() {
	places := make(map[topology.Location]int)
	count := 0
	for index := range planner.nodes {
		if planner.nodes[index].eligible {
			places[planner.nodes[index].input.Backend.Location]++
			count++
		}
	}
	if count < 2 || len(places) != 1 {
		return
	}
	planner.findings = append(planner.findings, Finding{
		Kind: FindingSingleRack, Service: planner.service.Service.ID,
		Text: fmt.Sprintf("all %d live back ends stand in one rack", count),
	})
}
