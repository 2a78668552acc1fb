package controller_test

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controller"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// soloReplica is a replicated log without peers or disk: every command is
// committed at once.
type soloReplica struct {
	machine controller.Machine
	start   time.Time
	events  chan func()
	done    chan struct{}
	stop    sync.Once
	ended   sync.WaitGroup

	// index belongs to the control goroutine.
	index topology.Revision
}

func newSolo(machine controller.Machine) (controller.Replicator, error) {
	r := &soloReplica{
		machine: machine,
		start:   time.Now(),
		events:  make(chan func(), 1024),
		done:    make(chan struct{}),
	}
	r.ended.Go(r.run)
	return r, nil
}

func (r *soloReplica) run() {
	ticks := time.NewTicker(5 * time.Millisecond)
	defer ticks.Stop()
	for {
		select {
		case event := <-r.events:
			event()
		case <-ticks.C:
			r.machine.Tick(r.Now(), r.Status())
		case <-r.done:
			return
		}
	}
}

func (r *soloReplica) Now() time.Duration { return time.Since(r.start) }

func (r *soloReplica) Post(event func()) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

func (r *soloReplica) Propose(ctx context.Context, command []byte) (any, error) {
	result := make(chan any, 1)
	r.Post(func() { r.ProposeAsync(command, func(applied any, _ error) { result <- applied }) })
	select {
	case applied := <-result:
		return applied, nil
	case <-ctx.Done():
		return nil, controller.ErrOutcomeUnknown
	}
}

func (r *soloReplica) ProposeAsync(command []byte, done func(any, error)) {
	r.index++
	done(r.machine.Apply(r.index, command), nil)
}

// applied returns how many commands were applied.
func (r *soloReplica) applied() topology.Revision {
	found := make(chan topology.Revision, 1)
	r.Post(func() { found <- r.index })
	return <-found
}

func (r *soloReplica) ReadBarrier(context.Context) error { return nil }

func (r *soloReplica) TransferLeadership(context.Context, topology.ReplicaID) error { return nil }

func (r *soloReplica) ChangeMembership(context.Context, consensus.Change) error { return nil }

func (r *soloReplica) Status() consensus.Status {
	return consensus.Status{
		ID: 1, Incarnation: 7, Role: consensus.Leader, Term: 1, Leader: 1,
		LeaseUntil: r.Now() + time.Second,
		Membership: consensus.NewMembership(consensus.Member{ID: 1, Incarnation: 7}),
	}
}

func (r *soloReplica) Incarnation() topology.Incarnation { return 7 }

func (r *soloReplica) PeerAddress() string { return "127.0.0.1:7102" }

func (r *soloReplica) Stop() error {
	r.stop.Do(func() { close(r.done) })
	r.ended.Wait()
	return nil
}
