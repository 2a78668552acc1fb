package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Replicator is the replicated log that drives a controller's state machine.
// replica.Replica implements it through ReplicateOn; tests use one without
// peers.
type Replicator interface {
	// Propose returns the result of StateMachine.Apply. It fails with
	// ErrNotLeader or ErrNotAccepted if the command has no effect, and with
	// ErrOutcomeUnknown if it may or may not be applied later.
	Propose(ctx context.Context, command []byte) (any, error)
	// ProposeAsync is Propose for calls from the control goroutine; done also
	// runs there.
	ProposeAsync(command []byte, done func(result any, err error))
	// Post runs event on the control goroutine, without waiting for it.
	Post(event func())
	// ReadBarrier returns once everything committed before the call is applied
	// here. It fails at a replica that does not lead.
	ReadBarrier(ctx context.Context) error
	ChangeMembership(ctx context.Context, change consensus.Change) error
	// TransferLeadership returns once another voter has been asked to become
	// leader and this replica no longer leads.
	TransferLeadership(ctx context.Context, target topology.ReplicaID) error
	// Status may be called from any goroutine.
	Status() consensus.Status
	// Incarnation identifies the data folder; PeerAddress is where other members
	// reach this one.
	Incarnation() topology.Incarnation
	PeerAddress() string
	// Now returns the time on the clock that Status uses. It may be called from
	// any goroutine.
	Now() time.Duration
	Stop() error
}

// StateMachine is what a Replicator drives. All methods run on its control
// goroutine.
type StateMachine interface {
	// Apply applies a committed command. Its result is returned to the proposer.
	Apply(index topology.Revision, command []byte) any
	// Snapshot encodes the state, Restore replaces it.
	Snapshot() ([]byte, error)
	// Freeze copies the state; the returned function encodes the copy and may run
	// on any goroutine.
	Freeze() (encode func() ([]byte, error))
	Restore(data []byte) error
	// Tick is called periodically at short intervals.
	Tick(now time.Duration, status consensus.Status)
}

// Errors of Replicator.Propose.
var (
	// ErrNotLeader means that nothing was proposed.
	ErrNotLeader = errors.New("this controller does not lead")
	// ErrNotAccepted means that the command has no effect, for example because
	// the disk is full.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown means that the command may or may not be applied later.
	// Sending it again with the same request ID tells which.
	ErrOutcomeUnknown = errors.New("leadership ended before the outcome was known; send again with the same request id")
)

// commandError reports that a command of the log cannot be decoded.
type commandError struct{ cause error }

func (e *commandError) Error() string { return fmt.Sprintf("decode command of the log: %v", e.cause) }
func (e *commandError) Unwrap() error { return e.cause }
