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

// expiringLeaseReplica is a replicated log whose leader lease can be made to
// expire, as for a leader that was paused or partitioned and has not noticed.
type expiringLeaseReplica struct {
	*singleReplica
	leaseExpired atomic.Bool
}

func (r *expiringLeaseReplica) Status() consensus.Status {
	status := r.singleReplica.Status()
	if r.leaseExpired.Load() {
		status.LeaseUntil = 0
	}
	return status
}

func (r *expiringLeaseReplica) ReadBarrier(ctx context.Context) error {
	if r.leaseExpired.Load() {
		return controller.ErrNotLeader
	}
	return r.singleReplica.ReadBarrier(ctx)
}

// startWithExpiringLease returns a controller and the replica whose lease the
// test can expire.
func startWithExpiringLease(t *testing.T) (*fixture, *expiringLeaseReplica) {
	t.Helper()
	var replica *expiringLeaseReplica
	f := startWith(t, func(machine controller.StateMachine) (controller.Replicator, error) {
		replica = &expiringLeaseReplica{}
		single, err := newSingleReplica(expiringLeaseMachine{machine, replica})
		replica.singleReplica = single.(*singleReplica)
		return replica, err
	})
	return f, replica
}

// expiringLeaseMachine passes the replica's lease state to Tick.
type expiringLeaseMachine struct {
	controller.StateMachine
	replica *expiringLeaseReplica
}

func (m expiringLeaseMachine) Tick(now time.Duration, status consensus.Status) {
	if m.replica.leaseExpired.Load() {
		status.LeaseUntil = 0
	}
	m.StateMachine.Tick(now, status)
}

func TestLeaderWithExpiredLeaseRejectsChangesAndMovesNoShard(t *testing.T) {
	f, replica := startWithExpiringLease(t)
	f.createService("wayfinder", 4)
	for number := 1; number <= 2; number++ {
		f.createBackend("wayfinder", number)
	}
	owner, other := f.startAgent(1), f.startAgent(2)
	f.waitOwned(map[string]uint32{"backend-1": 2, "backend-2": 2})

	replica.leaseExpired.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if owner.holder.ValidUntil() > 0 && leaseEnded(owner) && leaseEnded(other) {
			return poll.Success()
		}
		return poll.Continue("a lease is still renewed")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	applied := replica.appliedIndex()
	time.Sleep(3 * 5 * time.Millisecond) // three ticks, each of which might recover the shards
	assert.Equal(t, replica.appliedIndex(), applied, "no shard may be taken from the owners whose leases expired")

	_, err := f.admin.DeleteService(t.Context(), connect.NewRequest(&quartzdockv1.DeleteServiceRequest{
		Mutation: f.mutation(), Name: "wayfinder",
	}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	read, err := f.admin.GetRevision(t.Context(), connect.NewRequest(&quartzdockv1.GetRevisionRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, !read.Msg.Age.Linearizable)

	replica.leaseExpired.Store(false)
	f.waitOwned(map[string]uint32{"backend-1": 2, "backend-2": 2})
	read, err = f.admin.GetRevision(t.Context(), connect.NewRequest(&quartzdockv1.GetRevisionRequest{}))
	assert.NilError(t, err)
	assert.Assert(t, read.Msg.Age.Linearizable)
}

func leaseEnded(a *agent) bool { return !a.holder.Valid(a.now()) }

// TestControllerWithoutLeaderContactRefusesRestartedRouter: the router may have
// had newer routing data in force before its restart than this controller
// knows.
func TestControllerWithoutLeaderContactRefusesRestartedRouter(t *testing.T) {
	f, replica := startWithExpiringLease(t)
	f.createService("wayfinder", 4)
	replica.leaseExpired.Store(true)
	router := f.startRouter("router-1", f.addr.Sessions)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if router.Statistics().FailedAttempts == 0 {
			return poll.Continue("no attempt has failed yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
	assert.Assert(t, router.Table() == nil)
	replica.leaseExpired.Store(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table := router.Table(); table == nil || table.Revision() < topology.Revision(f.revision) {
			return poll.Continue("no table yet")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}
