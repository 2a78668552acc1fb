package integration

import (
	"context"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/fleet"
	"github.com/quartzdock/quartzdock/lab/ledger"
	"github.com/quartzdock/quartzdock/lab/load"
)

const (
	// patience bounds every wait; it is far above what any takes.
	patience = time.Minute
	// coresPerFleet is how many cores a fleet needs, so that fleets side by side
	// do not starve each other.
	coresPerFleet = 6
	// resends is how often a caller sends a request again with the same id.
	resends = 4
	// trafficShare is how many answers a scenario waits for where it lets load
	// pass.
	trafficShare = 60
)

// fleets bounds how many fleets run at once.
var fleets = make(chan struct{}, max(1, runtime.NumCPU()/coresPerFleet))

// binaries builds both programs once for all tests.
var binaries = sync.OnceValues(func() (fleet.Binaries, error) {
	return fleet.Build(context.Background(), buildFolder)
})

// buildFolder is set and removed by Main.
var buildFolder string

// Main runs the tests of the package with a folder for the programs.
func Main(m *testing.M) int {
	folder, err := os.MkdirTemp("", "quartzdock-integration-")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(folder)
	buildFolder = folder
	return m.Run()
}

// Rig is a fleet under load.
type Rig struct {
	*fleet.Fleet
	Operator   *fleet.Admin
	Deployment *deployment.Deployment

	answered atomic.Int64
	attempts recorder
}

// recorder keeps the attempts of callers.
type recorder struct {
	mutex   sync.Mutex
	entries []ledger.CallerEntry
}

func (r *recorder) add(entry ledger.CallerEntry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, entry)
}

// between returns the attempts that ended in a period.
func (r *recorder) between(from, to time.Time) []ledger.CallerEntry {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var within []ledger.CallerEntry
	for _, entry := range r.entries {
		if entry.Done >= from.UnixNano() && entry.Done < to.UnixNano() {
			within = append(within, entry)
		}
	}
	return within
}

// calm says whether the last attempts all have a known outcome.
func (r *recorder) calm() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.entries) < trafficShare {
		return false
	}
	return !slices.ContainsFunc(r.entries[len(r.entries)-trafficShare:], func(entry ledger.CallerEntry) bool {
		return entry.Outcome == wire.OutcomeUnknown
	})
}

// newDeployment is one service on three back ends, with look-ups, repeatable
// and non-repeatable writes and slow map packs.
func newDeployment(t testing.TB) *deployment.Deployment {
	t.Helper()
	d, err := deployment.Load("small")
	assert.NilError(t, err)
	service := d.Services[0]
	service.Backends, service.Shards = 3, 12
	service.Keys = deployment.Keys{Count: 60, Skew: 0.5}
	service.Operations = []deployment.Operation{
		{Name: "route", Method: "GET", Rate: 60, Work: 2 * time.Millisecond, AnswerBytes: 600, Deadline: 5 * time.Second},
		{Name: "edit", Method: "POST", NonRepeatable: true, Rate: 60, Work: 4 * time.Millisecond,
			RequestBytes: 400, AnswerBytes: 100, Deadline: 5 * time.Second},
		{Name: "note", Method: "PUT", Rate: 15, Work: 4 * time.Millisecond, RequestBytes: 400, AnswerBytes: 100, Deadline: 5 * time.Second},
		{Name: "pack", Method: "GET", Bulk: true, Rate: 3, Work: 50 * time.Millisecond,
			Pace: time.Second, AnswerBytes: 1_000_000, Deadline: 20 * time.Second},
	}
	d.Services = []deployment.Service{service}
	return d
}

// StartRig starts a fleet under load, which ends with the test. With -short the
// test is left out.
func StartRig(t *testing.T) *Rig {
	t.Helper()
	if testing.Short() {
		t.Skip("not with -short")
	}
	return StartShortRig(t)
}

