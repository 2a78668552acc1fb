package controlstate_test

import (
	"bytes"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// TestRandomCommandsPreserveInvariants applies random operator and leader
// commands, valid and invalid, new and resent, to two replicas. One replica is
// restored from its own snapshot at random points. Both must return the same
// results and encode to the same bytes. The invariants are checked after each
// command.
func TestRandomCommandsPreserveInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		shards := uint32(rapid.IntRange(1, 4).Draw(r, "first shards"))
		replica, restored := newPopulatedLog(shards), newPopulatedLog(shards)
		checker := newInvariantChecker()
		var sent []controlstate.Command
		for number := range rapid.IntRange(1, 80).Draw(r, "commands") {
			command := drawCommand(r, replica.state, number)
			if len(sent) > 0 && rapid.IntRange(0, 7).Draw(r, "resend") == 0 {
				command = rapid.SampledFrom(sent).Draw(r, "sent before")
			}
			sent = append(sent, command)
			result, delta := replica.apply(command)
			restoredResult, restoredDelta := restored.apply(command)
			assert.DeepEqual(r, result, restoredResult)
			assert.DeepEqual(r, delta, restoredDelta)
			checker.check(r, replica.state)
			if rapid.IntRange(0, 9).Draw(r, "restore") == 0 {
				restoreFromSnapshot(r, restored)
			}
		}
		first, err := replica.state.Encode()
		assert.NilError(r, err)
		second, err := restored.state.Encode()
		assert.NilError(r, err)
		assert.Assert(r, bytes.Equal(first, second), "the restored replica encodes to different bytes")
	})
}

func restoreFromSnapshot(r *rapid.T, l *log) {
	data, err := l.state.Encode()
	assert.NilError(r, err)
	l.state = controlstate.New(1)
	assert.NilError(r, l.state.Decode(data))
}

// There are few names, so that commands often refer to existing objects.
var (
	serviceNames = []string{"wayfinder", "closures", "Bad Name"}
	backendNames = []string{"backend-1", "backend-2", "backend-3"}
)

func drawCommand(r *rapid.T, state *controlstate.State, number int) controlstate.Command {
	if rapid.IntRange(0, 3).Draw(r, "by the leader") > 0 {
		return drawLeaderCommand(r, state)
	}
	configured, _ := state.Configuration()
	command := controlstate.Command{
		UnixMilli:        int64(number),
		RequestID:        fmt.Sprint("r", rapid.IntRange(0, number).Draw(r, "request id")),
		Author:           rapid.SampledFrom([]string{"anna", "bo", ""}).Draw(r, "author"),
		ExpectedRevision: configured + topology.Revision(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(r, "ahead")),
	}
	fillOperatorCommand(r, &command)
	if err := command.SetDigest(); err != nil {
		r.Fatal(err)
	}
	return command
}

func fillOperatorCommand(r *rapid.T, command *controlstate.Command) {
	service := topology.Service{
		Name:          rapid.SampledFrom(serviceNames).Draw(r, "service"),
		InitialShards: uint32(rapid.IntRange(0, 4).Draw(r, "shards")),
		DrainLimit:    time.Duration(rapid.IntRange(0, 3).Draw(r, "drain limit")),
	}
	name := controlstate.BackendName{Service: service.Name, Name: rapid.SampledFrom(backendNames).Draw(r, "back end")}
	backend := topology.Backend{
		Name: name.Name, Location: topology.Location{Region: "r", Zone: "z"},
		AgentAddress: fmt.Sprintf("127.0.1.%d:7201", rapid.IntRange(1, 6).Draw(r, "address")),
		Slots:        uint32(rapid.IntRange(0, 2).Draw(r, "slots")), Connections: 1,
	}
	controller := controlstate.Controller{
		Incarnation: topology.Incarnation(rapid.IntRange(0, 3).Draw(r, "incarnation")),
		PeerAddress: "127.0.2.1:1", SessionAddress: "127.0.2.1:2", RPCAddress: "127.0.2.1:3",
	}
	id := topology.ReplicaID(rapid.IntRange(1, 3).Draw(r, "controller"))
	switch rapid.IntRange(0, 10).Draw(r, "kind") {
	case 0, 1:
		command.CreateService = &controlstate.CreateService{Service: service}
	case 2:
		command.UpdateService = &controlstate.UpdateService{Service: service}
	case 3:
		command.DeleteService = &controlstate.DeleteService{Name: service.Name}
	case 4, 5:
		command.CreateBackend = &controlstate.CreateBackend{Service: service.Name, Backend: backend}
	case 6:
		command.UpdateBackend = &controlstate.UpdateBackend{Service: service.Name, Backend: backend}
	case 7:
		state := rapid.SampledFrom([]topology.BackendState{topology.BackendActive, topology.BackendDraining, topology.BackendDraining, 9}).Draw(r, "state")
		command.SetBackendState = &controlstate.SetBackendState{Backend: name, State: state}
	case 8:
		command.RemoveBackend = &controlstate.RemoveBackend{Backend: name}
	case 9:
		command.MarkLoadShift = &controlstate.MarkLoadShift{
			Service: service.Name, Keys: []topology.KeyHash{7}, EndUnixMilli: command.UnixMilli + 1, ExpectedSlots: 1,
		}
	default:
		fillMembershipCommand(r, command, controller, id)
	}
}

