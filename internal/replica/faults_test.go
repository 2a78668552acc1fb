package replica

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/storage/wal"
	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// failures records the errors passed to OnFailure.
type failures struct {
	mu        sync.Mutex
	byReplica map[topology.ReplicaID]error
}

func (f *failures) errorOf(id topology.ReplicaID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byReplica[id]
}

// newMemoryGroup returns a group whose disks are in memory, the disks, and the
// errors that stopped its replicas.
func newMemoryGroup(t *testing.T, size int) (*testGroup, map[topology.ReplicaID]*vfs.Memory, *failures) {
	disks := map[topology.ReplicaID]*vfs.Memory{}
	failed := &failures{byReplica: map[topology.ReplicaID]error{}}
	g := newTestGroup(t, size, func(config *Config) {
		id := config.ID
		disks[id] = vfs.NewMemory(uint64(id))
		config.FS, config.DataDir = disks[id], "data"
		config.WAL = wal.Options{SegmentBytes: 64 << 10}
		config.OnFailure = func(err error) {
			failed.mu.Lock()
			defer failed.mu.Unlock()
			failed.byReplica[id] = err
		}
	})
	return g, disks, failed
}

// kill stops a replica as if its process was killed. To simulate a loss of power,
// call Crash on its disk afterwards, which drops data that was not synced.
func (g *testGroup) kill(id topology.ReplicaID) {
	g.t.Helper()
	_ = g.replicas[id].Stop()
	delete(g.replicas, id)
	config := g.configs[id]
	config.Listener = nil
	g.configs[id] = config
}

func (g *testGroup) follower() topology.ReplicaID {
	leader := g.leader().Status().ID
	for id := range g.replicas {
		if id != leader {
			return id
		}
	}
	return 0
}

func (g *testGroup) waitFor(description string, condition func() bool) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestFailedSyncStopsReplicaBeforeAcknowledging(t *testing.T) {
	g, disks, failed := newMemoryGroup(t, 1)
	g.propose("a")
	disks[1].FailSync(syscall.EIO)
	_, err := g.leader().Propose(testContext(t), []byte("lost"))
	assert.ErrorIs(t, err, ErrOutcomeUnknown)
	var sync *storage.SyncError
	assert.Assert(t, errors.As(failed.errorOf(1), &sync))
	g.kill(1)
	disks[1].Crash()
	g.start(1)
	assert.Equal(t, g.propose("b"), "2: b", "the command that was not synced must not be applied")
}

func TestFullDiskRejectsProposalsButKeepsReadsAndLease(t *testing.T) {
	g, disks, _ := newMemoryGroup(t, 1)
	disks[1].SetCapacity(disks[1].Used() + 10_000)
	leader := g.leader()
	accepted := 0
	var err error
	for err == nil {
		if _, err = leader.Propose(testContext(t), make([]byte, 4000)); err == nil {
			accepted++
		}
	}
	assert.ErrorIs(t, err, storage.ErrDiskFull, "a proposal must not wait for space")
	assert.Assert(t, leader.DiskFull())
	assert.Equal(t, len(g.commands(1)), accepted)
	for range 20 {
		assert.NilError(t, leader.ReadBarrier(testContext(t)))
		assert.Assert(t, leader.IsLeader())
	}
	disks[1].SetCapacity(0)
	g.waitFor("proposals are accepted again", func() bool {
		_, err := leader.Propose(testContext(t), []byte("again"))
		return err == nil
	})
	g.waitCommands(1, accepted+1)
}

// A follower with a full disk holds back the entries that it cannot write. The
// others continue, and the follower catches up once it has space again.
func TestFollowerCatchesUpAfterFullDisk(t *testing.T) {
	g, disks, _ := newMemoryGroup(t, 3)
	g.propose("a")
	id := g.follower()
	g.waitCommands(id, 1)
	disks[id].SetCapacity(disks[id].Used())
	for range 40 {
		g.propose(string(make([]byte, 4000)))
	}
	g.waitFor("the follower's disk is full", g.replicas[id].DiskFull)
	disks[id].SetCapacity(0)
	g.waitCommands(id, 41)
	g.waitFor("all entries are durable on the follower", func() bool { return g.replicas[id].Status().Durable >= 41 })
}

func TestOlderCopyOfDiskIsDetectedAndRejected(t *testing.T) {
	g, disks, failed := newMemoryGroup(t, 3)
	g.propose("a")
	stale := g.follower()
	g.waitCommands(stale, 1)
	clone := disks[stale].Clone()
	for i := range 5 {
		g.propose(fmt.Sprint(i))
	}
	g.waitCommands(stale, 6)
	g.kill(stale)
	disks[stale].Restore(clone)
	g.start(stale)
	g.waitFor("the older copy is detected", func() bool { return failed.errorOf(stale) != nil })
	assert.ErrorContains(t, failed.errorOf(stale), consensus.ErrOlderCopy.Error())
	assert.ErrorContains(t, failed.errorOf(stale), "replace-a-lost-disk.md")
	g.kill(stale)
	config := g.configs[stale]
	config.Machine = &listMachine{}
	_, err := Start(config)
	var damage *storage.DamageError
	assert.Assert(t, errors.As(err, &damage), "the folder must stay rejected: %v", err)
}

