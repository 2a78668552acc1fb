package agent

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/ops"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/answer"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// shortGrace makes a leaving back end refuse new requests early.
func shortGrace(config *Config) {
	shortClockBound(config)
	config.LeavingGrace = 200 * time.Millisecond
}

// route returns a look-up.
func route(epoch topology.Epoch) testRequest {
	return testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: epoch}
}

// sendUnbound sends a look-up that is not bound to a shard.
func (r *harness) sendUnbound() testResponse {
	request := r.newRequest(route(1))
	request.Header.Del(wire.HeaderShard)
	request.Header.Del(wire.HeaderEpoch)
	return exchange(request)
}

func TestLeavingBackEndGetsNoNewWorkAfterTheGrace(t *testing.T) {
	assert.Equal(t, DefaultLeavingGrace, 3*time.Second)
	r := startHarness(t, backend.Config{}, shortGrace)
	r.ownShard(1, 1)
	assert.Equal(t, r.sendUnbound().outcome, wire.OutcomeAnswered)
	slow := r.sendAsync(testRequest{method: http.MethodGet, path: "/closures/route/k?work=600ms", epoch: 1})
	r.waitFor("slot taken", func() bool { return r.agent.gate.Running() == 1 })

	r.applyShardAs(2, topology.BackendDraining, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
	r.waitFor("requests without a shard refused", func() bool { return r.sendUnbound().reason == wire.ReasonDraining })
	r.waitFor("all new requests refused", func() bool { return r.send(route(1)).reason == wire.ReasonDraining })
	assert.Equal(t, (<-slow).outcome, wire.OutcomeAnswered, "running requests must continue")

	r.applyShardAs(3, topology.BackendActive, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
	r.waitFor("requests are served after the drain was cancelled", func() bool { return r.send(route(1)).outcome == wire.OutcomeAnswered })
	assert.Equal(t, r.sendUnbound().outcome, wire.OutcomeAnswered)
}

func TestPlannedStopCompletesRunningRequests(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortGrace)
	r.ownShard(1, 1)
	id, pack := r.freshID(), r.freshID()
	slow := r.sendAsync(testRequest{method: http.MethodPost, path: "/closures/edit/k?work=1s", epoch: 1, id: id})
	download := r.sendAsync(testRequest{method: http.MethodGet, path: "/closures/pack/k?bytes=1000000&pace=1s", epoch: 1,
		header: map[string]string{wire.HeaderClass: classBulk, wire.HeaderRequestID: pack}})
	r.waitRunning(id)
	r.waitRunning(pack)
	r.stop()
	assert.Equal(t, (<-slow).outcome, wire.OutcomeAnswered)
	got := <-download
	assert.NilError(t, got.err)
	assert.NilError(t, answer.Check([]byte(got.body), pack, "k"))
	assert.NilError(t, <-r.ended)
	assert.Assert(t, r.controller.hasReleased(), "the lease must be released, so that the shards need not wait for its end")
	assert.Assert(t, r.controller.announcedLeaving, "the stop must be announced")
}

func TestPlannedStopReportsTimeout(t *testing.T) {
	r := startHarness(t, backend.Config{}, func(config *Config) {
		shortGrace(config)
		config.StopTimeout = 700 * time.Millisecond
	})
	r.ownShard(1, 1)
	id := r.freshID()
	slow := r.sendAsync(testRequest{method: http.MethodPost, path: "/closures/edit/k?work=30s", epoch: 1, id: id})
	r.waitRunning(id)
	r.stop()
	assert.ErrorIs(t, <-r.ended, ErrStopTimeout)
	got := <-slow
	assert.Assert(t, got.err != nil || got.outcome == wire.OutcomeUnknown, "%+v", got)
}

// TestPlannedStopWaitsForMoves: the shard is released to its next owner
// although the grace period has passed meanwhile.
func TestPlannedStopWaitsForMoves(t *testing.T) {
	from := startHarness(t, backend.Config{}, shortGrace)
	to := startHarnessAs(t, other, backend.Config{}, shortGrace)
	from.ownShard(1, 1)
	from.applyShard(2, topology.Shard{Phase: topology.ShardWarming, Owner: self, Target: other, Epoch: 1},
		to.asBackend(topology.BackendActive))
	from.waitFor("move", func() bool { return from.agent.movingShards.Load() == 1 })
	from.stop()
	from.waitFor("new requests refused", func() bool { return from.send(route(1)).reason == wire.ReasonDraining })
	time.Sleep(2 * maxMoveGap)
	from.applyShard(3, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Target: other, Epoch: 1},
		to.asBackend(topology.BackendActive))
	from.waitFor("release", func() bool { return from.controller.releasedShard(shard) != nil })
	assert.Assert(t, from.controller.releasedShard(shard).RecordMoved)
	from.applyShard(4, topology.Shard{Phase: topology.ShardOwned, Owner: other, Epoch: 2}, to.asBackend(topology.BackendActive))
	assert.NilError(t, <-from.ended)
}

