package agent

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// restartAfterKill simulates a kill of the agent: it copies the data folder as
// it is, ends the renewals, and starts another agent on the copy.
func (r *harness) restartAfterKill(edit func(*Config)) *harness {
	r.t.Helper()
	folder := r.t.TempDir()
	assert.NilError(r.t, os.CopyFS(folder, os.DirFS(r.folder)))
	r.controller.unresponsive.Store(true)
	r.waitFor("lease over", func() bool { return !r.agent.holder.Valid(r.agent.now()) })
	r.stop()
	restarted := startAgent(r.t, r.self, r.backend.Address(), folder, edit)
	restarted.backend, restarted.ledger = r.backend, r.ledger
	return restarted
}

func TestRestartInMidRequestNeverRunsItAgain(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	begun, answered := r.freshID(), r.freshID()
	short := testRequest{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: answered}
	assert.Equal(t, r.send(short).outcome, wire.OutcomeAnswered)
	long := testRequest{method: http.MethodPost, path: "/closures/edit/k?work=800ms", body: "closed", epoch: 1, id: begun}
	first := r.sendAsync(long)
	r.waitRunning(begun)

	restarted := r.restartAfterKill(shortClockBound)
	<-first
	restarted.ownShard(1, 1)
	again := restarted.send(long)
	assert.Equal(t, again.outcome, wire.OutcomeUnknown)
	assert.Equal(t, again.reason, wire.ReasonInterrupted)
	assert.Equal(t, r.countEntries(begun, ledger.KindRun), 1)
	assert.Equal(t, restarted.send(short).outcome, wire.OutcomeAnswered, "the kept answer must be repeated")
	assert.Equal(t, r.countEntries(answered, ledger.KindRun), 1)
	fresh := restarted.freshID()
	assert.Equal(t, restarted.send(testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: fresh}).outcome,
		wire.OutcomeAnswered, "the record is undamaged, so new requests must be accepted")
}

// TestDamagedRecordRefusesRequestsThatMayHaveRun: the end of the journal is
// lost, with the entry of a request that ran.
func TestDamagedRecordRefusesRequestsThatMayHaveRun(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	ran := r.freshID()
	posted := testRequest{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: ran}
	assert.Equal(t, r.send(posted).outcome, wire.OutcomeAnswered)
	journals, err := filepath.Glob(filepath.Join(r.folder, recordFolder, "*.journal"))
	assert.NilError(t, err)
	assert.Equal(t, len(journals), 1)
	size := func() int64 {
		info, err := os.Stat(journals[0])
		assert.NilError(t, err)
		return info.Size()
	}
	r.waitFor("whole journal", func() bool { return r.agent.record.Stats().Fresh == 1 && size() > 0 })
	assert.NilError(t, os.Truncate(journals[0], size()/2))

	restarted := r.restartAfterKill(shortClockBound)
	restarted.ownShard(1, 1)
	again := restarted.send(posted)
	assert.Equal(t, again.outcome, wire.OutcomeUnknown)
	assert.Equal(t, again.reason, wire.ReasonRecordLost)
	assert.Equal(t, r.countEntries(ran, ledger.KindRun), 1)
}

func TestPlannedMoveTransfersTheRecord(t *testing.T) {
	from := startHarness(t, backend.Config{}, shortClockBound)
	to := startHarnessAs(t, other, backend.Config{}, shortClockBound)
	from.ownShard(1, 1)
	ran, running := from.freshID(), from.freshID()
	posted := testRequest{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: ran}
	original := from.send(posted)
	assert.Equal(t, original.outcome, wire.OutcomeAnswered)
	slow := from.sendAsync(testRequest{method: http.MethodPost, path: "/closures/edit/k?work=500ms", epoch: 1, id: running})
	from.waitRunning(running)

	from.applyShard(2, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Target: other, Epoch: 1},
		to.asBackend(topology.BackendActive))
	refused := from.send(testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: from.freshID()})
	assert.Equal(t, refused.reason, wire.ReasonDraining)
	assert.Assert(t, from.controller.releasedShard(shard) == nil, "the running request must end before the release")
	assert.Equal(t, (<-slow).outcome, wire.OutcomeAnswered)
	from.waitFor("release", func() bool { return from.controller.releasedShard(shard) != nil })
	assert.Assert(t, from.controller.releasedShard(shard).RecordMoved)
	from.waitFor("grant revoked", func() bool { return from.backendStatus()["grants"] == 0.0 })

	to.ownShard(3, 2)
	posted.epoch = 2
	again := to.send(posted)
	assert.Equal(t, again.outcome, wire.OutcomeAnswered)
	assert.Equal(t, again.body, original.body)
	assert.Equal(t, to.countEntries(ran, ledger.KindRun), 0)
	fresh := to.send(testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 2, id: newID(time.Now())})
	assert.Equal(t, fresh.outcome, wire.OutcomeAnswered, "the transferred record's floor must not be raised")
}

func TestLostRecordIsReported(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	before := newID(time.Now().Add(-time.Second))
	r.ownShard(1, 7)
	got := r.send(testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 7, id: before})
	assert.Equal(t, got.status, http.StatusConflict)
	assert.Equal(t, got.outcome, wire.OutcomeUnknown)
	assert.Equal(t, got.reason, wire.ReasonRecordLost)
	assert.Equal(t, r.countEntries(before, ledger.KindRun), 0)
	assert.Equal(t, r.agent.counts.recordsLost.Load(), uint64(1))
}

// TestAnswerIsKeptWhenTheRouterDisconnects: the request runs to its end, and a
// resend gets the answer.
func TestAnswerIsKeptWhenTheRouterDisconnects(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	posted := testRequest{method: http.MethodPost, path: "/closures/edit/k?work=300ms", body: "closed", epoch: 1, id: id}
	cancel, done := r.sendCancellable(posted)
	r.waitRunning(id)
	cancel()
	<-done
	r.waitFor("run to end", func() bool { return r.countEntries(id, ledger.KindWrite) == 1 })
	r.waitFor("kept answer", func() bool { return r.send(posted).outcome == wire.OutcomeAnswered })
	assert.Equal(t, r.countEntries(id, ledger.KindRun), 1)
}

// TestUnsentRequestFreesItsID: nothing left for the back end, so it may be sent
// again.
func TestUnsentRequestFreesItsID(t *testing.T) {
	r := startHarness(t, backend.Config{Slots: 1}, shortClockBound)
	r.ownShard(1, 1)
	r.agent.gate.SetSlots(1)
	blocker := r.sendAsync(testRequest{method: http.MethodGet, path: "/closures/route/k?work=400ms", epoch: 1})
	r.waitFor("slot taken", func() bool { return r.agent.gate.Running() == 1 })
	id := r.freshID()
	posted := testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: id,
		header: map[string]string{wire.HeaderDeadline: "50"}}
	got := r.send(posted)
	assert.Equal(t, got.outcome, wire.OutcomeNotRun, "%+v", got)
	assert.Equal(t, (<-blocker).outcome, wire.OutcomeAnswered)
	posted.header = nil
	assert.Equal(t, r.send(posted).outcome, wire.OutcomeAnswered)
	assert.Equal(t, r.countEntries(id, ledger.KindRun), 1)
}
