package ledger_test

import (
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

func caller(id string, sent int64, outcome wire.Outcome) ledger.CallerEntry {
	return ledger.CallerEntry{
		RequestID: id, Sent: sent, Done: sent + 5, Outcome: outcome, Status: 200, NonRepeatable: true,
	}
}

func backend(id string, time int64, kind ledger.Kind, name string, epoch topology.Epoch) ledger.BackendEntry {
	return ledger.BackendEntry{
		Time: time, Kind: kind, Backend: name, RequestID: id, Shard: "1/1", Epoch: epoch,
	}
}

func inShard(shard string, entry ledger.BackendEntry) ledger.BackendEntry {
	entry.Shard = shard
	return entry
}

func TestCheckReportsViolationOfEachPromise(t *testing.T) {
	tests := []struct {
		name     string
		callers  []ledger.CallerEntry
		backends []ledger.BackendEntry
		want     []ledger.Promise
	}{
		{
			name:    "a request answered once",
			callers: []ledger.CallerEntry{caller("a", 10, wire.OutcomeAnswered)},
			backends: []ledger.BackendEntry{
				backend("a", 11, ledger.KindRun, "one", 1), backend("a", 12, ledger.KindWrite, "one", 1),
			},
		},
		{
			name: "a stale owner writes after its successor",
			backends: []ledger.BackendEntry{
				backend("a", 1, ledger.KindWrite, "one", 1),
				backend("b", 2, ledger.KindWrite, "two", 2),
				backend("c", 3, ledger.KindWrite, "one", 1),
			},
			want: []ledger.Promise{ledger.PromiseSoleOwner},
		},
		{
			name: "two owners at one epoch",
			backends: []ledger.BackendEntry{
				backend("a", 1, ledger.KindRun, "one", 1), backend("b", 2, ledger.KindRun, "two", 1),
			},
			want: []ledger.Promise{ledger.PromiseSoleOwner},
		},
		{
			name: "an owner writes a key for the shard as it was before a split and a move",
			backends: []ledger.BackendEntry{
				backend("a", 1, ledger.KindRun, "one", 1),
				inShard("1/2", backend("b", 2, ledger.KindWrite, "two", 3)),
				backend("a", 3, ledger.KindWrite, "one", 1),
			},
			want: []ledger.Promise{ledger.PromiseSoleOwner},
		},
		{
			name: "an owner finishes a run that began before it split the shard",
			backends: []ledger.BackendEntry{
				backend("a", 1, ledger.KindRun, "one", 1),
				inShard("1/2", backend("b", 2, ledger.KindWrite, "one", 2)),
				backend("a", 3, ledger.KindWrite, "one", 1),
			},
		},
		{
			name:    "a second run",
			callers: []ledger.CallerEntry{caller("a", 10, wire.OutcomeUnknown)},
			backends: []ledger.BackendEntry{
				backend("a", 11, ledger.KindRun, "one", 1), backend("a", 12, ledger.KindRun, "one", 1),
			},
			want: []ledger.Promise{ledger.PromiseAtMostOnce},
		},
		{
			name:     "an acknowledged write that is not kept",
			callers:  []ledger.CallerEntry{caller("a", 10, wire.OutcomeAnswered)},
			backends: []ledger.BackendEntry{backend("a", 11, ledger.KindRun, "one", 1)},
			want:     []ledger.Promise{ledger.PromiseAcknowledged},
		},
		{
			name:     "a run reported as not run",
			callers:  []ledger.CallerEntry{caller("a", 10, wire.OutcomeNotRun)},
			backends: []ledger.BackendEntry{backend("a", 11, ledger.KindRun, "one", 1)},
			want:     []ledger.Promise{ledger.PromiseNotRun},
		},
		{
			name: "a run before the resend, although the first attempt was reported not run",
			callers: []ledger.CallerEntry{
				caller("a", 10, wire.OutcomeNotRun), caller("a", 20, wire.OutcomeUnknown),
			},
			backends: []ledger.BackendEntry{backend("a", 11, ledger.KindRun, "one", 1)},
			want:     []ledger.Promise{ledger.PromiseNotRun},
		},
		{
			name: "a run after the resend",
			callers: []ledger.CallerEntry{
				caller("a", 10, wire.OutcomeNotRun), caller("a", 20, wire.OutcomeUnknown),
			},
			backends: []ledger.BackendEntry{backend("a", 21, ledger.KindRun, "one", 1)},
		},
		{
			name:     "more requests than slots",
			backends: []ledger.BackendEntry{{Time: 1, Kind: ledger.KindOverSlots, Backend: "one"}},
			want:     []ledger.Promise{ledger.PromiseLimits},
		},
		{
			name:    "an answer cut short",
			callers: []ledger.CallerEntry{{RequestID: "a", Outcome: wire.OutcomeAnswered, Damage: "cut"}},
			want:    []ledger.Promise{ledger.PromiseWholeAnswer},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var got []ledger.Promise
			for _, violation := range ledger.Check(test.callers, test.backends).Violations {
				got = append(got, violation.Promise)
			}
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestReadIgnoresPartialLastLine(t *testing.T) {
	path := filepath.Join(t.TempDir(), "backend-1.jsonl")
	writer, err := ledger.OpenWriter(path)
	assert.NilError(t, err)
	entry := backend("a", 1, ledger.KindRun, "one", 1)
	assert.NilError(t, writer.Append(entry))
	assert.NilError(t, writer.Close())
	appendPartialLine(t, path)

	entries, err := ledger.ReadBackends(path)
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []ledger.BackendEntry{entry})
}
