package controller_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controller"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// fadingReplica is a replicated log whose leader lease can end, as that of a
// leader that was frozen or cut off and has not noticed.
type fadingReplica struct {
	*soloReplica
	faded atomic.Bool
}

func (r *fadingReplica) Status() consensus.Status {
	status := r.soloReplica.Status()
	if r.faded.Load() {
		status.LeaseUntil = 0
	}
	return status
}

func (r *fadingReplica) ReadBarrier(ctx context.Context) error {
	if r.faded.Load() {
		return controller.ErrNotLeader
	}
	return r.soloReplica.ReadBarrier(ctx)
}

// startFading returns a controller and the switch that ends its lease.
func startFading(t *testing.T) (*fixture, *fadingReplica) {
	t.Helper()
	var replica *fadingReplica
	f := startWith(t, func(machine controller.Machine) (controller.Replicator, error) {
		replica = &fadingReplica{}
		solo, err := newSolo(fading{machine, replica})
		replica.soloReplica = solo.(*soloReplica)
		return replica, err
	})
	return f, replica
}

// fading hands on the status of the fading replica.
type fading struct {
	controller.Machine
	replica *fadingReplica
}

func (m fading) Tick(now time.Duration, status consensus.Status) {
	if m.replica.faded.Load() {
		status.LeaseUntil = 0
	}
	m.Machine.Tick(now, status)
}

func TestLeaderWithoutItsLeaseActsOnNothing(t *testing.T) {
	f, replica := startFading(t)
	f.createService("wayfinder", 4)
	for number := 1; number <= 2; number++ {
		f.createBackend("wayfinder", number)
	}
	owner, other := f.startAgent(1), f.startAgent(2)
	f.waitOwned(map[string]uint32{"backend-1": 2, "backend-2": 2})

	replica.faded.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if owner.holder.ValidUntil() > 0 && leaseEnded(owner) && leaseEnded(other) {
			return poll.Success()
		}
		return poll.Continue("a lease is still renewed")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	applied := replica.applied()
	time.Sleep(3 * 5 * time.Millisecond) // three ticks, each of which might recover the shards
	assert.Equal(t, replica.applied(), applied, "it takes no shard from the owners whose leases it let end")

	_, err := f.admin.DeleteService(t.Context(), connect.NewRequest(&quartzdockv1.DeleteServiceRequest{
		Mutation: f.mutation(), Name: "wayfinder",
	}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	read, err := f.admin.GetRevision(t.Context(), connect.NewRequest(&quartzdockv1.GetRevisionRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, !read.Msg.Age.Linearizable)

	replica.faded.Store(false)
	f.waitOwned(map[string]uint32{"backend-1": 2, "backend-2": 2})
	read, err = f.admin.GetRevision(t.Context(), connect.NewRequest(&quartzdockv1.GetRevisionRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, read.Msg.Age.Linearizable)
}

func leaseEnded(a *agent) bool { return !a.holder.Valid(a.now()) }

// TestControllerWithoutContactServesNoRouterThatComesBack: the router may have
// had newer routing data in force before its restart.
func TestControllerWithoutContactServesNoRouterThatComesBack(t *testing.T) {
	f, replica := startFading(t)
	f.createService("wayfinder", 4)
	replica.faded.Store(true)
	router := f.startRouter("router-1", f.addr.Sessions)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if router.Statistics().FailedAttempts == 0 {
			return poll.Continue("no attempt has failed yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.Assert(t, router.Table() == nil)
	replica.faded.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table := router.Table(); table == nil || table.Revision() < topology.Revision(f.revision) {
			return poll.Continue("no table yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}
