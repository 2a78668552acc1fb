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

// shortGrace makes a leaving back end refuse new work soon.
func shortGrace(config *Config) {
	shortClockBound(config)
	config.LeavingGrace = 200 * time.Millisecond
}

// route is a look-up.
func route(epoch topology.Epoch) call {
	return call{method: http.MethodGet, path: "/closures/route/k", epoch: epoch}
}

// unbound sends a look-up that is not bound to a shard.
func (r *rig) unbound() reply {
	request := r.newRequest(route(1))
	request.Header.Del(wire.HeaderShard)
	request.Header.Del(wire.HeaderEpoch)
	return exchange(request)
}

func TestLeavingBackEndGetsNoNewWorkAfterTheGrace(t *testing.T) {
	assert.Equal(t, DefaultLeavingGrace, 3*time.Second)
	r := startRig(t, backend.Config{}, shortGrace)
	r.own(1, 1)
	assert.Equal(t, r.unbound().outcome, wire.OutcomeAnswered)
	slow := r.background(call{method: http.MethodGet, path: "/closures/route/k?work=600ms", epoch: 1})
	r.waitFor("slot taken", func() bool { return r.agent.gate.Running() == 1 })

	r.giveAs(2, topology.BackendDraining, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
	r.waitFor("unbound work refused", func() bool { return r.unbound().reason == wire.ReasonDraining })
	r.waitFor("all new work refused", func() bool { return r.do(route(1)).reason == wire.ReasonDraining })
	assert.Equal(t, (<-slow).outcome, wire.OutcomeAnswered, "what runs goes on")

	r.giveAs(3, topology.BackendActive, topology.Shard{Phase: topology.ShardOwned, Owner: self, Epoch: 1})
	r.waitFor("work after the drain was called off", func() bool { return r.do(route(1)).outcome == wire.OutcomeAnswered })
	assert.Equal(t, r.unbound().outcome, wire.OutcomeAnswered)
}

func TestPlannedStopCutsOffNothing(t *testing.T) {
	r := startRig(t, backend.Config{}, shortGrace)
	r.own(1, 1)
	id, pack := r.freshID(), r.freshID()
	slow := r.background(call{method: http.MethodPost, path: "/closures/edit/k?work=1s", epoch: 1, id: id})
	download := r.background(call{method: http.MethodGet, path: "/closures/pack/k?bytes=1000000&pace=1s", epoch: 1,
		header: map[string]string{wire.HeaderClass: classBulk, wire.HeaderRequestID: pack}})
	r.running(id)
	r.running(pack)
	r.stop()
	assert.Equal(t, (<-slow).outcome, wire.OutcomeAnswered)
	got := <-download
	assert.NilError(t, got.err)
	assert.NilError(t, answer.Check([]byte(got.body), pack, "k"))
	assert.NilError(t, <-r.ended)
	assert.Assert(t, r.leader.hasReleased(), "the shards need not wait for the lease to end")
	assert.Assert(t, r.leader.left, "the stop was announced")
}

func TestPlannedStopBeyondItsLimitSaysWhatItCutOff(t *testing.T) {
	r := startRig(t, backend.Config{}, func(config *Config) {
		shortGrace(config)
		config.StopTimeout = 700 * time.Millisecond
	})
	r.own(1, 1)
	id := r.freshID()
	slow := r.background(call{method: http.MethodPost, path: "/closures/edit/k?work=30s", epoch: 1, id: id})
	r.running(id)
	r.stop()
	assert.ErrorIs(t, <-r.ended, ErrStopTimeout)
	got := <-slow
	assert.Assert(t, got.err != nil || got.outcome == wire.OutcomeUnknown, "%+v", got)
}

// TestPlannedStopWaitsForMoves: the shard is handed over in order although the
// grace has passed meanwhile.
func TestPlannedStopWaitsForMoves(t *testing.T) {
	from := startRig(t, backend.Config{}, shortGrace)
	to := startRigAs(t, other, backend.Config{}, shortGrace)
	from.own(1, 1)
	from.give(2, topology.Shard{Phase: topology.ShardWarming, Owner: self, Target: other, Epoch: 1},
		to.asBackend(topology.BackendActive))
	from.waitFor("move", func() bool { return from.agent.moving.Load() == 1 })
	from.stop()
	from.waitFor("new work refused", func() bool { return from.do(route(1)).reason == wire.ReasonDraining })
	time.Sleep(2 * moveGap)
	from.give(3, topology.Shard{Phase: topology.ShardReleasing, Owner: self, Target: other, Epoch: 1},
		to.asBackend(topology.BackendActive))
	from.waitFor("release", func() bool { return from.leader.releasedShard(shard) != nil })
	assert.Assert(t, from.leader.releasedShard(shard).RecordMoved)
	from.give(4, topology.Shard{Phase: topology.ShardOwned, Owner: other, Epoch: 2}, to.asBackend(topology.BackendActive))
	assert.NilError(t, <-from.ended)
}

// TestStopUnderLoadLeavesNoOutcomeOpen: callers keep their connections, as
// routers do, and send on until they are told to stay away.
func TestStopUnderLoadLeavesNoOutcomeOpen(t *testing.T) {
	r := startRig(t, backend.Config{Slots: 16}, shortGrace)
	r.own(1, 1)
	r.agent.gate.SetSlots(16)
	first := call{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: r.freshID()}
	assert.Equal(t, r.do(first).outcome, wire.OutcomeAnswered) // the floor has passed
	var group sync.WaitGroup
	var answered atomic.Int64
	for range 16 {
		pool, err := upstream.New(upstream.Config{Address: r.agent.Address(), MaxConnections: 2})
		assert.NilError(t, err)
		t.Cleanup(pool.Close)
		group.Go(func() {
			for {
				sent := call{method: http.MethodPost, path: "/closures/edit/k?work=1ms", epoch: 1, id: newID(time.Now())}
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

// roundTrip sends on a connection that the pool keeps.
func roundTrip(pool *upstream.Pool, request *http.Request) (reply, error) {
	response, err := pool.Do(context.Background(), request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return reply{outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)), header: response.Header}, err
}

// TestStopDoesNotWaitForUnusedConnections: a router keeps some warm that have
// carried no request.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	r := startRig(t, backend.Config{}, func(config *Config) {
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

// TestAgentThatReturnsToADrainTakesNothing: the agent was cut off when its back
// end's drain began, and hears of it when it returns.
func TestAgentThatReturnsToADrainTakesNothing(t *testing.T) {
	r := startRig(t, backend.Config{}, shortClockBound)
	r.own(1, 1)
	r.leader.refuses.Store(true)
	r.waitFor("lease over", func() bool { return !r.agent.holder.Valid(r.agent.now()) })
	r.giveAs(2, topology.BackendDraining, topology.Shard{Phase: topology.ShardOwned, Owner: r.self, Epoch: 1})
	r.leader.refuses.Store(false)
	r.waitFor("a lease", func() bool { return r.agent.holder.Valid(r.agent.now()) })
	got := r.do(call{method: http.MethodGet, path: "/closures/route/k", epoch: 1})
	assert.Equal(t, got.outcome, wire.OutcomeNotRun)
	assert.Equal(t, got.reason, wire.ReasonDraining)
}

// TestPlannedStopTakesNothingThatMayOutlastIt: while shards move away, what ends
// before the stop does is served on, and what may not is refused with proof.
func TestPlannedStopTakesNothingThatMayOutlastIt(t *testing.T) {
	r := startRig(t, backend.Config{}, func(config *Config) {
		shortClockBound(config)
		config.LeavingGrace = time.Minute // no limit of its own during the test
		config.StopTimeout = time.Minute
	})
	r.own(1, 1)
	r.give(2, topology.Shard{Phase: topology.ShardWarming, Owner: r.self, Target: other, Epoch: 1})
	r.waitFor("move", func() bool { return r.agent.moving.Load() == 1 })
	r.stop()
	r.waitFor("stop announced", func() bool { return r.agent.leaving.Load() })
	long, id := route(1), r.freshID()
	long.header = map[string]string{wire.HeaderDeadline: "3600000"}
	for _, sent := range []call{long, {method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: id, header: long.header}} {
		got := r.do(sent)
		assert.Equal(t, got.outcome, wire.OutcomeNotRun)
		assert.Equal(t, got.reason, wire.ReasonDraining)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	assert.Equal(t, r.count(id, ledger.KindRun), 0)
	short := route(1)
	short.header = map[string]string{wire.HeaderDeadline: "20000"}
	assert.Equal(t, r.do(short).outcome, wire.OutcomeAnswered)
	r.give(3, topology.Shard{Phase: topology.ShardOwned, Owner: other, Epoch: 2})
	assert.NilError(t, <-r.ended)
}

// TestStopThatCutsOffStillReleasesTheLease: a request runs until the process's
// time is over. The lease is given up before, so that the shards need not wait
// until it has run out.
func TestStopThatCutsOffStillReleasesTheLease(t *testing.T) {
	const stopTimeout = 4 * time.Second
	r := startRig(t, backend.Config{}, func(config *Config) {
		shortGrace(config)
		config.StopTimeout = stopTimeout
	})
	r.own(1, 1)
	slow := r.background(call{method: http.MethodGet, path: "/closures/route/k?work=30s", epoch: 1})
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
	assert.ErrorIs(t, err, ErrStopTimeout, "the agent's own, which says what was cut off")
	assert.Assert(t, r.leader.hasReleased())
	<-slow
}
