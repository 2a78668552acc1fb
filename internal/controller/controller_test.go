package controller_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/controller"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// fixture is a controller on loopback with an admin RPC client.
type fixture struct {
	t        *testing.T
	addr     controller.Addresses
	admin    quartzdockv1connect.AdminServiceClient
	revision uint64
	requests int
	// controllers are the session addresses for agents.
	controllers []string
}

func start(t *testing.T) *fixture {
	t.Helper()
	return startWith(t, newSingleReplica)
}

func startWith(t *testing.T, replicate func(controller.StateMachine) (controller.Replicator, error)) *fixture {
	t.Helper()
	running, err := controller.Start(controller.Config{
		Group:         1,
		SessionListen: "127.0.0.1:0",
		RPCListen:     "127.0.0.1:0",
		Replicate:     replicate,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, running.Stop()) })
	f := &fixture{t: t, addr: running.Addresses(), controllers: []string{running.Addresses().Sessions}}
	f.admin = quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+f.addr.RPC)
	return f
}

// mutation returns the metadata of a change that expects the last known
// revision.
func (f *fixture) mutation() *quartzdockv1.Mutation {
	f.requests++
	return &quartzdockv1.Mutation{
		RequestId:        fmt.Sprint("request-", f.requests),
		ExpectedRevision: f.revision,
		Author:           "anna",
	}
}

func (f *fixture) createService(name string, shards uint32) {
	f.t.Helper()
	response, err := f.admin.CreateService(f.t.Context(), connect.NewRequest(&quartzdockv1.CreateServiceRequest{
		Mutation: f.mutation(),
		Service:  &quartzdockv1.Service{Name: name, InitialShards: shards},
	}))
	assert.NilError(f.t, err)
	f.revision = response.Msg.Result.Revision
}

func (f *fixture) updateService(name string, shards uint32) {
	f.t.Helper()
	response, err := f.admin.UpdateService(f.t.Context(), connect.NewRequest(&quartzdockv1.UpdateServiceRequest{
		Mutation: f.mutation(),
		Service:  &quartzdockv1.Service{Name: name, InitialShards: shards, DrainLimit: durationOf(time.Second)},
	}))
	assert.NilError(f.t, err)
	f.revision = response.Msg.Result.Revision
}

func (f *fixture) createBackend(service string, number int) {
	f.t.Helper()
	response, err := f.admin.CreateBackend(f.t.Context(), connect.NewRequest(&quartzdockv1.CreateBackendRequest{
		Mutation: f.mutation(),
		Backend: &quartzdockv1.Backend{
			Service: service, Name: backendName(number), AgentAddress: agentAddress(number),
			Location: &quartzdockv1.Location{Region: "se-west", Zone: "hall-1"},
			Slots:    20, Connections: 100,
		},
	}))
	assert.NilError(f.t, err)
	f.revision = response.Msg.Result.Revision
}

func backendName(number int) string  { return fmt.Sprint("backend-", number) }
func agentAddress(number int) string { return fmt.Sprintf("127.0.1.%d:7201", number) }

// agent is a fake agent that reports shards as warmed and released at once.
type agent struct {
	client *subscription.Client
	holder *ownership.Holder
	// started is the origin of the clock for the lease.
	started time.Time
	// table is the newest table in force, guarded by mutex.
	mutex sync.Mutex
	table *routing.Table
}

func (f *fixture) startAgent(number int) *agent {
	f.t.Helper()
	a := &agent{holder: ownership.NewHolder(ownership.DefaultClockDrift), started: time.Now()}
	ready := make(chan struct{})
	client, err := subscription.Start(subscription.Config{
		Group: 1, Role: topology.RoleAgent, Name: backendName(number), Address: agentAddress(number),
		Controllers: f.controllers, Lease: a.holder, Now: a.now,
		OnTable: func(table *routing.Table) {
			<-ready
			a.applyTable(table)
		},
	})
	assert.NilError(f.t, err)
	a.client = client
	close(ready)
	f.t.Cleanup(client.Stop)
	return a
}

