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

// ReplicateOn returns a function for Config.Replicate that starts a member of a
// consensus group. It sets Machine and OnTick of the given configuration.
func ReplicateOn(config replica.Config) func(StateMachine) (Replicator, error) {
	return func(machine StateMachine) (Replicator, error) {
		config.Machine = replicaStateMachine{machine}
		config.OnTick = machine.Tick
		member, err := replica.Start(config)
		if err != nil {
			return nil, err
		}
		return replicaReplicator{member}, nil
	}
}

// replicaStateMachine adapts StateMachine to the interface of package replica.
type replicaStateMachine struct{ machine StateMachine }

func (s replicaStateMachine) Apply(index topology.Revision, command []byte) any {
	return s.machine.Apply(index, command)
}
func (s replicaStateMachine) Snapshot() ([]byte, error)      { return s.machine.Snapshot() }
func (s replicaStateMachine) Freeze() func() ([]byte, error) { return s.machine.Freeze() }
func (s replicaStateMachine) Restore(data []byte) error      { return s.machine.Restore(data) }

// replicaReplicator adapts a replica to Replicator.
type replicaReplicator struct{ member *replica.Replica }

func (r replicaReplicator) Propose(ctx context.Context, command []byte) (any, error) {
	result, err := r.member.Propose(ctx, command)
	return result, mapReplicaError(err)
}

func (r replicaReplicator) ProposeAsync(command []byte, done func(result any, err error)) {
	r.member.ProposeAsync(command, func(result any, err error) { done(result, mapReplicaError(err)) })
}

func (r replicaReplicator) Post(event func()) { r.member.Post(event) }
func (r replicaReplicator) ReadBarrier(ctx context.Context) error {
	return mapReplicaError(r.member.ReadBarrier(ctx))
}
func (r replicaReplicator) Status() consensus.Status          { return r.member.Status() }
func (r replicaReplicator) Now() time.Duration                { return r.member.Now() }
func (r replicaReplicator) Incarnation() topology.Incarnation { return r.member.Incarnation() }
func (r replicaReplicator) PeerAddress() string               { return r.member.Address() }
func (r replicaReplicator) Stop() error                       { return r.member.Stop() }

func (r replicaReplicator) TransferLeadership(ctx context.Context, target topology.ReplicaID) error {
	return r.member.TransferLeadership(ctx, target)
}

func (r replicaReplicator) ChangeMembership(ctx context.Context, change consensus.Change) error {
	_, err := r.member.ChangeMembership(ctx, change)
	return err
}

// mapReplicaError maps the replica's errors to those of Replicator.Propose.
func mapReplicaError(err error) error {
	var notLeader *replica.NotLeaderError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, replica.ErrOutcomeUnknown):
		return ErrOutcomeUnknown
	case errors.As(err, &notLeader), errors.Is(err, replica.ErrNotMember), errors.Is(err, replica.ErrStopped):
		return ErrNotLeader
	}
	return fmt.Errorf("%w: %w", ErrNotAccepted, err)
}
