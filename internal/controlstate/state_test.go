package controlstate_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// log applies commands at increasing revisions, as a replica does.
type log struct {
	state *controlstate.State
	last  topology.Revision
}

func newLog() *log { return &log{state: controlstate.New(1)} }

func (l *log) apply(command controlstate.Command) (controlstate.Result, wire.RoutingDelta) {
	l.last++
	return l.state.Apply(l.last, command)
}

// operator returns an operator command for the current configuration revision.
func (l *log) operator(requestID string, fill func(*controlstate.Command)) controlstate.Command {
	configured, _ := l.state.Configuration()
	command := controlstate.Command{RequestID: requestID, Author: "anna", ExpectedRevision: configured}
	fill(&command)
	if err := command.SetDigest(); err != nil {
		panic(err)
	}
	return command
}

func createService(name string, shards uint32) func(*controlstate.Command) {
	return func(command *controlstate.Command) {
		service := topology.Service{Name: name, InitialShards: shards}
		command.CreateService = &controlstate.CreateService{Service: service}
	}
}

func createBackend(service string, number int) func(*controlstate.Command) {
	return func(command *controlstate.Command) {
		command.CreateBackend = &controlstate.CreateBackend{Service: service, Backend: topology.Backend{
			Name:         fmt.Sprintf("backend-%d", number),
			Location:     topology.Location{Region: "se-west", Zone: "hall-1"},
			AgentAddress: fmt.Sprintf("127.0.1.%d:7201", number),
			Slots:        20,
			Connections:  100,
		}}
	}
}

// newPopulatedLog returns a log with one service, which has the given number of
// shards and three back ends.
func newPopulatedLog(shards uint32) *log {
	l := newLog()
	l.apply(l.operator("service", createService("wayfinder", shards)))
	for number := range 3 {
		l.apply(l.operator(fmt.Sprint("backend-", number), createBackend("wayfinder", number+1)))
	}
	return l
}

func ownershipCommand(number topology.ShardNumber, epoch topology.Epoch, event ownership.ShardEvent, to topology.BackendID) controlstate.Command {
	change := controlstate.OwnershipChange{
		Shard: topology.ShardID{Service: 1, Shard: number}, Epoch: epoch, Event: event, To: to,
	}
	return controlstate.Command{ChangeOwnership: &controlstate.ChangeOwnership{
		Changes: []controlstate.OwnershipChange{change},
	}}
}

func TestOnlyOneOfConcurrentChangesWithSameRevisionIsAccepted(t *testing.T) {
	l := newLog()
	first := l.operator("one", createService("closures", 4))
	second := l.operator("two", createService("tilehouse", 4))
	second.Author = "bo"

	accepted, _ := l.apply(first)
	rejected, delta := l.apply(second)

	assert.NilError(t, accepted.Err())
	assert.DeepEqual(t, rejected.RevisionConflict, &controlstate.RevisionConflictError{Winner: 1, Author: "anna"})
	assert.Equal(t, delta.From, delta.To)
	assert.Equal(t, len(l.state.Services()), 1)
}

func TestResentCommandGetsOriginalResultAfterSnapshotRestore(t *testing.T) {
	l := newLog()
	command := l.operator("one", createService("closures", 4))
	first, _ := l.apply(command)
	l.apply(l.operator("two", createService("tilehouse", 4)))

	data, err := l.state.Encode()
	assert.NilError(t, err)
	restored := &log{state: controlstate.New(1), last: l.last}
	assert.NilError(t, restored.state.Decode(data))
	resent, _ := restored.apply(command)

	assert.Assert(t, resent.Repeated)
	assert.Equal(t, resent.Revision, first.Revision)
	assert.Equal(t, resent.Service, first.Service)
	assert.Equal(t, len(restored.state.Services()), 2)
}

func TestResentCommandIsRejectedAgain(t *testing.T) {
	l := newLog()
	command := l.operator("one", createService("closures", 4))
	command.ExpectedRevision = 7
	first, _ := l.apply(command)
	resent, _ := l.apply(command)
	assert.Assert(t, first.RevisionConflict != nil)
	assert.Assert(t, resent.Repeated)
	assert.DeepEqual(t, resent.RevisionConflict, first.RevisionConflict)
}

func TestRequestIDReusedForDifferentContentIsRejected(t *testing.T) {
	l := newLog()
	l.apply(l.operator("one", createService("closures", 4)))
	other, _ := l.apply(l.operator("one", createService("tilehouse", 4)))
	assert.DeepEqual(t, other.RequestIDReused,
		&controlstate.RequestIDReusedError{RequestID: "one", First: 1, Author: "anna"})
}