func (f *fixture) startRouter(name, controller string) *subscription.Client {
	f.t.Helper()
	router, err := subscription.Start(subscription.Config{
		Group: 1, Role: topology.RoleRouter, Name: name, Address: "127.0.0.1:8080",
		Controllers: []string{controller},
	})
	assert.NilError(f.t, err)
	f.t.Cleanup(router.Stop)
	return router
}

func (a *agent) now() time.Duration { return time.Since(a.started) }

func (a *agent) applyTable(table *routing.Table) {
	a.mutex.Lock()
	a.table = table
	a.mutex.Unlock()
	self := a.client.Backend()
	var shards []topology.Shard
	for service := range table.Services() {
		for shard := range service.Shards() {
			shards = append(shards, *shard)
		}
	}
	a.holder.SetShards(slices.Values(shards), self)
	for _, shard := range shards {
		switch {
		case shard.Phase == topology.ShardWarming && shard.Target == self:
			_ = a.client.Send(wire.ToController{Warmed: &wire.Warmed{Shard: shard.ID, Epoch: shard.Epoch}})
		case shard.Phase == topology.ShardReleasing && shard.Owner == self:
			_ = a.client.Send(wire.ToController{Released: &wire.Released{Shard: shard.ID, Epoch: shard.Epoch}})
		}
	}
}

// owned returns the number of shards of each back end.
func (f *fixture) owned() map[string]uint32 {
	response, err := f.admin.ListBackends(f.t.Context(), connect.NewRequest(&quartzdockv1.ListBackendsRequest{}))
	assert.NilError(f.t, err)
	owned := make(map[string]uint32)
	for _, backend := range response.Msg.Backends {
		owned[backend.Name] = backend.OwnedShards
	}
	return owned
}

func (f *fixture) waitOwned(want map[string]uint32) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		owned := f.owned()
		for name, count := range want {
			if owned[name] != count {
				return poll.Continue("owned: %v", owned)
			}
		}
		return poll.Success()
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
}

func TestShardsAreBalancedDrainedAndRecovered(t *testing.T) {
	f := start(t)
	f.createService("wayfinder", 12)
	agents := make(map[int]*agent)
	for number := 1; number <= 3; number++ {
		f.createBackend("wayfinder", number)
		agents[number] = f.startAgent(number)
	}
	f.waitOwned(map[string]uint32{"backend-1": 4, "backend-2": 4, "backend-3": 4})

	response, err := f.admin.DrainBackend(t.Context(), connect.NewRequest(&quartzdockv1.DrainBackendRequest{
		Mutation: f.mutation(), Service: "wayfinder", Name: "backend-1",
	}))
	assert.NilError(t, err)
	f.revision = response.Msg.Result.Revision
	f.waitOwned(map[string]uint32{"backend-1": 0, "backend-2": 6, "backend-3": 6})

	agents[2].client.Stop()
	f.waitOwned(map[string]uint32{"backend-2": 0, "backend-3": 12})
}

func TestConcurrentOperatorConflictsAndResendIsIdempotent(t *testing.T) {
	f := start(t)
	ctx := t.Context()
	request := func(id, author, name string) *connect.Request[quartzdockv1.CreateServiceRequest] {
		return connect.NewRequest(&quartzdockv1.CreateServiceRequest{
			Mutation: &quartzdockv1.Mutation{RequestId: id, Author: author},
			Service:  &quartzdockv1.Service{Name: name, InitialShards: 4},
		})
	}
	first, err := f.admin.CreateService(ctx, request("a", "anna", "closures"))
	assert.NilError(t, err)

	_, err = f.admin.CreateService(ctx, request("b", "bo", "tilehouse"))
	var conflict quartzdockv1.RevisionConflict
	assertDetail(t, err, connect.CodeAborted, &conflict)
	assert.Equal(t, conflict.WinningAuthor, "anna")
	assert.Equal(t, conflict.WinningRevision, first.Msg.Result.Revision)

	again, err := f.admin.CreateService(ctx, request("a", "anna", "closures"))
	assert.NilError(t, err)
	assert.Assert(t, again.Msg.Result.Repeated)
	assert.Equal(t, again.Msg.Result.Revision, first.Msg.Result.Revision)

	_, err = f.admin.CreateService(ctx, request("a", "anna", "other"))
	var reused quartzdockv1.RequestIDReused
	assertDetail(t, err, connect.CodeAlreadyExists, &reused)
}

