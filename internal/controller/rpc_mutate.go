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

// changeTimeout bounds the wait for a quorum.
const changeTimeout = 10 * time.Second

// maximumWait bounds how long a call waits for a revision to be in force.
const maximumWait = time.Minute

// mutate makes an operator's change: it checks it against the state that a
// quorum confirms, and then puts it through the log, which checks it again.
func (s *adminServer) mutate(ctx context.Context, mutation *quartzdockv1.Mutation, command controlstate.Command) (controlstate.Result, *quartzdockv1.MutationResult, error) {
	var none controlstate.Result
	if mutation == nil {
		return none, nil, violation("mutation", "is missing")
	}
	if wait := mutation.GetWaitInForce(); wait != nil && (wait.AsDuration() < 0 || wait.AsDuration() > maximumWait) {
		return none, nil, violation("mutation.wait_in_force", "want 0 to "+maximumWait.String())
	}
	command.UnixMilli = time.Now().UnixMilli()
	command.RequestID = mutation.GetRequestId()
	command.Author = mutation.GetAuthor()
	command.ExpectedRevision = topology.Revision(mutation.GetExpectedRevision())
	if err := command.SetDigest(); err != nil {
		return none, nil, connect.NewError(connect.CodeInternal, err)
	}
	checked, err := s.checkFirst(ctx, command)
	if err != nil {
		return none, nil, err
	}
	if mutation.GetDryRun() || checked.Repeated {
		return s.answer(ctx, mutation, checked)
	}
	result, err := s.propose(ctx, command)
	if err != nil {
		return none, nil, err
	}
	return s.answer(ctx, mutation, result)
}

// checkFirst returns what the state would answer. A refusal is an error.
func (s *adminServer) checkFirst(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	c := s.controller
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return controlstate.Result{}, s.proposalError(err)
	}
	var result controlstate.Result
	if err := s.read(ctx, func() { result = c.state.Check(command) }); err != nil {
		return result, err
	}
	return result, refusalError(&result)
}

func (s *adminServer) propose(ctx context.Context, command controlstate.Command) (controlstate.Result, error) {
	data, err := controlstate.EncodeCommand(command)
	if err != nil {
		return controlstate.Result{}, connect.NewError(connect.CodeInternal, err)
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
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

// answer waits, if asked to, until the change is in force everywhere.
func (s *adminServer) answer(ctx context.Context, mutation *quartzdockv1.Mutation, result controlstate.Result) (controlstate.Result, *quartzdockv1.MutationResult, error) {
	answer := &quartzdockv1.MutationResult{Revision: uint64(result.Revision), Repeated: result.Repeated}
	wait := mutation.GetWaitInForce()
	if wait == nil || mutation.GetDryRun() {
		return result, answer, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait.AsDuration())
	defer cancel()
	state := s.controller.waitInForce(ctx, result.Revision)
	answer.InForce = s.inForceMessage(&state)
	return result, answer, nil
}