func TestResentCommandIsNotAppliedTwiceAfterCacheEviction(t *testing.T) {
	l := newLog()
	command := l.operator("first", createService("closures", 4))
	l.apply(command)
	for number := range controlstate.MaximumCachedResults {
		name := fmt.Sprint("update-", number)
		l.apply(l.operator(name, func(command *controlstate.Command) {
			service := topology.Service{Name: "closures", InitialShards: 4}
			command.UpdateService = &controlstate.UpdateService{Service: service}
		}))
	}
	late, _ := l.apply(command)
	assert.Assert(t, !late.Repeated)
	assert.Assert(t, late.RevisionConflict != nil)
}

func TestInvalidCommandReportsAllViolationsAndChangesNothing(t *testing.T) {
	l := newLog()
	bad := topology.Service{
		Name:  "Way Finder",
		Rules: []topology.RequestRule{{Methods: []string{"get"}, Key: topology.KeySource{Kind: topology.KeyFromQuery}}},
	}
	result, delta := l.apply(l.operator("one", func(command *controlstate.Command) {
		command.Author = ""
		command.CreateService = &controlstate.CreateService{Service: bad}
	}))
	var fields []string
	for _, violation := range result.Violations {
		fields = append(fields, violation.Field)
	}
	assert.DeepEqual(t, fields, []string{
		"mutation.author", "service.name", "service.initial_shards",
		"service.rules[0].methods[0]", "service.rules[0].key.name",
	})
	assert.Equal(t, delta.From, delta.To)
	assert.Equal(t, l.state.Revision(), topology.Revision(0))
}

func TestShardMovePhases(t *testing.T) {
	l := newPopulatedLog(1)
	shard := topology.ShardID{Service: 1, Shard: 1}
	expect := func(phase topology.ShardPhase, owner, target topology.BackendID, epoch topology.Epoch) {
		t.Helper()
		got, _ := l.state.Shard(shard)
		assert.DeepEqual(t, got, topology.Shard{ID: shard, Phase: phase, Owner: owner, Target: target, Epoch: epoch})
	}
	l.apply(ownershipCommand(1, 0, ownership.EventAssign, 1))
	expect(topology.ShardOwned, 1, 0, 1)
	l.apply(ownershipCommand(1, 1, ownership.EventBeginMove, 2))
	expect(topology.ShardWarming, 1, 2, 1)
	l.apply(ownershipCommand(1, 1, ownership.EventRelease, 0))
	expect(topology.ShardReleasing, 1, 2, 1)
	l.apply(ownershipCommand(1, 1, ownership.EventCompleteMove, 0))
	expect(topology.ShardOwned, 2, 0, 2)

	late, _ := l.apply(ownershipCommand(1, 1, ownership.EventAssign, 3))
	assert.Equal(t, late.OwnershipSkipped, 1)
	expect(topology.ShardOwned, 2, 0, 2)
}

func TestCancelAfterReleaseIncrementsEpoch(t *testing.T) {
	l := newPopulatedLog(1)
	l.apply(ownershipCommand(1, 0, ownership.EventAssign, 1))
	l.apply(ownershipCommand(1, 1, ownership.EventBeginMove, 2))
	l.apply(ownershipCommand(1, 1, ownership.EventRelease, 0))
	l.apply(ownershipCommand(1, 1, ownership.EventCancelMove, 0))
	got, _ := l.state.Shard(topology.ShardID{Service: 1, Shard: 1})
	assert.Equal(t, got.Owner, topology.BackendID(1))
	assert.Equal(t, got.Epoch, topology.Epoch(2))
}

func TestOnlyReassignmentWithoutReleaseSetsRevokedAt(t *testing.T) {
	l := newPopulatedLog(1)
	l.apply(ownershipCommand(1, 0, ownership.EventAssign, 1))
	l.apply(ownershipCommand(1, 1, ownership.EventBeginMove, 2))
	l.apply(ownershipCommand(1, 1, ownership.EventRelease, 0))
	l.apply(ownershipCommand(1, 1, ownership.EventCompleteMove, 0))
	released, _ := l.state.Backend(1)
	assert.Equal(t, released.RevokedAt, topology.Revision(0))
	l.apply(ownershipCommand(1, 2, ownership.EventAssign, 3))
	revoked, _ := l.state.Backend(2)
	assert.Equal(t, revoked.RevokedAt, l.last)
}

