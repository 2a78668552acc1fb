package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// BenchmarkOneChangedInstance applies a view in which one instance has changed.
func BenchmarkOneChangedInstance(b *testing.B) {
	for _, count := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			g := gatewayWithBackends(b, "g", count)
			changed := g.views.load().byID["i-7"]
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				changed.Slots = 1 + i%2
				changes := &fleetwire.InstanceChanges{Changed: []fleetwire.Instance{changed}}
				b.StopTimer()
				before := g.views.load()
				_, digest := before.leaderInstances.Advance(before.instancesDigest, []*fleetwire.InstanceChanges{changes})
				b.StartTimer()
				update := &fleetwire.View{HasInstances: true, Complete: true, InstancesDigest: digest, Instances: []*fleetwire.InstanceChanges{changes}}
				if err := g.views.apply(update, time.Time{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
