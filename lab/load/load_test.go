package load_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/ledger"
	"github.com/quartzdock/quartzdock/lab/load"
)

func startUnfenced(t *testing.T) (address, ledgerPath string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "backend.jsonl")
	server, err := backend.Start(backend.Config{
		Name: "one", Listen: "127.0.0.1:0", Slots: 1000, Unfenced: true, Ledger: path,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { server.Stop(context.Background()) })
	return server.Address(), path
}

func run(t *testing.T, config load.Config) *load.Summary {
	t.Helper()
	small, err := deployment.Load("small")
	assert.NilError(t, err)
	config.Deployment = small
	config.Duration = 500 * time.Millisecond
	config.Direct = true
	summary, err := load.Run(t.Context(), config)
	assert.NilError(t, err)
	return summary
}

func TestEveryRequestIsInBothLedgers(t *testing.T) {
	address, backendLedger := startUnfenced(t)
	callerLedger := filepath.Join(t.TempDir(), "caller.jsonl")
	total := run(t, load.Config{Routers: []string{address}, Seed: 1, Ledger: callerLedger}).Total()
	assert.Assert(t, total.Requests > 100)
	assert.Equal(t, total.Answered, total.Requests)
	assert.Equal(t, total.Damaged, 0)

	callers, err := ledger.ReadCallers(callerLedger)
	assert.NilError(t, err)
	assert.Equal(t, len(callers), total.Requests)
	backends, err := ledger.ReadBackends(backendLedger)
	assert.NilError(t, err)
	report := ledger.Check(callers, backends)
	assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
	assert.Assert(t, report.Checked[ledger.PromiseAcknowledged] > 10)
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	total := run(t, load.Config{Routers: []string{"127.0.0.1:1"}, Seed: 1, Resends: 1}).Total()
	assert.Equal(t, total.NotRun, total.Requests)
	assert.Equal(t, total.Attempts, 2*total.Requests)
}

func TestClientLibrarySendsNothingAgainByItself(t *testing.T) {
	address, seen := startBreaking(t)
	total := run(t, load.Config{Routers: []string{address}, Seed: 1}).Total()
	assert.Assert(t, total.Unknown > 10, "%+v", total)
	for id, count := range seen() {
		assert.Equal(t, count, 1, "request %s", id)
	}
}

func TestSeedGivesTheSameRequests(t *testing.T) {
	address, _ := startUnfenced(t)
	keys := func(path string) []string {
		run(t, load.Config{Routers: []string{address}, Seed: 7, Ledger: path})
		entries, err := ledger.ReadCallers(path)
		assert.NilError(t, err)
		byDue := make([]string, 0, len(entries))
		for _, entry := range sortedByDue(entries) {
			byDue = append(byDue, entry.Operation+" "+entry.Key)
		}
		return byDue
	}
	folder := t.TempDir()
	assert.DeepEqual(t, keys(filepath.Join(folder, "a")), keys(filepath.Join(folder, "b")))
}
