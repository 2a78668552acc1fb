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

// split divides the harness's shard. Both parts stay with its agent, in the
// given phases.
func (r *harness) split(revision topology.Revision, epoch topology.Epoch, left, right topology.ShardPhase, others ...topology.Backend) {
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
	r.applyShards(revision, topology.BackendActive, parts, others...)
}

// slowEdit and slowPack return requests that are still in progress when the
// shard is split.
func slowEdit(id string) testRequest {
	return testRequest{method: http.MethodPost, path: "/closures/edit/k?work=400ms", body: "closed", epoch: 1, id: id}
}

func slowPack(id string) testRequest {
	return testRequest{method: http.MethodGet, path: "/closures/pack/k?bytes=4000000&pace=400ms", epoch: 1,
		header: map[string]string{wire.HeaderClass: classBulk, wire.HeaderRequestID: id}}
}

func TestSplitKeepsRunningRequests(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	packID := r.freshID()
	edit, pack := r.sendAsync(slowEdit(id)), r.sendAsync(slowPack(packID))
	r.waitRunning(id)
	r.waitRunning(packID)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.waitServed(2)
	r.waitFor("the right part served", func() bool { return r.agent.view.Load().shards[rightPart] != nil })

	early := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 2})
	assert.Equal(t, early.outcome, wire.OutcomeAnswered, "the parts must serve while earlier requests run: %+v", early)
	again := slowEdit(id)
	again.epoch, again.header = 2, map[string]string{wire.HeaderShard: rightPart.String()}
	assert.Equal(t, r.send(again).outcome, wire.OutcomeUnknown, "the outcome must be unknown while the request runs")

	assert.Equal(t, (<-edit).outcome, wire.OutcomeAnswered)
	whole := <-pack
	assert.NilError(t, whole.err)
	assert.Equal(t, len(whole.body), 4000000)
	assert.Equal(t, r.countEntries(id, ledger.KindWrite), 1)
	assert.Equal(t, r.send(again).outcome, wire.OutcomeAnswered, "a resend gets the kept answer")
	assert.Equal(t, r.countEntries(id, ledger.KindRun), 1)
}

func TestMergeKeepsRunningRequests(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.waitFor("the right part served", func() bool { return r.agent.view.Load().shards[rightPart] != nil })
	id := r.freshID()
	edit := slowEdit(id)
	edit.epoch, edit.header = 2, map[string]string{wire.HeaderShard: rightPart.String()}
	result := r.sendAsync(edit)
	r.waitRunning(id)
	r.ownShard(3, 3)
	assert.Equal(t, (<-result).outcome, wire.OutcomeAnswered)
	assert.Equal(t, r.countEntries(id, ledger.KindWrite), 1)
}

func TestSplitShardMovesOnlyAfterEarlierRequestsEnd(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	result := r.sendAsync(slowEdit(id))
	r.waitRunning(id)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.waitServed(2)
	r.split(3, 2, topology.ShardOwned, topology.ShardReleasing)
	r.waitFor("release", func() bool {
		return r.controller.find(func(message wire.ToController) bool {
			return message.Released != nil && message.Released.Shard == rightPart
		})
	})
	assert.Equal(t, r.countEntries(id, ledger.KindWrite), 1, "the part moved while a request for one of its keys was running")
	assert.Equal(t, (<-result).outcome, wire.OutcomeAnswered)
}

// TestSplitShardMovesOnlyAfterUnansweredRequestsAreFenced: a request timed out
// at the agent and may still run at the back end, under the grant from before
// the split. The part that may hold its key must not move while the back end
// would let the request act.
func TestSplitShardMovesOnlyAfterUnansweredRequestsAreFenced(t *testing.T) {
	muted := &mutedBackend{begun: time.Now()}
	server := httptest.NewServer(muted)
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	r := startAgent(t, self, strings.TrimPrefix(server.URL, "http://"), t.TempDir(), shortClockBound)
	r.ownShard(1, 1)
	timedOut := slowEdit(r.freshID())
	timedOut.header = map[string]string{wire.HeaderDeadline: "50"}
	assert.Equal(t, r.send(timedOut).reason, wire.ReasonTimedOut)
	r.split(2, 2, topology.ShardOwned, topology.ShardOwned)
	r.waitServed(2)
	assert.Equal(t, muted.epoch(shard.String()), topology.Epoch(1), "the grant continues")
	r.split(3, 2, topology.ShardOwned, topology.ShardReleasing)
	r.waitFor("release", func() bool { return r.controller.releasedShard(rightPart) != nil })
	assert.Equal(t, muted.epoch(shard.String()), topology.Epoch(2), "requests sent at epoch 1 could still act")
}

func TestRequestsEndWhenAnotherBackEndOwnsPartOfTheirRange(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	result := r.sendAsync(slowEdit(id))
	r.waitRunning(id)
	r.applyShards(2, topology.BackendActive, []topology.Shard{
		{ID: shard, Phase: topology.ShardOwned, Owner: r.self, Epoch: 2},
		{ID: rightPart, Start: halfOfKeys, Phase: topology.ShardOwned, Owner: r.self + 1, Epoch: 3},
	})
	assert.Equal(t, (<-result).outcome, wire.OutcomeUnknown)
}