// TestStopUnderLoadLeavesNoOutcomeUnknown: callers reuse their connections, as
// routers do, and send requests until a response tells them to retry later.
func TestStopUnderLoadLeavesNoOutcomeUnknown(t *testing.T) {
	r := startHarness(t, backend.Config{Slots: 16}, shortGrace)
	r.ownShard(1, 1)
	r.agent.gate.SetSlots(16)
	first := testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: r.freshID()}
	assert.Equal(t, r.send(first).outcome, wire.OutcomeAnswered) // new ids are above the record's floor from here on
	var group sync.WaitGroup
	var answered atomic.Int64
	for range 16 {
		pool, err := upstream.New(upstream.Config{Address: r.agent.Address(), MaxConnections: 2})
		assert.NilError(t, err)
		t.Cleanup(pool.Close)
		group.Go(func() {
			for {
				sent := testRequest{method: http.MethodPost, path: "/closures/edit/k?work=1ms", epoch: 1, id: newID(time.Now())}
				got, err := roundTrip(pool, r.newRequest(sent))
				if !assert.Check(t, err) {
					return
				}
				if got.header.Get("Retry-After") != "" {
					assert.Check(t, got.outcome == wire.OutcomeNotRun)
					return
				}
				assert.Check(t, got.outcome == wire.OutcomeAnswered)
				answered.Add(1)
			}
		})
	}
	r.waitFor("load", func() bool { return answered.Load() > 200 })
	r.stop()
	group.Wait()
	assert.NilError(t, <-r.ended)
}

// roundTrip sends a request on a connection of the pool.
func roundTrip(pool *upstream.Pool, request *http.Request) (testResponse, error) {
	response, err := pool.Do(context.Background(), request)
	if err != nil {
		return testResponse{}, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return testResponse{outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)), header: response.Header}, err
}

// TestStopDoesNotWaitForUnusedConnections: a router keeps connections open that
// have not carried a request.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	r := startHarness(t, backend.Config{}, func(config *Config) {
		shortGrace(config)
		config.StopTimeout = 2 * time.Second // http.Server.Shutdown waits for 5 s
	})
	pool, err := upstream.New(upstream.Config{Address: r.agent.Address(), MinWarm: 3})
	assert.NilError(t, err)
	t.Cleanup(pool.Close)
	r.waitFor("warm connections", func() bool { return pool.Stats().Idle == 3 })
	r.stop()
	assert.NilError(t, <-r.ended)
}

// TestReconnectedAgentOfDrainingBackEndRefusesRequests: the agent was
// disconnected when the drain of its back end began, and learns of it when it
// reconnects.
func TestReconnectedAgentOfDrainingBackEndRefusesRequests(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	r.controller.unresponsive.Store(true)
	r.waitFor("lease over", func() bool { return !r.agent.holder.Valid(r.agent.now()) })
	r.applyShardAs(2, topology.BackendDraining, topology.Shard{Phase: topology.ShardOwned, Owner: r.self, Epoch: 1})
	r.controller.unresponsive.Store(false)
	r.waitFor("a lease", func() bool { return r.agent.holder.Valid(r.agent.now()) })
	got := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1})
	assert.Equal(t, got.outcome, wire.OutcomeNotRun)
	assert.Equal(t, got.reason, wire.ReasonDraining)
}

// TestPlannedStopRefusesRequestsThatMayOutlastIt: while shards move away,
// requests whose deadline is before the end of the stop are served. Later ones
// are refused with the outcome "not run".
func TestPlannedStopRefusesRequestsThatMayOutlastIt(t *testing.T) {
	r := startHarness(t, backend.Config{}, func(config *Config) {
		shortClockBound(config)
		config.LeavingGrace = time.Minute // must not limit the test
		config.StopTimeout = time.Minute
	})
	r.ownShard(1, 1)
	r.applyShard(2, topology.Shard{Phase: topology.ShardWarming, Owner: r.self, Target: other, Epoch: 1})
	r.waitFor("move", func() bool { return r.agent.movingShards.Load() == 1 })
	r.stop()
	r.waitFor("stop announced", func() bool { return r.agent.leaving.Load() })
	long, id := route(1), r.freshID()
	long.header = map[string]string{wire.HeaderDeadline: "3600000"}
	for _, sent := range []testRequest{long, {method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: id, header: long.header}} {
		got := r.send(sent)
		assert.Equal(t, got.outcome, wire.OutcomeNotRun)
		assert.Equal(t, got.reason, wire.ReasonDraining)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, r.countEntries(id, ledger.KindRun), 0)
	short := route(1)
	short.header = map[string]string{wire.HeaderDeadline: "20000"}
	assert.Equal(t, r.send(short).outcome, wire.OutcomeAnswered)
	r.applyShard(3, topology.Shard{Phase: topology.ShardOwned, Owner: other, Epoch: 2})
	assert.NilError(t, <-r.ended)
}

// TestTimedOutStopStillReleasesTheLease: a request runs longer than the stop
// may take. The lease is released before the process ends, so that the shards
// need not wait until it expires.
func TestTimedOutStopStillReleasesTheLease(t *testing.T) {
	const stopTimeout = 4 * time.Second
	r := startHarness(t, backend.Config{}, func(config *Config) {
		shortGrace(config)
		config.StopTimeout = stopTimeout
	})
	r.ownShard(1, 1)
	slow := r.sendAsync(testRequest{method: http.MethodGet, path: "/closures/route/k?work=30s", epoch: 1})
	r.waitFor("slot taken", func() bool { return r.agent.gate.Running() == 1 })
	signalled, signal := context.WithCancel(context.Background())
	signal()
	err := ops.RunUntilSignal(signalled, ops.Lifecycle{
		Run: func(context.Context) error {
			r.stop()
			return <-r.ended
		},
		StopTimeout: stopTimeout,
		Log:         slog.New(slog.DiscardHandler),
	})
	// The process ends here.
	assert.ErrorIs(t, err, ErrStopTimeout, "the agent's own error, which tells how many requests were cut off")
	assert.Assert(t, r.controller.hasReleased())
	<-slow
}