func fillMembershipCommand(r *rapid.T, command *controlstate.Command, controller controlstate.Controller, id topology.ReplicaID) {
	switch rapid.IntRange(0, 2).Draw(r, "membership") {
	case 0:
		command.AddController = &controlstate.AddController{Controller: controller, LowestID: id}
	case 1:
		command.PromoteController = &controlstate.PromoteController{ID: id}
	default:
		command.RemoveController = &controlstate.RemoveController{ID: id}
	}
}

func drawLeaderCommand(r *rapid.T, state *controlstate.State) controlstate.Command {
	batch := &controlstate.ChangeOwnership{}
	for range rapid.IntRange(1, 4).Draw(r, "changes") {
		if change, ok := drawOwnershipChange(r, state); ok {
			batch.Changes = append(batch.Changes, change)
		}
	}
	return controlstate.Command{ChangeOwnership: batch}
}

// drawOwnershipChange draws a change of an existing shard, mostly with the
// current epoch, with a random event and back end.
func drawOwnershipChange(r *rapid.T, state *controlstate.State) (controlstate.OwnershipChange, bool) {
	var shards []topology.Shard
	for _, service := range state.Services() {
		for shard := range state.Shards(service.ID) {
			shards = append(shards, shard)
		}
	}
	if len(shards) == 0 {
		return controlstate.OwnershipChange{}, false
	}
	index := rapid.IntRange(0, len(shards)-1).Draw(r, "shard")
	shard, next := shards[index], shards[min(index+1, len(shards)-1)]
	return controlstate.OwnershipChange{
		Shard:          shard.ID,
		Epoch:          shard.Epoch + topology.Epoch(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(r, "epoch ahead")),
		Event:          drawShardEvent(r, shard.Phase),
		To:             topology.BackendID(rapid.IntRange(0, 5).Draw(r, "to")),
		SplitAt:        topology.KeyHash(rapid.Uint64().Draw(r, "split at")),
		MergeWith:      next.ID.Shard,
		MergeWithEpoch: next.Epoch,
	}, true
}

// drawShardEvent draws mostly events that the state chart allows in the phase.
func drawShardEvent(r *rapid.T, phase topology.ShardPhase) ownership.ShardEvent {
	event := ownership.ShardEvent(rapid.IntRange(0, int(ownership.EventMerge)+1).Draw(r, "event"))
	for range 4 {
		if _, _, allowed := ownership.NextPhase(phase, event); allowed {
			break
		}
		event = ownership.ShardEvent(rapid.IntRange(0, int(ownership.EventMerge)).Draw(r, "another event"))
	}
	return event
}

// invariantChecker keeps the revision, the epochs and the owners last seen, to
// check that revisions and epochs never decrease.
type invariantChecker struct {
	revision topology.Revision
	epochs   map[topology.ShardID]topology.Epoch
	// owners holds the owners of the sampled keys of each service.
	owners map[sampledKey]ownerAndEpoch
}

