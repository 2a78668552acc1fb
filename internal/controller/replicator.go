package controller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Replicator is the replicated log that drives a controller. internal/replica
// provides it; tests have one without peers.
type Replicator interface {
	// Propose returns the result of Machine.Apply. It fails with ErrNotLeader
	// or ErrNotAccepted where the command has no effect, and with
	// ErrOutcomeUnknown where it may or may not be applied later.
	Propose(ctx context.Context, command []byte) (any, error)
	// ProposeAsync is Propose from the control goroutine; done runs there.
	ProposeAsync(command []byte, done func(result any, err error))
	// Post runs an event on the control goroutine.
	Post(event func())
	// ReadBarrier returns once all that was committed before is applied here.
	// It fails at a replica that does not lead.
	ReadBarrier(ctx context.Context) error
	ChangeMembership(ctx context.Context, change consensus.Change) error
	// TransferLeadership returns once another voter has been asked to lead and
	// this one leads no more.
	TransferLeadership(ctx context.Context, target topology.ReplicaID) error
	// Status may be called from any goroutine.
	Status() consensus.Status
	// Incarnation is that of the data folder, PeerAddress where other members
	// reach this one.
	Incarnation() topology.Incarnation
	PeerAddress() string
	// Now reads the clock that Status refers to, from any goroutine.
	Now() time.Duration
	Stop() error
}

// Machine is what a Replicator drives, all on its control goroutine.
type Machine interface {
	// Apply takes a committed command. Its result goes to the proposer.
	Apply(index topology.Revision, command []byte) any
	// Snapshot and Restore copy the state.
	Snapshot() ([]byte, error)
	// Freeze copies the state; the result encodes the copy on any goroutine.
	Freeze() (encode func() ([]byte, error))
	Restore(data []byte) error
	// Tick is called at short intervals.
	Tick(now time.Duration, status consensus.Status)
}

// Errors of Replicator.Propose.
var (
	// ErrNotLeader: nothing was proposed.
	ErrNotLeader = errors.New("this controller does not lead")
	// ErrNotAccepted: the command has no effect, for example for want of disk
	// space.
	ErrNotAccepted = errors.New("not accepted")
	// ErrOutcomeUnknown: the command may or may not be applied later. A resend
	// with the same request id finds out.
	ErrOutcomeUnknown = errors.New("leadership ended before the outcome was known; send again with the same request id")
)

// commandError says that a command of the log cannot be applied.
type commandError struct{ cause error }

func (e *commandError) Error() string { return fmt.Sprintf("command of the log: %v", e.cause) }
func (e *commandError) Unwrap() error { return e.cause }
