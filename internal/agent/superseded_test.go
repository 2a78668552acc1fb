package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

var rightPart = topology.ShardID{Service: shard.Service, Shard: shard.Shard + 1}

const halfOfKeys = topology.KeyHash(1) << 63

// split divides the rig's shard: both parts stay with its agent, in the given
// phases.
func (r *rig) split(revision topology.Revision, epoch topology.Epoch, left, right topology.ShardPhase, others ...topology.Backend) {
	r.t.Helper()
	parts := []topology.Shard{
		{ID: shard, Phase: left, Owner: r.self, Epoch: epoch},
		{ID: rightPart, Start: halfOfKeys, Phase: right, Owner: r.self, Epoch: epoch},
	}
	for index := range parts {
		if parts[index].Phase == topology.ShardReleasing {
			parts[index].Target = r.self + 1
		}
	}
	r.giveShards(revision, topology.BackendActive, parts, others...)
}

// slowEdit and slowPack run while the shard is divided.
func slowEdit(id string) call {
	return call{method: http.MethodPost, path: "/closures/edit/k?work=400ms", body: "closed", epoch: 1, id: id}
}

func slowPack(id string) call {
	return call{method: http.MethodGet, path: "/closures/pack/k?bytes=4000000&pace=400ms", epoch: 1,
		header: map[string]string{wire.HeaderClass: classBulk, wire.HeaderRequestID: id}}
}

func TestSplitCutsOffNothingThatRuns(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	id := r.freshID()
	packID := r.freshID()
	edit, pack := r.background(slowEdit(id)), r.background(slowPack(packID))
	r.running(id)
	r.running(packID)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.serves(2)
	r.waitFor("the right part served", func() bool { return r.agent.view.Load().shards[rightPart] != nil })

	early := r.do(call{method: http.MethodGet, path: "/closures/route/k", epoch: 2})
	assert.Equal(t, early.outcome, wire.OutcomeAnswered, "the parts serve while earlier requests run: %+v", early)
	again := slowEdit(id)
	again.epoch, again.header = 2, map[string]string{wire.HeaderShard: rightPart.String()}
	assert.Equal(t, r.do(again).outcome, wire.OutcomeUnknown, "the outcome is still open")

	assert.Equal(t, (<-edit).outcome, wire.OutcomeAnswered)
	whole := <-pack
	assert.NilError(t, whole.err)
	assert.Equal(t, len(whole.body), 4000000)
	assert.Equal(t, r.count(id, ledger.KindWrite), 1)
	assert.Equal(t, r.do(again).outcome, wire.OutcomeAnswered, "a resend gets the kept answer")
	assert.Equal(t, r.count(id, ledger.KindRun), 1)
}

func TestMergeCutsOffNothingThatRuns(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.waitFor("the right part served", func() bool { return r.agent.view.Load().shards[rightPart] != nil })
	id := r.freshID()
	edit := slowEdit(id)
	edit.epoch, edit.header = 2, map[string]string{wire.HeaderShard: rightPart.String()}
	result := r.background(edit)
	r.running(id)
	r.own(3, 3)
	assert.Equal(t, (<-result).outcome, wire.OutcomeAnswered)
	assert.Equal(t, r.count(id, ledger.KindWrite), 1)
}

func TestPartMovesOnlyWhenWhatRanBeforeTheSplitHasEnded(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	id := r.freshID()
	result := r.background(slowEdit(id))
	r.running(id)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.serves(2)
	r.split(3, 2, topology.ShardOwned, topology.ShardReleasing)
	r.waitFor("release", func() bool {
		return r.leader.find(func(message wire.ToController) bool {
			return message.Released != nil && message.Released.Shard == rightPart
		})
	})
	assert.Equal(t, r.count(id, ledger.KindWrite), 1, "the part may hold the key of what ran")
	assert.Equal(t, (<-result).outcome, wire.OutcomeAnswered)
}

// TestPartMovesOnlyWhenNothingUnansweredCanAct: a request timed out at the agent
// and may run on at the back end, under the grant of before the split. The part
// that may hold its key must not move while the back end would still let it act.
func TestPartMovesOnlyWhenNothingUnansweredCanAct(t *testing.T) {
	muted := &mutedBackend{begun: time.Now()}
	server := httptest.NewServer(muted)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	r := startAgent(t, self, strings.TrimPrefix(server.URL, "http://"), t.TempDir(), shortClockBound)
	r.own(1, 1)
	timedOut := slowEdit(r.freshID())
	timedOut.header = map[string]string{wire.HeaderDeadline: "50"}
	assert.Equal(t, r.do(timedOut).reason, wire.ReasonTimedOut)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.serves(2)
	assert.Equal(t, muted.epoch(shard.String()), topology.Epoch(1), "the grant continues")
	r.split(3, 2, topology.ShardOwned, topology.ShardReleasing)
	r.waitFor("release", func() bool { return r.leader.releasedShard(rightPart) != nil })
	assert.Equal(t, muted.epoch(shard.String()), topology.Epoch(2), "what was sent at epoch 1 could act")
}

func TestPartThatOthersOwnEndsWhatRan(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	id := r.freshID()
	result := r.background(slowEdit(id))
	r.running(id)
	r.giveShards(2, topology.BackendActive, []topology.Shard{
		{ID: shard, Phase: topology.ShardOwned, Owner: r.self, Epoch: 2},
		{ID: rightPart, Start: halfOfKeys, Phase: topology.ShardOwned, Owner: r.self + 1, Epoch: 3},
	})
	assert.Equal(t, (<-result).outcome, wire.OutcomeUnknown)
}
