package replica

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// listMachine stores the commands that it applied.
type listMachine struct{ commands []string }

func (m *listMachine) Apply(_ topology.Revision, command []byte) any {
	m.commands = append(m.commands, string(command))
	return fmt.Sprintf("%d: %s", len(m.commands), command)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	var buffer bytes.Buffer
	err := gob.NewEncoder(&buffer).Encode(m.commands)
	return buffer.Bytes(), err
}

func (m *listMachine) Restore(data []byte) error {
	m.commands = nil
	return gob.NewDecoder(bytes.NewReader(data)).Decode(&m.commands)
}

// testGroup is a group of replicas in one process, each with its own data folder.
type testGroup struct {
	t        *testing.T
	configs  map[topology.ReplicaID]Config
	replicas map[topology.ReplicaID]*Replica
	machines map[topology.ReplicaID]*listMachine
}

func testConfig(t *testing.T, id topology.ReplicaID) Config {
	return Config{
		Group: 1, ID: id, DataDir: t.TempDir(), Listener: testListener(t),
		Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)),
		OnFailure: func(err error) { t.Errorf("replica %d failed: %v", id, err) },
	}
}

func testListener(t *testing.T) *transport.Listener {
	listener, err := transport.Listen("127.0.0.1:0", transport.Options{})
	assert.NilError(t, err)
	return listener
}

func newTestGroup(t *testing.T, size int, change func(*Config)) *testGroup {
	t.Helper()
	g := &testGroup{
		t:        t,
		configs:  map[topology.ReplicaID]Config{},
		replicas: map[topology.ReplicaID]*Replica{},
		machines: map[topology.ReplicaID]*listMachine{},
	}
	var peers []Peer
	for position := range size {
		id := topology.ReplicaID(position + 1)
		config := testConfig(t, id)
		if change != nil {
			change(&config)
		}
		g.configs[id] = config
		peers = append(peers, Peer{ID: id, Address: config.Listener.Address()})
	}
	for id, config := range g.configs {
		config.Peers = peers
		config.Listen = config.Listener.Address()
		g.configs[id] = config
		g.start(id)
	}
	t.Cleanup(func() {
		for id := range g.replicas {
			g.stop(id)
		}
	})
	return g
}

func (g *testGroup) start(id topology.ReplicaID) {
	g.t.Helper()
	config := g.configs[id]
	g.machines[id] = &listMachine{}
	config.Machine = g.machines[id]
	replica, err := Start(config)
	assert.NilError(g.t, err)
	g.replicas[id] = replica
}

func (g *testGroup) stop(id topology.ReplicaID) {
	g.t.Helper()
	assert.NilError(g.t, g.replicas[id].Stop())
	delete(g.replicas, id)
	config := g.configs[id]
	config.Listener = nil
	g.configs[id] = config
}

func (g *testGroup) leader() *Replica {
	g.t.Helper()
	var leader *Replica
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for _, replica := range g.replicas {
			if replica.IsLeader() {
				leader = replica
				return poll.Success()
			}
		}
		return poll.Continue("no leader")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
	return leader
}

// propose proposes a command until it is committed. If an election happened in
// between, the command had no effect and is proposed again.
func (g *testGroup) propose(command string) any {
	g.t.Helper()
	ctx := testContext(g.t)
	for {
		result, err := g.leader().Propose(ctx, []byte(command))
		var notLeader *NotLeaderError
		if errors.As(err, &notLeader) || errors.Is(err, ErrNotCommitted) {
			continue
		}
		assert.NilError(g.t, err)
		return result
	}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// commands returns the commands that a replica's state machine has applied.
func (g *testGroup) commands(id topology.ReplicaID) []string {
	result := make(chan []string, 1)
	g.replicas[id].Post(func() { result <- append([]string(nil), g.machines[id].commands...) })
	return <-result
}

func (g *testGroup) waitCommands(id topology.ReplicaID, count int) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		if found := len(g.commands(id)); found != count {
			return poll.Continue("replica %d has applied %d of %d commands", id, found, count)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestGroupBootstrapsAndReplicates(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	assert.Equal(t, g.propose("a"), "1: a")
	assert.Equal(t, g.propose("b"), "2: b")
	assert.NilError(t, g.leader().ReadBarrier(testContext(t)))
	for id := range g.replicas {
		g.waitCommands(id, 2)
	}
}

func TestSingleReplicaKeepsStateAcrossRestart(t *testing.T) {
	g := newTestGroup(t, 1, nil)
	g.propose("a")
	g.stop(1)
	g.start(1)
	assert.Equal(t, g.propose("b"), "2: b")
}

func TestLostLeaderIsReplaced(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	g.propose("a")
	lost := g.leader().Status().ID
	g.stop(lost)
	assert.Equal(t, g.propose("b"), "2: b")
	g.start(lost)
	g.waitCommands(lost, 2)
}

func TestFollowersReportLeader(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	leader := g.leader()
	for _, replica := range g.replicas {
		if replica == leader {
			continue
		}
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			_, err := replica.Propose(testContext(t), []byte("x"))
			if notLeader, ok := err.(*NotLeaderError); ok && notLeader.LeaderAddress == leader.Address() {
				return poll.Success()
			}
			return poll.Continue("%v", err)
		})
	}
}

// bootstrappedLine sends to the channel when a replica logs that its group is already bootstrapped.
type bootstrappedLine chan struct{}

func (b bootstrappedLine) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("the group is already bootstrapped")) {
		b <- struct{}{}
	}
	return len(line), nil
}

// Guards against members that crash, once they have been restarted, when one that lost its disk asks for a
// new group.
func TestRestartedMembersRespondToOneThatLostItsDisk(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	g.propose("a")
	const lost = topology.ReplicaID(3)
	for id := range g.configs {
		g.stop(id)
	}
	config := g.configs[lost]
	config.DataDir = t.TempDir()
	told := make(bootstrappedLine, 1)
	config.Logger = slog.New(slog.NewTextHandler(told, nil))
	g.configs[lost] = config
	for id := range g.configs {
		g.start(id)
	}
	select {
	case <-told:
	case <-testContext(t).Done():
		t.Fatal("the replica with the empty disk was told nothing")
	}
	g.propose("b")
}

func TestReplicaWithLostDiskRejoinsAsNewMember(t *testing.T) {
	g := newTestGroup(t, 3, nil)
	g.propose("a")
	var lost topology.ReplicaID
	for id, replica := range g.replicas {
		if !replica.IsLeader() {
			lost = id
		}
	}
	g.stop(lost)
	config := g.configs[lost]
	config.DataDir = t.TempDir()
	g.configs[lost] = config
	g.start(lost)
	joining := g.replicas[lost]

	ctx := testContext(t)
	added, err := g.leader().ChangeMembership(ctx, consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{
		Incarnation: joining.Incarnation(), Address: joining.Address(),
	}})
	assert.NilError(t, err)
	assert.Equal(t, added.Member.ID, topology.ReplicaID(4))
	_, err = g.leader().ChangeMembership(ctx, consensus.Change{Kind: consensus.Promote, Member: added.Member})
	assert.NilError(t, err)
	_, err = g.leader().ChangeMembership(ctx, consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: lost}})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status := joining.Status(); status.ID != 4 || !status.Membership.IsVoter(4) || status.Membership.IsVoter(lost) {
			return poll.Continue("status %+v", status)
		}
		return poll.Success()
	})
	g.waitCommands(lost, 1)
}