type sampledKey struct {
	service topology.ServiceID
	key     topology.KeyHash
}

type ownerAndEpoch struct {
	owner topology.BackendID
	epoch topology.Epoch
}

var sampledKeys = []topology.KeyHash{0, 1, math.MaxUint64 / 3, math.MaxUint64 / 2, math.MaxUint64 - 1, math.MaxUint64}

func newInvariantChecker() *invariantChecker {
	return &invariantChecker{epochs: make(map[topology.ShardID]topology.Epoch), owners: make(map[sampledKey]ownerAndEpoch)}
}

func (c *invariantChecker) check(r *rapid.T, state *controlstate.State) {
	if state.Revision() < c.revision {
		r.Fatalf("revision decreased from %d to %d", c.revision, state.Revision())
	}
	c.revision = state.Revision()
	owned := make(map[topology.BackendID]int)
	for _, service := range state.Services() {
		c.checkRanges(r, state, service.ID, owned)
		c.checkKeys(r, state, service.ID)
	}
	for _, backend := range state.Backends() {
		if backend.Owned != owned[backend.ID] {
			r.Fatalf("back end %d owns %d shards, but its count is %d", backend.ID, owned[backend.ID], backend.Owned)
		}
	}
}

// checkRanges verifies that the ranges of a service's shards cover the hash space
// without gaps or overlaps.
func (c *invariantChecker) checkRanges(r *rapid.T, state *controlstate.State, service topology.ServiceID, owned map[topology.BackendID]int) {
	next := topology.KeyHash(0)
	first := true
	for shard := range state.Shards(service) {
		if shard.Start != next || (next == 0 && !first) {
			r.Fatalf("shard %s starts at %x, but the previous shard ends before %x", shard.ID, shard.Start, next)
		}
		first = false
		next = state.RangeEnd(shard.ID) + 1
		c.checkShard(r, state, shard)
		owned[shard.Owner]++
	}
	if next != 0 {
		r.Fatalf("the last shard of service %d ends before %x", service, next)
	}
}

func (c *invariantChecker) checkShard(r *rapid.T, state *controlstate.State, shard topology.Shard) {
	if shard.Epoch < c.epochs[shard.ID] {
		r.Fatalf("epoch of shard %s decreased from %d to %d", shard.ID, c.epochs[shard.ID], shard.Epoch)
	}
	c.epochs[shard.ID] = shard.Epoch
	moving := shard.Phase == topology.ShardWarming || shard.Phase == topology.ShardReleasing
	if moving != (shard.Target != 0) || (shard.Phase == topology.ShardUnassigned) != (shard.Owner == 0) {
		r.Fatalf("phase does not match owner and target: %+v", shard)
	}
	for _, id := range []topology.BackendID{shard.Owner, shard.Target} {
		if backend, known := state.Backend(id); id != 0 && (!known || backend.Service != shard.ID.Service) {
			r.Fatalf("shard %s has back end %d, which is not a back end of its service", shard.ID, id)
		}
	}
}

// checkKeys verifies that the epoch of a key never decreases, and increases
// whenever its owner changes.
func (c *invariantChecker) checkKeys(r *rapid.T, state *controlstate.State, service topology.ServiceID) {
	for _, key := range sampledKeys {
		shard, ok := state.ShardOfKey(service, key)
		if !ok || key < shard.Start || key > state.RangeEnd(shard.ID) {
			r.Fatalf("key hash %x of service %d is not in the range of its shard %+v", key, service, shard)
		}
		sampled := sampledKey{service, key}
		previous := c.owners[sampled]
		changed := previous.owner != 0 && shard.Owner != previous.owner
		if shard.Epoch < previous.epoch || (changed && shard.Epoch == previous.epoch) {
			r.Fatalf("key hash %x changed from back end %d at epoch %d to back end %d at epoch %d", key, previous.owner, previous.epoch, shard.Owner, shard.Epoch)
		}
		c.owners[sampled] = ownerAndEpoch{shard.Owner, shard.Epoch}
	}
}