func TestAllFieldViolationsInOneResponse(t *testing.T) {
	f := start(t)
	_, err := f.admin.CreateBackend(t.Context(), connect.NewRequest(&quartzdockv1.CreateBackendRequest{
		Mutation: f.mutation(),
		Backend:  &quartzdockv1.Backend{Service: "none", Name: "A", AgentAddress: "here"},
	}))
	var found quartzdockv1.FieldViolations
	assertDetail(t, err, connect.CodeInvalidArgument, &found)
	assert.Equal(t, len(found.Violations), 7)
}

// assertDetail checks an error's code and copies its typed detail to into.
func assertDetail[T any, M interface {
	*T
	protoMessage
}](t *testing.T, err error, code connect.Code, into M) {
	t.Helper()
	var refused *connect.Error
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Code(), code)
	for _, detail := range refused.Details() {
		if value, err := detail.Value(); err == nil {
			if found, ok := value.(M); ok {
				protoCopy(into, found)
				return
			}
		}
	}
	t.Fatalf("no detail of the expected type in %v", err)
}

func TestChangeIsInForceOnceAllSubscribersConfirm(t *testing.T) {
	f := start(t)
	f.createService("wayfinder", 4)
	router := f.startRouter("router-1", f.addr.Sessions)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if router.Table() == nil {
			return poll.Continue("no table")
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))

	mutation := f.mutation()
	mutation.WaitInForce = durationOf(5 * time.Second)
	response, err := f.admin.UpdateService(context.Background(), connect.NewRequest(&quartzdockv1.UpdateServiceRequest{
		Mutation: mutation,
		Service:  &quartzdockv1.Service{Name: "wayfinder", InitialShards: 4, DrainLimit: durationOf(time.Second)},
	}))
	assert.NilError(t, err)
	assert.Assert(t, response.Msg.Result.InForce.Everywhere, "%v", response.Msg.Result.InForce)
	assert.Equal(t, uint64(router.Table().Revision()), response.Msg.Result.Revision)
}

// laggingSubscribers returns the names of the lagging routers and agents.
// Controllers are left out, because one that has just started is also listed as
// lagging: it does not know which subscribers it served before.
func laggingSubscribers(inForce *quartzdockv1.InForce) []string {
	var names []string
	for _, entry := range inForce.Lagging {
		if entry.Role != "controller" {
			names = append(names, entry.Name)
		}
	}
	return names
}

// TestUnresponsiveSubscriberLagsUntilItsDataExpires checks that a router that
// confirms nothing is listed as lagging, and that the wait for it ends once it
// may no longer use older routing data.
func TestUnresponsiveSubscriberLagsUntilItsDataExpires(t *testing.T) {
	f := start(t)
	silent, err := transport.Dial(t.Context(), f.addr.Sessions, transport.Options{})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	hello := &wire.Hello{Group: 1, Role: topology.RoleRouter, Name: "silent", Address: "127.0.0.9:8080"}
	assert.NilError(t, silent.Send(wire.ToController{Hello: hello}))
	var welcome wire.FromController
	assert.NilError(t, silent.Receive(&welcome))
	f.createService("wayfinder", 4)

	wait := func(timeout time.Duration) *quartzdockv1.InForce {
		response, err := f.admin.WaitInForce(t.Context(), connect.NewRequest(&quartzdockv1.WaitInForceRequest{
			Revision: f.revision, Timeout: durationOf(timeout),
		}))
		assert.NilError(t, err)
		return response.Msg.InForce
	}
	early := wait(0)
	assert.Assert(t, !early.Everywhere)
	assert.DeepEqual(t, laggingSubscribers(early), []string{"silent"})
	assert.Assert(t, wait(20*time.Second).Everywhere)
}
