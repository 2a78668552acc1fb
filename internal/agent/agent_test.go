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

// shortClockBound keeps tests fast: all clocks here are the same.
func shortClockBound(config *Config) { config.Record.ClockBound = 5 * time.Millisecond }

func TestOwnedShardIsServed(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 3)
	id := newID(time.Now())
	got := r.do(call{method: http.MethodGet, path: "/closures/route/k", epoch: 3,
		header: map[string]string{wire.HeaderRequestID: id}})
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.outcome, wire.OutcomeAnswered)
	assert.NilError(t, answer.Check([]byte(got.body), id, "k"))
}

func TestFenceRefusesWhatIsNotOwned(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 3)
	got := r.do(call{method: http.MethodGet, path: "/closures/route/k", epoch: 2})
	assert.Equal(t, got.status, http.StatusMisdirectedRequest)
	assert.Equal(t, got.reason, wire.ReasonWrongEpoch)

	r.leader.refuses.Store(true)
	r.waitFor("lease over", func() bool { return !r.agent.holder.Valid(r.agent.now()) })
	got = r.do(call{method: http.MethodGet, path: "/closures/route/k", epoch: 3})
	assert.Equal(t, got.reason, wire.ReasonNoLease)
	assert.Equal(t, got.outcome, wire.OutcomeNotRun)
}

func TestAnswerThatOutlivedItsLeaseIsUnknown(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	id := r.freshID()
	result := r.background(call{method: http.MethodGet, path: "/closures/route/k?work=1500ms", epoch: 1,
		header: map[string]string{wire.HeaderRequestID: id}})
	r.running(id)
	r.leader.refuses.Store(true)
	got := <-result
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome, wire.OutcomeUnknown)
	assert.Equal(t, got.reason, wire.ReasonLeaseLost)
}

func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	id := r.freshID()
	posted := call{method: http.MethodPost, path: "/closures/edit/k?work=200ms", body: "closed", epoch: 1, id: id}
	first := r.background(posted)
	r.running(id)
	assert.Equal(t, r.do(posted).reason, wire.ReasonDuplicate)
	original := <-first
	assert.Equal(t, original.outcome, wire.OutcomeAnswered)
	again := r.do(posted)
	assert.Equal(t, again.outcome, wire.OutcomeAnswered)
	assert.Equal(t, again.body, original.body)
	assert.Equal(t, r.count(id, ledger.KindRun), 1)

	changed := posted
	changed.body = "opened"
	assert.Equal(t, r.do(changed).status, http.StatusBadRequest)
}
