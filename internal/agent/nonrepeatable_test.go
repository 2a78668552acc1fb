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

// killed stands for a kill of the rig's agent: it copies the data folder as it
// is, ends the renewals, and starts another agent on the copy.
func (r *rig) killed(edit func(*Config)) *rig {
	r.t.Helper()
	folder := r.t.TempDir()
	assert.NilError(r.t, os.CopyFS(folder, os.DirFS(r.folder)))
	r.leader.refuses.Store(true)
	r.waitFor("lease over", func() bool { return !r.agent.holder.Valid(r.agent.now()) })
	r.stop()
	restarted := startAgent(r.t, r.self, r.backend.Address(), folder, edit)
	restarted.backend, restarted.ledger = r.backend, r.ledger
	return restarted
}

func TestRestartInMidRequestNeverRunsItAgain(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	begun, answered := r.freshID(), r.freshID()
	short := call{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: answered}
	assert.Equal(t, r.do(short).outcome, wire.OutcomeAnswered)
	long := call{method: http.MethodPost, path: "/closures/edit/k?work=800ms", body: "closed", epoch: 1, id: begun}
	first := r.background(long)
	r.running(begun)

	restarted := r.killed(shortClockBound)
	<-first
	restarted.own(1, 1)
	again := restarted.do(long)
	assert.Equal(t, again.outcome, wire.OutcomeUnknown)
	assert.Equal(t, again.reason, wire.ReasonInterrupted)
	assert.Equal(t, r.count(begun, ledger.KindRun), 1)
	assert.Equal(t, restarted.do(short).outcome, wire.OutcomeAnswered, "the kept answer")
	assert.Equal(t, r.count(answered, ledger.KindRun), 1)
	fresh := restarted.freshID()
	assert.Equal(t, restarted.do(call{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: fresh}).outcome,
		wire.OutcomeAnswered, "the record is whole, so new work goes on")
}

// TestDamagedRecordRefusesWhatMayHaveRun: the end of the journal is gone, with
// the entry of a request that ran.
func TestDamagedRecordRefusesWhatMayHaveRun(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	ran := r.freshID()
	posted := call{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: ran}
	assert.Equal(t, r.do(posted).outcome, wire.OutcomeAnswered)
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

	restarted := r.killed(shortClockBound)
	restarted.own(1, 1)
	again := restarted.do(posted)
	assert.Equal(t, again.outcome, wire.OutcomeUnknown)
	assert.Equal(t, again.reason, wire.ReasonRecordLost)
	assert.Equal(t, r.count(ran, ledger.KindRun), 1)
}

func TestPlannedMoveTakesTheRecordAlong(t *testing.T) {
	from := startRig(t, backend.Config{}, shortClockBound)
	to := startRigAs(t, other, backend.Config{}, shortClockBound)
	from.own(1, 1)
	ran, running := from.freshID(), from.freshID()
	posted := call{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: ran}
	original := from.do(posted)
	assert.Equal(t, original.outcome, wire.OutcomeAnswered)
	slow := from.background(call{method: http.MethodPost, path: "/closures/edit/k?work=500ms", epoch: 1, id: running})
	from.running(running)

	from.give(2, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Target: other, Epoch: 1},
		to.asBackend(topology.BackendActive))
	refused := from.do(call{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: from.freshID()})
	assert.Equal(t, refused.reason, wire.ReasonDraining)
	assert.Assert(t, from.leader.releasedShard(shard) == nil, "the running request ends first")
	assert.Equal(t, (<-slow).outcome, wire.OutcomeAnswered)
	from.waitFor("release", func() bool { return from.leader.releasedShard(shard) != nil })
	assert.Assert(t, from.leader.releasedShard(shard).RecordMoved)
	from.waitFor("grant revoked", func() bool { return from.status()["grants"] == 0.0 })

	to.own(3, 2)
	posted.epoch = 2
	again := to.do(posted)
	assert.Equal(t, again.outcome, wire.OutcomeAnswered)
	assert.Equal(t, again.body, original.body)
	assert.Equal(t, to.count(ran, ledger.KindRun), 0)
	fresh := to.do(call{method: http.MethodPost, path: "/closures/edit/k", epoch: 2, id: newID(time.Now())})
	assert.Equal(t, fresh.outcome, wire.OutcomeAnswered, "no floor was raised")
}

func TestLostRecordIsTold(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	before := newID(time.Now().Add(-time.Second))
	r.own(1, 7)
	got := r.do(call{method: http.MethodPost, path: "/closures/edit/k", epoch: 7, id: before})
	assert.Equal(t, got.status, http.StatusConflict)
	assert.Equal(t, got.outcome, wire.OutcomeUnknown)
	assert.Equal(t, got.reason, wire.ReasonRecordLost)
	assert.Equal(t, r.count(before, ledger.KindRun), 0)
	assert.Equal(t, r.agent.counts.recordsLost.Load(), uint64(1))
}

// TestRunOfARouterThatWentAwayIsKept: a resend finds its answer.
func TestRunOfARouterThatWentAwayIsKept(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	id := r.freshID()
	posted := call{method: http.MethodPost, path: "/closures/edit/k?work=300ms", body: "closed", epoch: 1, id: id}
	cancel, done := r.cancellable(posted)
	r.running(id)
	cancel()
	<-done
	r.waitFor("run to end", func() bool { return r.count(id, ledger.KindWrite) == 1 })
	r.waitFor("kept answer", func() bool { return r.do(posted).outcome == wire.OutcomeAnswered })
	assert.Equal(t, r.count(id, ledger.KindRun), 1)
}

// TestUnsentRequestFreesItsID: nothing left for the back end, so it may be sent
// again.
func TestUnsentRequestFreesItsID(t *testing.T) {
	r := startRig(t, backend.Config{Slots: 1}, shortClockBound)
	r.own(1, 1)
	r.agent.gate.SetSlots(1)
	blocker := r.background(call{method: http.MethodGet, path: "/closures/route/k?work=400ms", epoch: 1})
	r.waitFor("slot taken", func() bool { return r.agent.gate.Running() == 1 })
	id := r.freshID()
	posted := call{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: id,
		header: map[string]string{wire.HeaderDeadline: "50"}}
	got := r.do(posted)
	assert.Equal(t, got.outcome, wire.OutcomeNotRun, "%+v", got)
	assert.Equal(t, (<-blocker).outcome, wire.OutcomeAnswered)
	posted.header = nil
	assert.Equal(t, r.do(posted).outcome, wire.OutcomeAnswered)
	assert.Equal(t, r.count(id, ledger.KindRun), 1)
}
