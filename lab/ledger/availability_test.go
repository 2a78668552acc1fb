package ledger_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

func probe(key string, done time.Duration, outcome wire.Outcome) ledger.CallerEntry {
	return ledger.CallerEntry{
		Service: "s", Key: key, Sent: int64(done) - 1, Done: int64(done), Outcome: outcome, Status: 200,
	}
}

func TestGapReachesFromTheLastAnswerToTheNextWhateverCameBetween(t *testing.T) {
	const interval = 10 * time.Millisecond
	gaps := ledger.LongestGaps([]ledger.CallerEntry{
		probe("a", 10*time.Millisecond, wire.OutcomeAnswered),
		probe("a", 20*time.Millisecond, wire.OutcomeNotRun),
		probe("a", 30*time.Millisecond, wire.OutcomeUnknown),
		probe("a", 400*time.Millisecond, wire.OutcomeAnswered),
		probe("a", 410*time.Millisecond, wire.OutcomeAnswered),
		probe("b", 10*time.Millisecond, wire.OutcomeAnswered),
		probe("b", 20*time.Millisecond, wire.OutcomeAnswered),
	}, interval)
	assert.DeepEqual(t, gaps, []ledger.Gap{
		{ProbedKey: ledger.ProbedKey{Service: "s", Key: "a"}, From: int64(10 * time.Millisecond), Length: 380 * time.Millisecond},
		{ProbedKey: ledger.ProbedKey{Service: "s", Key: "b"}},
	})
}

func TestOwnerIsTheBackEndOfTheLastRunBeforeAnInstant(t *testing.T) {
	run := func(at int64, name string) ledger.BackendEntry {
		return ledger.BackendEntry{Time: at, Kind: ledger.KindRun, Backend: name, Service: "s", Key: "a"}
	}
	owners := ledger.OwnersAt([]ledger.BackendEntry{run(1, "one"), run(3, "two"), run(9, "three")}, 5)
	assert.DeepEqual(t, owners, map[ledger.ProbedKey]string{{Service: "s", Key: "a"}: "two"})
}
