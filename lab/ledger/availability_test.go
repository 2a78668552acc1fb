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

func TestLongestGapSpansUnansweredProbes(t *testing.T) {
	const interval = 10 * time.Millisecond
	at := func(milliseconds int) time.Duration { return time.Duration(milliseconds) * time.Millisecond }
	probes := []ledger.CallerEntry{
		probe("a", at(10), wire.OutcomeAnswered),
		probe("a", at(20), wire.OutcomeNotRun),
		probe("a", at(30), wire.OutcomeUnknown),
		probe("a", at(400), wire.OutcomeAnswered),
		probe("a", at(410), wire.OutcomeAnswered),
		probe("b", at(10), wire.OutcomeAnswered),
		probe("b", at(20), wire.OutcomeAnswered),
		probe("b", at(410), wire.OutcomeNotRun),
		probe("c", at(410), wire.OutcomeNotRun),
	}
	gap := func(key string, from, length int) ledger.Gap {
		return ledger.Gap{
			ProbedKey: ledger.ProbedKey{Service: "s", Key: key}, From: int64(at(from)), Length: at(length),
		}
	}
	within := func(from, to int) []ledger.Gap {
		return ledger.LongestGaps(probes, interval, ledger.Period{From: int64(at(from)), To: int64(at(to))})
	}
	assert.DeepEqual(t, within(0, 1000), []ledger.Gap{gap("c", 0, 400), gap("a", 10, 380), gap("b", 20, 380)})
	// A gap that began before the period is measured from its start.
	assert.DeepEqual(t, within(100, 300), []ledger.Gap{gap("a", 10, 380), gap("b", 20, 270), gap("c", 100, 190)})
	assert.DeepEqual(t, within(405, 1000), []ledger.Gap{gap("b", 20, 380), gap("a", 0, 0), gap("c", 0, 0)})
}

func TestOwnersAtReturnsBackendOfLastRun(t *testing.T) {
	run := func(at int64, name string) ledger.BackendEntry {
		return ledger.BackendEntry{Time: at, Kind: ledger.KindRun, Backend: name, Service: "s", Key: "a"}
	}
	owners := ledger.OwnersAt([]ledger.BackendEntry{run(1, "one"), run(3, "two"), run(9, "three")}, 5)
	assert.DeepEqual(t, owners, map[ledger.ProbedKey]string{{Service: "s", Key: "a"}: "two"})
}
