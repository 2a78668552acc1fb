package transport

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// snapshotOf returns a snapshot message with the given number of shards. With
// 2,000 shards its frame is larger than the buffer that a connection retains.
func snapshotOf(shards int) wire.FromController {
	routes := wire.ServiceRoutes{Service: topology.Service{ID: 1, Name: "one"}}
	for number := range shards {
		routes.Shards = append(routes.Shards, topology.Shard{
			ID:    topology.ShardID{Service: 1, Shard: topology.ShardNumber(number + 1)},
			Start: topology.KeyHash(uint64(number) << 40), Phase: topology.ShardOwned, Owner: 7, Epoch: 3,
		})
	}
	return wire.FromController{Snapshot: &wire.RoutingSnapshot{Revision: 9, Services: []wire.ServiceRoutes{routes}}}
}

func TestSendEncodedIsEquivalentToSend(t *testing.T) {
	want := snapshotOf(2000)
	encoded, err := Encode(want)
	assert.NilError(t, err)
	later := wire.FromController{Alive: &wire.Alive{Revision: 10}}
	for name, first := range map[string]bool{"first message": false, "after another message": true} {
		t.Run(name, func(t *testing.T) {
			near, far := connect(t, Options{}, Options{})
			sent := make(chan error, 1)
			go func() {
				if first {
					_ = near.Send(wire.FromController{Welcome: &wire.Welcome{Leader: true}})
				}
				_ = near.SendEncoded(encoded)
				_ = near.Send(later)
				sent <- near.SendEncoded(encoded)
			}()
			if first {
				var welcome wire.FromController
				assert.NilError(t, far.Receive(&welcome))
				assert.Assert(t, welcome.Welcome.Leader)
			}
			var got, between, again wire.FromController
			assert.NilError(t, far.Receive(&got))
			assert.NilError(t, far.Receive(&between))
			assert.NilError(t, far.Receive(&again))
			assert.NilError(t, <-sent)
			assert.DeepEqual(t, got, want)
			assert.DeepEqual(t, between, later)
			assert.DeepEqual(t, again, want)
			assert.Equal(t, near.BytesSent(), far.BytesReceived())
		})
	}
}

func TestSendEncodedRejectsOversizedFrame(t *testing.T) {
	encoded, err := Encode(snapshotOf(2000))
	assert.NilError(t, err)
	near, _ := connect(t, Options{MaxFrame: 4096}, Options{})
	assert.NilError(t, near.Send(wire.FromController{}))
	assert.ErrorIs(t, near.SendEncoded(encoded), ErrFrameTooLarge)
}

func TestEncodeRejectsTypesGobCannotEncode(t *testing.T) {
	_, err := Encode(struct{ F func() }{})
	assert.ErrorContains(t, err, "descriptors")
}

// BenchmarkSnapshot compares encoding a snapshot of 75,000 shards for each
// connection with encoding it once.
func BenchmarkSnapshot(b *testing.B) {
	message := snapshotOf(75000)
	b.Run("each", func(b *testing.B) {
		c := NewConn(discard{}, Options{})
		for b.Loop() {
			assert.NilError(b, c.Send(message))
		}
	})
	b.Run("once", func(b *testing.B) {
		c := NewConn(discard{}, Options{})
		assert.NilError(b, c.Send(wire.FromController{}))
		encoded, err := Encode(message)
		assert.NilError(b, err)
		for b.Loop() {
			assert.NilError(b, c.SendEncoded(encoded))
		}
		b.ReportMetric(float64(encoded.Size()), "frame-bytes")
	})
}