func TestDiskIsTrustedAfterProcessRestartButNotAfterPowerLoss(t *testing.T) {
	g, disks, _ := newMemoryGroup(t, 3)
	g.propose("a")
	id := g.follower()
	g.waitCommands(id, 1)
	other := g.leader().Status().ID
	g.kill(id)
	g.start(id)
	assert.Assert(t, !g.replicas[id].Status().Unproven)

	// After a power loss the replica must receive messages from both others, but one is down.
	third := topology.ReplicaID(6) - id - other
	g.kill(third)
	g.kill(id)
	disks[id].Crash()
	g.start(id)
	assert.Assert(t, g.replicas[id].Status().Unproven)
	g.propose("b")
	g.waitCommands(id, 2)
	assert.Assert(t, g.replicas[id].Status().Unproven)
	g.start(third)
	g.waitFor("the replica has received messages from both others", func() bool { return !g.replicas[id].Status().Unproven })
	// The note of the last write is valid again from here on.
	g.propose("c")
	g.waitCommands(id, 3)
	g.kill(id)
	g.start(id)
	assert.Assert(t, !g.replicas[id].Status().Unproven)
}

func TestGroupRecoversAfterPowerLoss(t *testing.T) {
	g, disks, _ := newMemoryGroup(t, 3)
	for i := range 10 {
		g.propose(fmt.Sprint(i))
	}
	for id := range disks {
		g.kill(id)
		disks[id].Crash()
	}
	for id := range disks {
		g.start(id)
	}
	assert.Equal(t, g.propose("after"), "11: after")
}

func TestStartFailsIfLogOrSnapshotsAreMissing(t *testing.T) {
	for _, part := range []string{"wal", "snap"} {
		g, disks, _ := newMemoryGroup(t, 1)
		g.propose("a")
		g.kill(1)
		names, err := disks[1].List("data/" + part)
		assert.NilError(t, err)
		for _, name := range names {
			assert.NilError(t, disks[1].Remove("data/"+part+"/"+name))
		}
		config := g.configs[1]
		config.Machine = &listMachine{}
		for range 2 {
			_, err = Start(config)
			var damage *storage.DamageError
			assert.Assert(t, errors.As(err, &damage), "%s: %v", part, err)
		}
	}
}

func TestGroupSurvivesSecondLossRightAfterReplacement(t *testing.T) {
	g, _, _ := newMemoryGroup(t, 3)
	stop := make(chan struct{})
	var acknowledged []string
	var writers sync.WaitGroup
	writers.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			command := fmt.Sprint(i)
			for _, replica := range []*Replica{g.replicas[1], g.replicas[2], g.replicas[3]} {
				if _, err := replica.Propose(testContext(t), []byte(command)); err == nil {
					acknowledged = append(acknowledged, command)
					break
				}
			}
		}
	})
	leader := g.leader()
	lost := g.follower()
	joining := g.startJoining(4)
	ctx := testContext(t)
	added, err := leader.ChangeMembership(ctx, consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{
		Incarnation: joining.Incarnation(), Address: joining.Address(),
	}})
	assert.NilError(t, err)
	_, err = leader.ChangeMembership(ctx, consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: lost}})
	assert.NilError(t, err)
	_, err = leader.ChangeMembership(ctx, consensus.Change{Kind: consensus.Promote, Member: added.Member})
	assert.NilError(t, err)
	close(stop)
	writers.Wait()
	g.kill(leader.Status().ID)
	g.kill(lost)
	g.propose("after")
	commands := g.commands(4)
	assert.Assert(t, len(acknowledged) > 0)
	applied := map[string]bool{}
	for _, command := range commands {
		applied[command] = true
	}
	for _, command := range acknowledged {
		assert.Assert(t, applied[command], "the new member does not have %q, which was acknowledged", command)
	}
}

// startJoining starts a replica that has an empty folder and is not in the
// membership.
func (g *testGroup) startJoining(id topology.ReplicaID) *Replica {
	g.t.Helper()
	config := testConfig(g.t, 0)
	config.Peers = nil
	g.configs[id] = config
	g.start(id)
	return g.replicas[id]
}

func TestRepeatedPromotionWaitsUntilVoterIsDurable(t *testing.T) {
	g, _, _ := newMemoryGroup(t, 3)
	g.propose("a")
	id := g.follower()
	g.kill(id)
	g.propose("b")
	promote := consensus.Change{Kind: consensus.Promote, Member: consensus.Member{ID: id}}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := g.leader().ChangeMembership(ctx, promote)
	assert.ErrorIs(t, err, context.DeadlineExceeded, "the voter is down and does not have the last entry")
	g.start(id)
	_, err = g.leader().ChangeMembership(testContext(t), promote)
	assert.NilError(t, err)
}
