package controller_test

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controller"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// singleReplica is a replicated log without peers or a disk: every command is
// committed at once.
type singleReplica struct {
	machine controller.StateMachine
	start   time.Time
	events  chan func()
	done    chan struct{}
	stop    sync.Once
	running sync.WaitGroup

	// index is accessed only on the control goroutine.
	index topology.Revision
}

func newSingleReplica(machine controller.StateMachine) (controller.Replicator, error) {
	r := &singleReplica{
		machine: machine,
		start:   time.Now(),
		events:  make(chan func(), 1024),
		done:    make(chan struct{}),
	}
	r.running.Go(r.run)
	return r, nil
}

func (r *singleReplica) run() {
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

func (r *singleReplica) Now() time.Duration { return time.Since(r.start) }

func (r *singleReplica) Post(event func()) {
	select {
	case r.events <- event:
	case <-r.done:
	}
}

func (r *singleReplica) Propose(ctx context.Context, command []byte) (any, error) {
	result := make(chan any, 1)
	r.Post(func() { r.ProposeAsync(command, func(applied any, _ error) { result <- applied }) })
	select {
	case applied := <-result:
		return applied, nil
	case <-ctx.Done():
		return nil, controller.ErrOutcomeUnknown
	}
}

func (r *singleReplica) ProposeAsync(command []byte, done func(any, error)) {
	r.index++
	done(r.machine.Apply(r.index, command), nil)
}

// appliedIndex returns the number of applied commands.
func (r *singleReplica) appliedIndex() topology.Revision {
	found := make(chan topology.Revision, 1)
	r.Post(func() { found <- r.index })
	return <-found
}

func (r *singleReplica) ReadBarrier(context.Context) error { return nil }

func (r *singleReplica) TransferLeadership(context.Context, topology.ReplicaID) error { return nil }

func (r *singleReplica) ChangeMembership(context.Context, consensus.Change) error { return nil }

func (r *singleReplica) Status() consensus.Status {
	return consensus.Status{
		ID: 1, Incarnation: 7, Role: consensus.Leader, Term: 1, Leader: 1,
		LeaseUntil: r.Now() + time.Second,
		Membership: consensus.NewMembership(consensus.Member{ID: 1, Incarnation: 7}),
	}
}

func (r *singleReplica) Incarnation() topology.Incarnation { return 7 }

func (r *singleReplica) PeerAddress() string { return "127.0.0.1:7102" }

func (r *singleReplica) Stop() error {
	r.stop.Do(func() { close(r.done) })
	r.running.Wait()
	return nil
}
