package controller

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// quorumTimeout limits the wait for a quorum.
const quorumTimeout = 10 * time.Second

// maxInForceWait limits how long a call may wait for a revision to be in force.
const maxInForceWait = time.Minute

// mutate makes an operator's change. It checks the command against the state
// that a quorum has confirmed as the newest, and then proposes it; the command
// is checked again when it is applied.
func (s *adminServer) mutate(ctx context.Context, mutation *quartzdockv1.Mutation, command controlstate.Command) (controlstate.Result, *quartzdockv1.MutationResult, error) {
	var zero controlstate.Result
	if mutation == nil {
		return zero, nil, fieldViolation("mutation", "is missing")
	}
	if wait := mutation.GetWaitInForce(); wait != nil && (wait.AsDuration() < 0 || wait.AsDuration() > maxInForceWait) {
		return zero, nil, fieldViolation("mutation.wait_in_force", "want 0 to "+maxInForceWait.String())
	}
	command.UnixMilli = time.Now().UnixMilli()
	command.RequestID = mutation.GetRequestId()
	command.Author = mutation.GetAuthor()
	command.ExpectedRevision = topology.Revision(mutation.GetExpectedRevision())
	if err := command.SetDigest(); err != nil {
		return zero, nil, connect.NewError(connect.CodeInternal, err)
	}
	checked, err := s.precheck(ctx, command)
	if err != nil {
		return zero, nil, err
	}
	if mutation.GetDryRun() || checked.Repeated {
		return s.mutationResult(ctx, mutation, checked)
	}
	result, err := s.propose(ctx, command)
	if err != nil {
		return zero, nil, err
	}
	return s.mutationResult(ctx, mutation, result)
}

// precheck returns the result that the command would have now. A rejected
// command is returned as an error.
func (s *adminServer) precheck(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	c := s.controller
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return controlstate.Result{}, s.proposalError(err)
	}
	var result controlstate.Result
	if err := s.readState(ctx, func() { result = c.state.Check(command) }); err != nil {
		return result, err
	}
	return result, refusalError(&result)
}

func (s *adminServer) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	data, err := controlstate.EncodeCommand(command)
	if err != nil {
		return controlstate.Result{}, connect.NewError(connect.CodeInternal, err)
	}
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
	defer cancel()
	applied, err := s.controller.replica.Propose(ctx, data)
	if err != nil {
		return controlstate.Result{}, s.proposalError(err)
	}
	result, ok := applied.(controlstate.Result)
	if !ok {
		return controlstate.Result{}, connect.NewError(connect.CodeInternal, errors.New("the change could not be applied"))
	}
	return result, refusalError(&result)
}

// mutationResult returns the result of a change for the caller. If requested,
// it first waits until the change is in force everywhere.
func (s *adminServer) mutationResult(ctx context.Context, mutation *quartzdockv1.Mutation, result controlstate.Result) (controlstate.Result, *quartzdockv1.MutationResult, error) {
	message := &quartzdockv1.MutationResult{Revision: uint64(result.Revision), Repeated: result.Repeated}
	wait := mutation.GetWaitInForce()
	if wait == nil || mutation.GetDryRun() {
		return result, message, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait.AsDuration())
	defer cancel()
	progress := s.controller.waitInForce(ctx, result.Revision)
	message.InForce = s.inForceMessage(&progress)
	return result, message, nil
}
