package controller_test

import (
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
	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// group is a group of three controllers on loopback, each with a data folder.
type group struct {
	t       *testing.T
	peers   []replica.Peer
	dirs    []string
	members []*controller.Controller
	addrs   []controller.Addresses
	// joinedPeerAddress is the peer address of the controller that
	// startJoiningMember started.
	joinedPeerAddress string
}

func startGroup(t *testing.T) *group {
	t.Helper()
	g := &group{t: t}
	listeners := make([]*transport.Listener, 3)
	for index := range 3 {
		listener, err := transport.Listen("127.0.0.1:0", transport.Options{})
		assert.NilError(t, err)
		listeners[index] = listener
		g.peers = append(g.peers, replica.Peer{ID: topology.ReplicaID(index + 1), Address: listener.Address()})
		g.dirs = append(g.dirs, t.TempDir())
	}
	for index := range 3 {
		member := g.startMember(index, listeners[index])
		g.members = append(g.members, member)
		g.addrs = append(g.addrs, member.Addresses())
	}
	t.Cleanup(func() {
		for _, member := range g.members {
			if member != nil {
				assert.Check(t, member.Stop())
			}
		}
	})
	return g
}

// snapshotEntries is small, so that the tests' changes cause several snapshots.
const snapshotEntries = 10

// startMember starts a member for the first time, or restarts it at its
// previous addresses.
func (g *group) startMember(index int, listener *transport.Listener) *controller.Controller {
	g.t.Helper()
	addresses := controller.Addresses{Sessions: "127.0.0.1:0", RPC: "127.0.0.1:0"}
	if index < len(g.addrs) {
		addresses = g.addrs[index]
	}
	member, err := controller.Start(controller.Config{
		Group:         1,
		SessionListen: addresses.Sessions,
		RPCListen:     addresses.RPC,
		Replicate: controller.ReplicateOn(replica.Config{
			Group: 1, ID: g.peers[index].ID, DataDir: g.dirs[index], Peers: g.peers,
			Listen: g.peers[index].Address, Listener: listener,
			SnapshotEntries: snapshotEntries, RetainEntries: snapshotEntries,
		}),
	})
	assert.NilError(g.t, err)
	return member
}

// stop stops one member.
func (g *group) stop(index int) {
	g.t.Helper()
	assert.Check(g.t, g.members[index].Stop())
	g.members[index] = nil
}

func (g *group) sessionAddresses() []string {
	var addresses []string
	for _, address := range g.addrs {
		addresses = append(addresses, address.Sessions)
	}
	return addresses
}

// waitForLeader waits for a running member that serves as leader and returns
// its index and an admin RPC client for it.
func (g *group) waitForLeader() (int, quartzdockv1connect.AdminServiceClient) {
	g.t.Helper()
	found := -1
	var client quartzdockv1connect.AdminServiceClient
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for index, member := range g.members {
			if member == nil {
				continue
			}
			candidate := quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+g.addrs[index].RPC)
			_, err := candidate.WaitInForce(g.t.Context(), connect.NewRequest(&quartzdockv1.WaitInForceRequest{}))
			if err == nil {
				found, client = index, candidate
				return poll.Success()
			}
		}
		return poll.Continue("no leader")
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
	return found, client
}

func TestChangesAndOwnershipSurviveLeaderFailover(t *testing.T) {
	g := startGroup(t)
	index, admin := g.waitForLeader()
	f := &fixture{t: t, addr: g.addrs[index], admin: admin, controllers: g.sessionAddresses()}
	f.createService("wayfinder", 8)
	for number := 1; number <= 2; number++ {
		f.createBackend("wayfinder", number)
		f.startAgent(number)
	}
	f.waitOwned(map[string]uint32{"backend-1": 4, "backend-2": 4})
	resend := &quartzdockv1.UpdateServiceRequest{
		Mutation: f.mutation(),
		Service:  &quartzdockv1.Service{Name: "wayfinder", InitialShards: 8, DrainLimit: durationOf(time.Second)},
	}
	first, err := f.admin.UpdateService(t.Context(), connect.NewRequest(resend))
	assert.NilError(t, err)

	g.stop(index)
	_, f.admin = g.waitForLeader()
	again, err := f.admin.UpdateService(t.Context(), connect.NewRequest(resend))
	assert.NilError(t, err)
	assert.Assert(t, again.Msg.Result.Repeated)
	assert.Equal(t, again.Msg.Result.Revision, first.Msg.Result.Revision)
	f.revision = again.Msg.Result.Revision

	response, err := f.admin.DrainBackend(t.Context(), connect.NewRequest(&quartzdockv1.DrainBackendRequest{
		Mutation: f.mutation(), Service: "wayfinder", Name: "backend-1",
	}))
	assert.NilError(t, err)
	f.revision = response.Msg.Result.Revision
	f.waitOwned(map[string]uint32{"backend-1": 0, "backend-2": 8})
}

