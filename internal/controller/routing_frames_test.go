package controller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

func viewTo(revision topology.Revision) *distribution.View {
	log := distribution.NewLog(0)
	for at := topology.Revision(1); at < revision; at++ {
		changed := topology.Shard{ID: topology.ShardID{Service: 1, Shard: 1}, Epoch: topology.Epoch(at)}
		log.Append(wire.RoutingDelta{From: at, To: at + 1, Shards: []topology.Shard{changed}}, distribution.Totals{Shards: 1000})
	}
	return log.View()
}

// TestRoutingDeltaIsEncodedOncePerRevisionAndServices guards against encoding a
// frame for each session: with 1,000 agents the encoding took so long that the
// group lost its leader.
func TestRoutingDeltaIsEncodedOncePerRevisionAndServices(t *testing.T) {
	var frames routingFrames
	old, newest := viewTo(5), viewTo(6)
	first := frames.delta(newest, 3, []topology.ServiceID{1})
	assert.NilError(t, first.err)
	assert.Assert(t, first.found && first.revisionOnly == nil)
	assert.Equal(t, first.to, topology.Revision(6))
	assert.Assert(t, first.encoded == frames.delta(newest, 3, []topology.ServiceID{1}).encoded)
	for _, other := range []struct {
		from     topology.Revision
		services []topology.ServiceID
	}{{4, []topology.ServiceID{1}}, {3, []topology.ServiceID{2}}, {3, nil}} {
		frame := frames.delta(newest, other.from, other.services)
		assert.NilError(t, frame.err)
		assert.Assert(t, frame.found && frame.encoded != first.encoded)
	}
	assert.Assert(t, frames.delta(newest, 3, []topology.ServiceID{2}).revisionOnly != nil, "service 2 did not change")
	late := frames.delta(old, 3, []topology.ServiceID{1})
	assert.NilError(t, late.err)
	assert.Equal(t, late.to, topology.Revision(5), "a session with an older view gets the delta to that view's revision")
	assert.Assert(t, !frames.delta(newest, 99, nil).found)
}

func TestSnapshotsOfDifferentRevisionsAreNotShared(t *testing.T) {
	var frames routingFrames
	snapshot := func(revision topology.Revision) *wire.RoutingSnapshot {
		return &wire.RoutingSnapshot{Revision: revision}
	}
	first, err := frames.encodedSnapshot(snapshot(5), nil)
	assert.NilError(t, err)
	again, _ := frames.encodedSnapshot(snapshot(5), nil)
	assert.Assert(t, first == again)
	later, _ := frames.encodedSnapshot(snapshot(6), nil)
	assert.Assert(t, later != first)
	old, _ := frames.encodedSnapshot(snapshot(5), nil)
	assert.Assert(t, old != later)
}
