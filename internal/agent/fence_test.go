package agent

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

func TestLeaseCountsFromSendingLessTheDriftBound(t *testing.T) {
	holder := ownership.NewHolder(0.02)
	held := &lease{holder: holder, onExtended: func() {}}
	held.Granted(time.Second, 500*time.Millisecond)
	assert.Equal(t, holder.ValidUntil(), 1490*time.Millisecond)
	held.Granted(900*time.Millisecond, 500*time.Millisecond)
	assert.Equal(t, holder.ValidUntil(), 1490*time.Millisecond, "a late answer to an earlier renewal must not shorten the lease")

	held.suspend()
	held.Granted(1200*time.Millisecond, 500*time.Millisecond)
	assert.Equal(t, holder.ValidUntil(), time.Duration(0), "the lease was given up")
	held.resume(2 * time.Second)
	held.Granted(1900*time.Millisecond, 500*time.Millisecond)
	assert.Equal(t, holder.ValidUntil(), time.Duration(0), "the renewal was sent before the lease was resumed")
	held.Granted(2*time.Second, 500*time.Millisecond)
	assert.Equal(t, holder.ValidUntil(), 2490*time.Millisecond)
}

func TestBackEndsGrantsEndNoLaterThanTheLease(t *testing.T) {
	clock := backendapi.Clock{Drift: 0.02}
	clock.Observe(backendapi.Reading{Boot: "b", ClockMilliseconds: 10_000}, time.Second)
	// 500 ms ahead here is at least 490 ms by a clock that runs 2% faster.
	assert.Equal(t, clock.Convert(1500*time.Millisecond), int64(10_490))
	assert.Equal(t, clock.Convert(500*time.Millisecond), int64(0), "a time that has passed")
}

// TestFreezeBeyondTheLeaseMakesAnswersUnknown: no renewal succeeds for longer
// than the lease, as if the agent were suspended, and the back end's answer is
// there when it resumes.
func TestFreezeBeyondTheLeaseMakesAnswersUnknown(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	posted := testRequest{method: http.MethodPost, path: "/closures/edit/k?work=1200ms", body: "closed", epoch: 1, id: id}
	result := r.sendAsync(posted)
	r.waitRunning(id)
	r.controller.unresponsive.Store(true)
	got := <-result
	assert.Equal(t, got.outcome, wire.OutcomeUnknown)
	assert.Equal(t, got.reason, wire.ReasonLeaseLost)
	assert.Equal(t, r.countEntries(id, ledger.KindWrite), 0, "the back end's fencing check must discard writes after the lease")

	r.controller.unresponsive.Store(false)
	r.waitFor("lease", func() bool { return r.agent.holder.Valid(r.agent.now()) })
	again := r.send(posted)
	assert.Assert(t, again.outcome != wire.OutcomeNotRun, "%+v", again)
	assert.Equal(t, r.countEntries(id, ledger.KindRun), 1)
}

func TestStreamIsCutWhenTheLeaseEnds(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	result := r.sendAsync(testRequest{method: http.MethodGet, path: "/closures/pack/k?bytes=4000000&pace=3s", epoch: 1,
		header: map[string]string{wire.HeaderRequestID: id, wire.HeaderClass: classBulk}})
	r.waitRunning(id)
	r.controller.unresponsive.Store(true)
	got := <-result
	assert.Assert(t, got.err != nil, "the reader must see that the answer is incomplete")
	assert.Assert(t, len(got.body) < 4000000)
}

// TestEpochThatTheBackEndRefusesIsNotServed: the back end has already seen a
// higher epoch, of a later owner.
func TestEpochThatTheBackEndRefusesIsNotServed(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	seen, err := http.NewRequest(http.MethodGet, "http://"+r.backend.Address()+"/closures/route/k", nil)
	assert.NilError(t, err)
	seen.Header.Set(wire.HeaderShard, shard.String())
	seen.Header.Set(wire.HeaderEpoch, "5")
	assert.Equal(t, exchange(seen).status, http.StatusPreconditionFailed)

	r.applyShard(1, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 4})
	got := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 4})
	assert.Equal(t, got.outcome, wire.OutcomeNotRun)
	assert.Equal(t, got.reason, wire.ReasonNoLease)
	r.ownShard(2, 6)
	assert.Equal(t, r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 6}).outcome, wire.OutcomeAnswered)
}

// TestRestartedBackEndReceivesGrantsAgain: a restarted back end has lost its
// grants, and its clock has another origin.
func TestRestartedBackEndReceivesGrantsAgain(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	address := r.backend.Address()
	stopNow(t, r.backend)
	r.backend, r.ledger = startBackend(t, backend.Config{Listen: address})
	r.waitFor("grants", func() bool { return r.backendStatus()["grants"] == 1.0 })
	r.waitFor("answer", func() bool {
		return r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1}).outcome == wire.OutcomeAnswered
	})
}
