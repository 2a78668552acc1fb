package consensus

import (
	"slices"
	"testing"
	"time"
)

// BenchmarkLeaderLossVirtual measures, on virtual time, how long it takes after
// a crash of the leader of a group of three until another replica holds a lease.
// Each iteration uses another seed; messages take up to 5 ms.
func BenchmarkLeaderLossVirtual(b *testing.B) {
	var losses []time.Duration
	seed := uint64(0)
	for b.Loop() {
		seed++
		c := newCluster(b, seed, 3)
		c.waitForLeader()
		c.run(time.Duration(c.random.Int64N(int64(time.Second))))
		leader := c.waitForLeader()
		c.crash(leader.member.ID)
		began := c.now
		c.waitForLeader()
		losses = append(losses, c.now-began)
	}
	slices.Sort(losses)
	for name, q := range map[string]float64{"p50-virtual-ms": 0.5, "p99-virtual-ms": 0.99, "max-virtual-ms": 1} {
		at := min(len(losses)-1, int(q*float64(len(losses))))
		b.ReportMetric(float64(losses[at].Milliseconds()), name)
	}
}
