package agent

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/answer"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// shortClockBound keeps tests fast: all processes here use the same clock, so
// that ids soon pass a record's floor.
func shortClockBound(config *Config) { config.Record.ClockBound = 5 * time.Millisecond }

func TestOwnedShardIsServed(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 3)
	id := newID(time.Now())
	got := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 3,
		header: map[string]string{wire.HeaderRequestID: id}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.outcome, wire.OutcomeAnswered)
	assert.NilError(t, answer.Check([]byte(got.body), id, "k"))
}

func TestRequestIsRefusedAtWrongEpochOrWithoutLease(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 3)
	got := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 2})
	assert.Equal(t, got.status, http.StatusMisdirectedRequest)
	assert.Equal(t, got.reason, wire.ReasonWrongEpoch)

	r.controller.unresponsive.Store(true)
	r.waitFor("lease over", func() bool { return !r.agent.holder.Valid(r.agent.now()) })
	got = r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 3})
	assert.Equal(t, got.reason, wire.ReasonNoLease)
	assert.Equal(t, got.outcome, wire.OutcomeNotRun)
}

func TestAnswerAfterLeaseEndIsUnknown(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	result := r.sendAsync(testRequest{method: http.MethodGet, path: "/closures/route/k?work=1500ms", epoch: 1,
		header: map[string]string{wire.HeaderRequestID: id}})
	r.waitRunning(id)
	r.controller.unresponsive.Store(true)
	got := <-result
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome, wire.OutcomeUnknown)
	assert.Equal(t, got.reason, wire.ReasonLeaseLost)
}

func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	posted := testRequest{method: http.MethodPost, path: "/closures/edit/k?work=200ms", body: "closed", epoch: 1, id: id}
	first := r.sendAsync(posted)
	r.waitRunning(id)
	assert.Equal(t, r.send(posted).reason, wire.ReasonDuplicate)
	original := <-first
	assert.Equal(t, original.outcome, wire.OutcomeAnswered)
	again := r.send(posted)
	assert.Equal(t, again.outcome, wire.OutcomeAnswered)
	assert.Equal(t, again.body, original.body)
	assert.Equal(t, r.countEntries(id, ledger.KindRun), 1)

	changed := posted
	changed.body = "opened"
	assert.Equal(t, r.send(changed).status, http.StatusBadRequest)
}
