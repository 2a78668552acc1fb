package experiment

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// epochOfClock is the wall clock at virtual time zero, in Unix milliseconds.
const epochOfClock = 1_700_000_000_000

// leader is the leading controller: the product's control state and
// coordinator. Replication is a delay per command; the simulator of issue 7
// covers what replication does.
type leader struct {
	emulation   *emulation
	state       *controlstate.State
	coordinator *coordinator.Coordinator
	table       *routing.Table
	service     topology.ServiceID
	revision    topology.Revision
	// releasing counts the shards in ShardReleasing.
	releasing int
	// drainingSince holds when back ends began to leave for good.
	drainingSince map[topology.BackendID]time.Duration
}

func newLeader(e *emulation) (*leader, error) {
	state := controlstate.New(1)
	made := &leader{
		emulation:     e,
		state:         state,
		coordinator:   coordinator.New(coordinator.Config{Evaluate: e.config.Policy.Evaluate}, state),
		drainingSince: make(map[topology.BackendID]time.Duration),
	}
	table, err := routing.FromSnapshot(state.Routing())
	if err != nil {
		return nil, err
	}
	made.table = table
	made.coordinator.BecomeLeader(0)
	return made, nil
}

func (l *leader) createService() error {
	created, err := l.configure(controlstate.Command{
		CreateService: &controlstate.CreateService{Service: l.emulation.serviceConfiguration()},
	})
	l.service = created.Service
	return err
}

// configure applies an operator's change at once.
func (l *leader) configure(command controlstate.Command) (controlstate.Result, error) {
	configured, _ := l.state.Configuration()
	command.ExpectedRevision = configured
	command.UnixMilli = l.unixMilli()
	command.Author = "lab"
	command.RequestID = fmt.Sprintf("lab-%d", l.revision)
	result := l.apply(command)
	l.coordinator.ConfigurationChanged(l.emulation.queue.now)
	return result, result.Err()
}

func (l *leader) unixMilli() int64 { return epochOfClock + l.emulation.queue.now.Milliseconds() }

// createBackend adds a back end. The scenario was validated, so a refusal is a
// fault of the lab.
func (l *leader) createBackend(number int, location topology.Location) topology.BackendID {
	backend := l.emulation.service.Backend
	result, err := l.configure(controlstate.Command{CreateBackend: &controlstate.CreateBackend{
		Service: l.emulation.service.Name,
		Backend: topology.Backend{
			Name:         fmt.Sprintf("%s-%d", l.emulation.service.Name, number+1),
			Location:     location,
			AgentAddress: fmt.Sprintf("127.1.0.%d:7201", number+1),
			Slots:        backend.Slots,
			Connections:  backend.Connections,
		},
	}})
	if err != nil {
		panic(fmt.Errorf("create back end: %w", err))
	}
	return result.Backend
}

func (l *leader) drainBackend(id topology.BackendID) {
	info, _ := l.state.Backend(id)
	_, err := l.configure(controlstate.Command{SetBackendState: &controlstate.SetBackendState{
		Backend: controlstate.BackendName{Service: l.emulation.service.Name, Name: info.Name},
		State:   topology.BackendDraining,
	}})
	if err != nil {
		panic(fmt.Errorf("drain back end: %w", err))
	}
	l.drainingSince[id] = l.emulation.queue.now
}

// mark announces a hot group.
func (l *leader) mark(group *hotGroup, event Event) {
	keys := make([]topology.KeyHash, 0, len(group.keys))
	for _, key := range group.keys {
		keys = append(keys, l.emulation.keys.positions[key])
	}
	_, err := l.configure(controlstate.Command{MarkLoadShift: &controlstate.MarkLoadShift{
		Service:        l.emulation.service.Name,
		Keys:           keys,
		StartUnixMilli: epochOfClock + event.At.Milliseconds(),
		EndUnixMilli:   epochOfClock + (event.At + event.For).Milliseconds(),
		ExpectedSlots:  event.Share * l.emulation.offeredSlots(),
	}})
	if err != nil {
		panic(fmt.Errorf("mark load shift: %w", err))
	}
}

// tick lets the coordinator propose; the command is applied when replicated.
func (l *leader) tick() {
	command, some := l.coordinator.Tick(l.emulation.queue.now, l.unixMilli())
	if !some {
		return
	}
	l.trace(&command)
	l.emulation.queue.after(l.emulation.commitDelay(), func() {
		l.apply(command)
		l.coordinator.BatchDone(l.emulation.queue.now)
	})
}

// trace writes the moves that a batch begins.
func (l *leader) trace(command *controlstate.Command) {
	if l.emulation.config.Trace == nil {
		return
	}
	for _, change := range command.ChangeOwnership.Changes {
		if change.Event == ownership.EventRelease || change.Event == ownership.EventCompleteMove {
			continue
		}
		shard, _ := l.state.Shard(change.Shard)
		first, last := l.emulation.measures.keysOf(change.Shard)
		fmt.Fprintf(l.emulation.config.Trace, "%8.3f s imbalance %.3f: %v of shard %v (%d keys) from %d to %d: %s\n",
			l.emulation.queue.now.Seconds(), l.emulation.measures.present(),
			change.Event, change.Shard, last-first, shard.Owner, change.To, change.Reason)
	}
}

// apply makes a change and sends it to everyone.
func (l *leader) apply(command controlstate.Command) controlstate.Result {
	l.revision++
	result, delta := l.state.Apply(l.revision, command)
	if delta.From == delta.To {
		return result
	}
	if command.ChangeOwnership != nil {
		l.coordinator.ShardsChanged(delta.Shards, l.emulation.queue.now)
	}
	table, err := l.table.Apply(delta)
	if err != nil {
		panic(fmt.Errorf("apply routing delta: %w", err))
	}
	l.table = table
	l.countReleasing()
	l.emulation.measures.ownershipChanged(&delta)
	l.publish(table)
	return result
}

func (l *leader) countReleasing() {
	l.releasing = 0
	for _, id := range l.state.Moving() {
		if shard, _ := l.state.Shard(id); shard.Phase == topology.ShardReleasing {
			l.releasing++
		}
	}
}

// publish sends routing data to routers and agents. Tables are immutable, so
// all receivers share one.
func (l *leader) publish(table *routing.Table) {
	e := l.emulation
	for _, receiver := range e.routers {
		e.queue.after(e.distance(0, receiver.zone), func() { receiver.applied(table) })
	}
	for _, receiver := range e.servers {
		receiver.afterHere(e.distance(0, receiver.zone), func() { receiver.applied(table) })
	}
}

// routing returns the present routing data.
func (l *leader) routing() *routing.Table { return l.table }

func (l *leader) attach(id topology.BackendID, boot uint64) {
	l.coordinator.Attach(id, &wire.Hello{Role: topology.RoleAgent, Boot: boot}, l.emulation.queue.now)
}

func (l *leader) renew(id topology.BackendID, boot uint64, renewal *wire.Renew) wire.RenewAck {
	return l.coordinator.Renew(id, boot, renewal, l.emulation.queue.now)
}

func (l *leader) warmed(from topology.BackendID, message wire.Warmed) {
	l.coordinator.Warmed(from, &message)
}

func (l *leader) released(from topology.BackendID, message wire.Released) {
	l.coordinator.Released(from, &message)
}

func (l *leader) routerReport(name string, report *wire.RouterLoad) {
	l.coordinator.RecordRouterLoad(name, report, l.emulation.queue.now)
}
