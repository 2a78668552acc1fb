package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// silentBackend answers grant messages until silent is set.
type silentBackend struct {
	silent atomic.Bool
	start  time.Time
	ended  chan struct{}
}

func (b *silentBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.silent.Load() {
		<-b.ended
		return
	}
	answerGrants(w, r, b.start)
}

func startSilentBackend(t *testing.T) (*silentBackend, string) {
	t.Helper()
	handler := &silentBackend{start: time.Now(), ended: make(chan struct{})}
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		close(handler.ended)
		server.Close()
	})
	return handler, strings.TrimPrefix(server.URL, "http://")
}

// TestRestartedAgentHoldsLeaseUntilGrantsAreReplaced: the back end may still
// act on grants of the previous agent process, so the lease is not released
// before the back end has replaced them.
func TestRestartedAgentHoldsLeaseUntilGrantsAreReplaced(t *testing.T) {
	agent, err := New(Config{
		Name: "one", Listen: "127.0.0.1:0", Controllers: []string{"127.0.0.1:1"},
		DataFolder: t.TempDir(), BackendAddress: "127.0.0.1:1",
	})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, agent.closeResources()) }()
	assert.Assert(t, !agent.leaseReleasable())
}

// TestUnansweredGrantIsRevokedBeforeTheShardIsReleased: the back end stops
// answering while a grant is being sent to it, which it may still accept later.
// It has replaced an earlier process's grants before;
// TestASilentBackEndsShardIsReleased covers the cases in which it has not.
func TestUnansweredGrantIsRevokedBeforeTheShardIsReleased(t *testing.T) {
	handler, address := startSilentBackend(t)
	r := startAgent(t, self, address, t.TempDir(), nil)
	replaced := func() bool { return r.askLoop(func(control *controlLoop) bool { return control.grants.Replaced() }) }
	r.waitFor("earlier grants replaced", replaced)
	handler.silent.Store(true)
	r.applyShard(1, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
	grantMayBeHeld := func() bool {
		return r.askLoop(func(control *controlLoop) bool { return control.grants.MayHold(shard) })
	}
	r.waitFor("grant sent", grantMayBeHeld)
	r.applyShard(2, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Epoch: 1, Target: other})
	r.waitFor("release", func() bool { return r.controller.releasedShard(shard) != nil })
	assert.Assert(t, r.agent.now() >= time.Duration(r.agent.grantsPossibleUntil.Load()) || !grantMayBeHeld(),
		"released while the back end may take the grant")
}

// askLoop evaluates a condition on the control goroutine.
func (r *harness) askLoop(condition func(*controlLoop) bool) bool {
	answer := make(chan bool, 1)
	r.agent.post(func(control *controlLoop) { answer <- condition(control) })
	return <-answer
}
