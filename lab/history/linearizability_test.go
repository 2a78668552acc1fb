package history_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/faultproxy"
	"github.com/quartzdock/quartzdock/lab/fleet"
	"github.com/quartzdock/quartzdock/lab/history"
)

const (
	operators    = 4
	checkTimeout = time.Minute
)

// startControllers starts three controller processes with a fault proxy on each
// link, and creates the service that the operators change.
func startControllers(t *testing.T, seed uint64) (*fleet.Fleet, *history.Recorder) {
	t.Helper()
	binaries, err := fleet.Build(t.Context(), t.TempDir())
	assert.NilError(t, err)
	f, err := fleet.New(fleet.Config{
		Deployment: &deployment.Deployment{Name: "controllers", Region: "r", Zones: []topology.ZoneName{"z"}, Controllers: 3},
		Binaries:   binaries, Folder: t.TempDir(), Proxied: true, Seed: seed,
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.Check(t, f.Stop())
		assert.Check(t, len(f.Panics()) == 0, "%v", f.Panics())
	})
	assert.NilError(t, f.Start(t.Context()))
	recorder := history.NewRecorder()
	first := history.NewOperator(0, f.ControllerRPCAddresses(), recorder, seed)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := first.Create(t.Context()); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	return f, recorder
}

// leaderOf waits until there is a leader and returns it.
func leaderOf(t *testing.T, f *fleet.Fleet) *fleet.Process {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	number, err := f.Admin().Leader(ctx)
	assert.NilError(t, err)
	return f.Controllers[number]
}

// TestConfigurationIsLinearizableUnderFaults runs concurrent operators, with lost
// answers and resends, while controllers are killed, frozen and isolated in a
// random order that the seed determines.
func TestConfigurationIsLinearizableUnderFaults(t *testing.T) {
	seeds, faults := uint64(2), len(history.Faults())
	if testing.Short() {
		seeds, faults = 1, 3
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			f, recorder := startControllers(t, seed)
			ctx, stop := context.WithCancel(t.Context())
			var running sync.WaitGroup
			for number := 1; number <= operators; number++ {
				operator := history.NewOperator(number, f.ControllerRPCAddresses(), recorder, seed)
				running.Go(func() { operator.Run(ctx) })
			}
			injectFaults(t, f, rand.New(rand.NewPCG(seed, 0)), faults, recorder)
			stop()
			running.Wait()
			operations := recorder.Operations()
			t.Logf("%d operations: %d reads, %d accepted, %d refused, %d unknown", len(operations),
				recorder.Count(history.ReadReturned), recorder.Count(history.Accepted),
				recorder.Count(history.Conflict), recorder.Count(history.Unknown))
			assert.Equal(t, history.Check(operations, checkTimeout), porcupine.Ok)
		})
	}
}

// injectFaults injects faults one after the other. After each it waits until the
// group has recovered, that is, has accepted more changes.
func injectFaults(t *testing.T, f *fleet.Fleet, random *rand.Rand, count int, recorder *history.Recorder) {
	t.Helper()
	all := history.Faults()
	for _, index := range random.Perm(len(all))[:count] {
		leader := leaderOf(t, f)
		t.Logf("%s (%s)", all[index].Name, leader.Name)
		assert.NilError(t, all[index].Begin(f, leader))
		time.Sleep(time.Duration(500+random.IntN(1000)) * time.Millisecond)
		assert.NilError(t, all[index].End(f, leader))
		before := recorder.Count(history.Accepted)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if recorder.Count(history.Accepted) < before+5 {
				return poll.Continue("no change accepted after: %s", all[index].Name)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
	}
}

// TestCheckRejectsStaleRead reads from an isolated controller. A reader that
// accepts the stale answer must make the history illegal; one that ignores it
// must not.
func TestCheckRejectsStaleRead(t *testing.T) {
	f, recorder := startControllers(t, 1)
	var follower int
	for index, controller := range f.Controllers {
		if controller != leaderOf(t, f) {
			follower = index
		}
	}
	addresses := f.ControllerRPCAddresses()
	client := quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+addresses[follower])
	reader := history.NewOperator(1, addresses, recorder, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !reader.Read(t.Context(), client) {
			return poll.Continue("the follower does not answer linearizable reads yet")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))

	assert.NilError(t, f.Isolate(f.Controllers[follower]))
	assert.NilError(t, f.CutSessions(f.Controllers[follower], faultproxy.BlackHole()))
	writer := history.NewOperator(2, append(addresses[:follower:follower], addresses[follower+1:]...), recorder, 1)
	before := recorder.Count(history.Accepted)
	for recorder.Count(history.Accepted) == before {
		writer.RunOnce(t.Context())
	}
	assert.Assert(t, !reader.Read(t.Context(), client), "an isolated controller must not mark its answer as linearizable")
	assert.Equal(t, history.Check(recorder.Operations(), checkTimeout), porcupine.Ok)
	assert.Assert(t, reader.ReadAcceptingStale(t.Context(), client))
	assert.Equal(t, history.Check(recorder.Operations(), checkTimeout), porcupine.Illegal)
}