func TestFollowersServeRoutersAndReturnLeaderAddress(t *testing.T) {
	g := startGroup(t)
	index, admin := g.waitForLeader()
	f := &fixture{t: t, addr: g.addrs[index], admin: admin}
	f.createService("closures", 4)
	for other := range g.members {
		router := f.startRouter(fmt.Sprint("router-", other), g.addrs[other].Sessions)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if table := router.Table(); table == nil || uint64(table.Revision()) < f.revision {
				return poll.Continue("router %d has no table yet", other)
			}
			return poll.Success()
		}, poll.WithDelay(time.Millisecond))
	}
	mutation := f.mutation()
	mutation.WaitInForce = durationOf(20 * time.Second)
	response, err := f.admin.UpdateService(t.Context(), connect.NewRequest(&quartzdockv1.UpdateServiceRequest{
		Mutation: mutation,
		Service:  &quartzdockv1.Service{Name: "closures", InitialShards: 4, DrainLimit: durationOf(time.Second)},
	}))
	assert.NilError(t, err)
	assert.Assert(t, response.Msg.Result.InForce.Everywhere, "%v", response.Msg.Result.InForce)

	follower := (index + 1) % len(g.members)
	client := quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+g.addrs[follower].RPC)
	_, err = client.DeleteService(t.Context(), connect.NewRequest(&quartzdockv1.DeleteServiceRequest{
		Mutation: f.mutation(), Name: "closures",
	}))
	var notLeader quartzdockv1.NotLeader
	assertDetail(t, err, connect.CodeUnavailable, &notLeader)
	assert.Equal(t, notLeader.LeaderRpcAddress, g.addrs[index].RPC)
}

// TestStateSurvivesRestartOfAllControllers restarts the whole group after more
// changes than one snapshot covers. The first request must still be recognized
// as a repeat, and the revision must not go back for a router that stays
// connected over the restart nor for one that starts after it.
func TestStateSurvivesRestartOfAllControllers(t *testing.T) {
	g := startGroup(t)
	index, admin := g.waitForLeader()
	f := &fixture{t: t, addr: g.addrs[index], admin: admin}
	f.createService("closures", 4)
	first := f.revision
	var mutex sync.Mutex
	var seen []topology.Revision
	router, err := subscription.Start(subscription.Config{
		Group: 1, Role: topology.RoleRouter, Name: "router", Address: "127.0.0.1:8080", Controllers: g.sessionAddresses(),
		OnTable: func(table *routing.Table) {
			mutex.Lock()
			defer mutex.Unlock()
			seen = append(seen, table.Revision())
		},
	})
	assert.NilError(t, err)
	t.Cleanup(router.Stop)
	for range 3 * snapshotEntries {
		f.updateService("closures", 4)
	}
	last := f.revision
	waitRevision(t, router, last)

	for index := range g.members {
		g.stop(index)
	}
	for index := range g.members {
		g.members[index] = g.startMember(index, nil)
	}
	_, f.admin = g.waitForLeader()
	again, err := f.admin.CreateService(t.Context(), connect.NewRequest(&quartzdockv1.CreateServiceRequest{
		Mutation: &quartzdockv1.Mutation{RequestId: "request-1", Author: "anna"},
		Service:  &quartzdockv1.Service{Name: "closures", InitialShards: 4},
	}))
	assert.NilError(t, err)
	assert.Assert(t, again.Msg.Result.Repeated)
	assert.Equal(t, again.Msg.Result.Revision, first)
	_, err = f.admin.CreateService(t.Context(), connect.NewRequest(&quartzdockv1.CreateServiceRequest{
		Mutation: &quartzdockv1.Mutation{RequestId: "request-1", Author: "anna"},
		Service:  &quartzdockv1.Service{Name: "other", InitialShards: 4},
	}))
	var reused quartzdockv1.RequestIDReused
	assertDetail(t, err, connect.CodeAlreadyExists, &reused)
	assert.Equal(t, reused.FirstRevision, first)

	f.updateService("closures", 4)
	waitRevision(t, router, f.revision)
	for _, address := range g.sessionAddresses() {
		fresh := f.startRouter("fresh", address)
		waitRevision(t, fresh, f.revision)
	}
	mutex.Lock()
	defer mutex.Unlock()
	assert.Assert(t, slices.IsSorted(seen), "%v", seen)
}

func waitRevision(t *testing.T, router *subscription.Client, revision uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if table := router.Table(); table == nil || uint64(table.Revision()) < revision {
			return poll.Continue("not at revision %d", revision)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(20*time.Second))
}

// TestSubscriberThatMissedHundredsOfChangesGetsOneMessage connects with a Hello
// whose revision is 300 changes old.
func TestSubscriberThatMissedHundredsOfChangesGetsOneMessage(t *testing.T) {
	f := start(t)
	f.createService("closures", 1000)
	old := f.revision
	for range 300 {
		f.updateService("closures", 1000)
	}
	missed := f.firstRoutingMessage(old)
	assert.Assert(t, missed.Delta != nil, "a delta is smaller than 1,000 shards")
	assert.Equal(t, uint64(missed.Delta.From), old)
	assert.Equal(t, uint64(missed.Delta.To), f.revision)
	assert.Equal(t, len(missed.Delta.Services), 1)
	assert.Assert(t, f.firstRoutingMessage(0).Snapshot != nil)
}

// firstRoutingMessage returns the first routing message that a router at
// revision applied receives.
func (f *fixture) firstRoutingMessage(applied uint64) wire.FromController {
	f.t.Helper()
	conn, err := transport.Dial(f.t.Context(), f.addr.Sessions, transport.Options{})
	assert.NilError(f.t, err)
	defer conn.Close()
	assert.NilError(f.t, conn.Send(wire.ToController{Hello: &wire.Hello{
		Group: 1, Role: topology.RoleRouter, Name: "raw", Applied: topology.Revision(applied),
	}}))
	for {
		var message wire.FromController
		assert.NilError(f.t, conn.Receive(&message))
		if message.Delta != nil || message.Snapshot != nil {
			return message
		}
	}
}