// StartShortRig is StartRig for the tests that -short includes.
func StartShortRig(t *testing.T) *Rig {
	t.Helper()
	t.Parallel()
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	programs, err := binaries()
	assert.NilError(t, err)
	d := newDeployment(t)
	running, err := fleet.New(fleet.Config{
		Deployment: d, Binaries: programs, Folder: t.TempDir(), Proxied: true, Seed: 1,
	})
	assert.NilError(t, err)
	rig := &Rig{Fleet: running, Operator: running.Admin(), Deployment: d}
	t.Cleanup(func() { rig.stop(t) })
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	assert.NilError(t, running.Start(ctx))
	rig.startLoad(t)
	rig.awaitCalm(t, ctx)
	return rig
}

// awaitCalm waits until no request of the last ones has an unknown outcome: ids
// that are younger than the first owners' records by less than the bound of clock
// differences can't be told from ids of lost records.
func (r *Rig) awaitCalm(t *testing.T, ctx context.Context) {
	t.Helper()
	const interval = 20 * time.Millisecond
	for !r.attempts.calm() {
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			t.Fatal("waited too long for known outcomes")
		}
	}
}

// startLoad offers load until the test ends.
func (r *Rig) startLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := load.Run(ctx, load.Config{
			Deployment: r.Deployment, Routers: r.RouterAddresses(), Duration: time.Hour, Seed: 1,
			Ledger: r.CallerLedger("load"), Resends: resends, Caller: "integration", OnAttempt: r.attempted,
		})
		ended <- err
	}()
	t.Cleanup(func() {
		cancel()
		assert.Check(t, <-ended)
		r.check(t, everything)
	})
}

func (r *Rig) attempted(entry ledger.CallerEntry) {
	r.attempts.add(entry)
	if entry.Outcome == wire.OutcomeAnswered {
		r.answered.Add(1)
	}
}

// stop ends all processes and shows the logs of a failed test.
func (r *Rig) stop(t *testing.T) {
	const lines = 12
	if t.Failed() {
		for _, process := range r.Processes() {
			t.Logf("%s:\n%s", process.Name, process.LastLines(lines))
		}
	}
	assert.Check(t, r.Fleet.Stop())
	keepFolder(t, filepath.Dir(r.CallerLedger("")))
}

// keepVariable names the environment variable with a folder to which the
// logs and ledgers of failed tests are copied.
const keepVariable = "LAB_KEEP"

func keepFolder(t *testing.T, folder string) {
	target := os.Getenv(keepVariable)
	if target == "" || !t.Failed() {
		return
	}
	copied := filepath.Join(target, t.Name()+time.Now().Format("-150405"))
	assert.Check(t, os.CopyFS(copied, os.DirFS(folder)))
	t.Logf("logs and ledgers are in %s", copied)
}

// everything and finished choose the requests of a check.
func everything(callers []ledger.CallerEntry) []ledger.CallerEntry { return callers }

// finished leaves out requests that may be under way again: their next attempt
// is in no ledger yet, but its run may be.
func finished(callers []ledger.CallerEntry) []ledger.CallerEntry {
	last := make(map[string]ledger.CallerEntry)
	for _, entry := range callers {
		if known, found := last[entry.RequestID]; !found || entry.Attempt > known.Attempt {
			last[entry.RequestID] = entry
		}
	}
	return slices.DeleteFunc(callers, func(entry ledger.CallerEntry) bool {
		ended := last[entry.RequestID]
		return ended.Outcome != wire.OutcomeAnswered && ended.Attempt < resends
	})
}

// check checks all promises on the ledgers so far. A back end records before it
// answers, so callers' ledgers are read first.
func (r *Rig) check(t testing.TB, choose func([]ledger.CallerEntry) []ledger.CallerEntry) {
	t.Helper()
	callers, err := ledger.ReadCallers(r.CallerLedgers())
	assert.NilError(t, err)
	callers = choose(callers)
	backends, err := ledger.ReadBackends(r.BackendLedgers())
	assert.NilError(t, err)
	report := ledger.Check(callers, backends)
	const shown = 5
	for _, violation := range report.Violations[:min(shown, len(report.Violations))] {
		t.Error(violation)
	}
	if len(report.Violations) > shown {
		t.Errorf("and %d more", len(report.Violations)-shown)
	}
	assert.Check(t, len(r.Panics()) == 0, "%v", r.Panics())
}