func TestBackendOwningShardsCannotBeRemoved(t *testing.T) {
	l := newPopulatedLog(1)
	l.apply(ownershipCommand(1, 0, ownership.EventAssign, 1))
	remove := func(command *controlstate.Command) {
		name := controlstate.BackendName{Service: "wayfinder", Name: "backend-1"}
		command.RemoveBackend = &controlstate.RemoveBackend{Backend: name}
	}
	rejected, _ := l.apply(l.operator("remove", remove))
	assert.ErrorContains(t, rejected.Err(), "owns 1 shards")
}

// TestDeltasProduceSameRoutingAsState applies random ownership changes, splits
// and merges. Epochs must never decrease. At the end, a routing table built from
// the deltas must equal one built from the state, and a state restored from a
// snapshot must equal the original.
func TestDeltasProduceSameRoutingAsState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := newPopulatedLog(4)
		table, err := routing.FromSnapshot(l.state.Routing())
		assert.NilError(t, err)
		epochs := make(map[topology.ShardID]topology.Epoch)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			_, delta := l.apply(randomCommand(r, l.state))
			if delta.From != delta.To {
				table, err = table.Apply(delta)
				assert.NilError(t, err)
			}
			checkEpochs(r, l.state, epochs)
		}
		fresh, err := routing.FromSnapshot(l.state.Routing())
		assert.NilError(t, err)
		assert.Equal(t, table.Revision(), fresh.Revision())
		for shard := range l.state.Shards(1) {
			route, ok := table.Lookup(1, shard.Start)
			want, _ := fresh.Lookup(1, shard.Start)
			assert.Assert(t, ok)
			assert.DeepEqual(t, route.Shard, want.Shard)
		}
		checkRestored(t, l.state)
	})
}

func randomCommand(r *rapid.T, state *controlstate.State) controlstate.Command {
	shards := slices.Collect(state.Shards(1))
	shard := rapid.SampledFrom(shards).Draw(r, "shard")
	change := controlstate.OwnershipChange{
		Shard:   shard.ID,
		Epoch:   shard.Epoch,
		Event:   ownership.ShardEvent(rapid.IntRange(0, int(ownership.EventMerge)).Draw(r, "event")),
		To:      topology.BackendID(rapid.IntRange(1, 4).Draw(r, "to")),
		SplitAt: topology.KeyHash(rapid.Uint64().Draw(r, "split at")),
	}
	if index := slices.Index(shards, shard); index+1 < len(shards) {
		change.MergeWith = shards[index+1].ID.Shard
		change.MergeWithEpoch = shards[index+1].Epoch
	}
	return controlstate.Command{ChangeOwnership: &controlstate.ChangeOwnership{
		Changes: []controlstate.OwnershipChange{change},
	}}
}

func checkEpochs(r *rapid.T, state *controlstate.State, epochs map[topology.ShardID]topology.Epoch) {
	for shard := range state.Shards(1) {
		if shard.Epoch < epochs[shard.ID] {
			r.Fatalf("epoch of shard %s decreased from %d to %d", shard.ID, epochs[shard.ID], shard.Epoch)
		}
		epochs[shard.ID] = shard.Epoch
	}
}

func checkRestored(t *testing.T, state *controlstate.State) {
	t.Helper()
	data, err := state.Encode()
	assert.NilError(t, err)
	restored := controlstate.New(1)
	assert.NilError(t, restored.Decode(data))
	assert.DeepEqual(t, restored.Routing(), state.Routing())
	assert.DeepEqual(t, restored.Backends(), state.Backends())
	assert.DeepEqual(t, restored.Moving(), state.Moving())
	assert.DeepEqual(t, restored.Unassigned(), state.Unassigned())
}

// A member that was lost right after the bootstrap of the group has announced no
// addresses, so the state doesn't know it. It can be removed all the same. The
// request has the same digest when it is resent to another leader that has
// already removed the member.
func TestUnannouncedMemberCanBeRemoved(t *testing.T) {
	l := newLog()
	remove := func(member bool) controlstate.Command {
		command := controlstate.Command{RequestID: "r", Author: "anna"}
		command.RemoveController = &controlstate.RemoveController{ID: 2, Member: member}
		assert.NilError(t, command.SetDigest())
		return command
	}
	assert.ErrorContains(t, l.state.Check(remove(false)).Err(), "there is no controller 2")
	accepted, _ := l.apply(remove(true))
	assert.NilError(t, accepted.Err())
	resent, _ := l.apply(remove(false))
	assert.Assert(t, resent.Repeated)
}
