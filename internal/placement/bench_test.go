package placement_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// benchmarkInput returns back ends in 19 zones that own shards in turn, with
// Zipf-distributed loads.
func benchmarkInput(shards, backends int) placement.Input {
	input := cluster(backends, shards, 0)
	for index := range input.Backends {
		input.Backends[index].Backend.Location.Zone = topology.ZoneName(fmt.Sprint("zone-", index%19))
	}
	for index := range input.Services[0].Shards {
		rank := (index*7919)%shards + 1
		input.Services[0].Shards[index].Load = 40 / math.Sqrt(float64(rank))
		input.Services[0].Shards[index].LongRunning = uint32(index % 7 / 6)
	}
	return input
}

// BenchmarkDecide measures one decision at three sizes: with uneven load, after
// the loss of a zone, and with nothing to do.
func BenchmarkDecide(b *testing.B) {
	sizes := []struct{ shards, backends int }{{1000, 15}, {10_000, 147}, {75_000, 1100}}
	for _, size := range sizes {
		uneven := benchmarkInput(size.shards, size.backends)
		lost := benchmarkInput(size.shards, size.backends)
		for index := range lost.Backends {
			lost.Backends[index].Live = lost.Backends[index].Backend.Location.Zone != "zone-0"
		}
		steady := cluster(size.backends, size.shards, 0.1)
		for name, input := range map[string]placement.Input{"uneven": uneven, "zone-lost": lost, "steady": steady} {
			b.Run(fmt.Sprintf("%s/%d", name, size.shards), func(b *testing.B) {
				for b.Loop() {
					placement.Evaluate(input)
				}
			})
		}
	}
}
