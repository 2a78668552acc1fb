package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// ReplicateOn returns a Config.Replicate that starts a member of a consensus
// group. Machine and OnTick of the configuration are set here.
func ReplicateOn(config replica.Config) func(Machine) (Replicator, error) {
	return func(machine Machine) (Replicator, error) {
		config.Machine = stateMachine{machine}
		config.OnTick = machine.Tick
		member, err := replica.Start(config)
		if err != nil {
			return nil, err
		}
		return replicated{member}, nil
	}
}

// stateMachine fits Machine to the replica.
type stateMachine struct{ machine Machine }

func (s stateMachine) Apply(index topology.Revision, command []byte) any {
	return s.machine.Apply(index, command)
}
func (s stateMachine) Snapshot() ([]byte, error)      { return s.machine.Snapshot() }
func (s stateMachine) Freeze() func() ([]byte, error) { return s.machine.Freeze() }
func (s stateMachine) Restore(data []byte) error      { return s.machine.Restore(data) }

// replicated fits a replica to Replicator.
type replicated struct{ member *replica.Replica }

func (r replicated) Propose(ctx context.Context, command []byte) (any, error) {
	result, err := r.member.Propose(ctx, command)
	return result, classify(err)
}

func (r replicated) ProposeAsync(command []byte, done func(result any, err error)) {
	r.member.ProposeAsync(command, func(result any, err error) { done(result, classify(err)) })
}

func (r replicated) Post(event func()) { r.member.Post(event) }
func (r replicated) ReadBarrier(ctx context.Context) error {
	return classify(r.member.ReadBarrier(ctx))
}
func (r replicated) Status() consensus.Status          { return r.member.Status() }
func (r replicated) Now() time.Duration                { return r.member.Now() }
func (r replicated) Incarnation() topology.Incarnation { return r.member.Incarnation() }
func (r replicated) PeerAddress() string               { return r.member.Address() }
func (r replicated) Stop() error                       { return r.member.Stop() }

func (r replicated) TransferLeadership(ctx context.Context, target topology.ReplicaID) error {
	return r.member.TransferLeadership(ctx, target)
}

func (r replicated) ChangeMembership(ctx context.Context, change consensus.Change) error {
	_, err := r.member.ChangeMembership(ctx, change)
	return err
}

// classify sorts the replica's errors by what became of a proposal.
func classify(err error) error {
	var elsewhere *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replica.ErrOutcomeUnknown):
		return ErrOutcomeUnknown
	case errors.As(err, &elsewhere), errors.Is(err, replica.ErrNotMember), errors.Is(err, replica.ErrStopped):
		return ErrNotLeader
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, err)
}
