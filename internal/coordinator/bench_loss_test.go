package coordinator_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// BenchmarkZoneLoss measures the loss of one zone of 19: the tick that decides on
// new owners, the encoding and decoding of the command, and its application.
func BenchmarkZoneLoss(b *testing.B) {
	var decide, codec, apply time.Duration
	shards, size := 0, 0
	for range b.N {
		b.StopTimer()
		state, c, now := benchState(b, 75_000, 1100)
		now = loseZone(state, c, now, "zone-3")
		b.StartTimer()
		begun := time.Now()
		command, ok := c.Tick(now, 0)
		decided := time.Now()
		if !ok {
			b.Fatal("nothing decided")
		}
		data, err := controlstate.EncodeCommand(command)
		if err != nil {
			b.Fatal(err)
		}
		decoded, err := controlstate.DecodeCommand(data)
		if err != nil {
			b.Fatal(err)
		}
		coded := time.Now()
		result, _ := state.Apply(state.Revision()+1, decoded)
		decide += decided.Sub(begun)
		codec += coded.Sub(decided)
		apply += time.Since(coded)
		shards, size = result.OwnershipApplied, len(data)
	}
	perLoss := func(total time.Duration) float64 { return float64(total.Microseconds()) / 1000 / float64(b.N) }
	b.ReportMetric(float64(shards), "shards")
	b.ReportMetric(float64(size), "bytes")
	b.ReportMetric(perLoss(decide), "ms-decide")
	b.ReportMetric(perLoss(codec), "ms-codec")
	b.ReportMetric(perLoss(apply), "ms-apply")
}

// loseZone renews the leases of all back ends outside the zone and returns the
// time at which those of the zone have ended.
func loseZone(state *controlstate.State, c *coordinator.Coordinator, now time.Duration, zone topology.ZoneName) time.Duration {
	c.Tick(now, 0)
	c.BatchDone(now)
	now += lease / 2
	for _, backend := range state.Backends() {
		if backend.Location.Zone != zone {
			c.Renew(backend.ID, uint64(backend.ID), &wire.Renew{Applied: state.Revision(), LoadOmitted: true}, now)
		}
	}
	return now + lease/2 + tick
}
