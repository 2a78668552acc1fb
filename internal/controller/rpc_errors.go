package controller

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
)

// withDetail returns an RPC error with a typed detail.
func withDetail(code connect.Code, cause error, message proto.Message) error {
	refused := connect.NewError(code, cause)
	if detail, err := connect.NewErrorDetail(message); err == nil {
		refused.AddDetail(detail)
	}
	return refused
}

// refusalError converts a command that the control state rejected to an RPC
// error. It returns nil if the command was accepted.
func refusalError(result *controlstate.Result) error {
	switch {
	case result.RevisionConflict != nil:
		conflict := result.RevisionConflict
		return withDetail(connect.CodeAborted, conflict, &quartzdockv1.RevisionConflict{
			ExpectedRevision: uint64(conflict.Expected),
			WinningRevision:  uint64(conflict.Winner),
			WinningAuthor:    conflict.Author,
		})
	case result.RequestIDReused != nil:
		reused := result.RequestIDReused
		return withDetail(connect.CodeAlreadyExists, reused, &quartzdockv1.RequestIDReused{
			RequestId:     reused.RequestID,
			FirstRevision: uint64(reused.First),
			FirstAuthor:   reused.Author,
		})
	case len(result.Violations) > 0:
		return violationsError(result.Violations)
	}
	return nil
}

func violationsError(violations controlstate.FieldViolationsError) error {
	detail := &quartzdockv1.FieldViolations{}
	for _, violation := range violations {
		detail.Violations = append(detail.Violations, &quartzdockv1.FieldViolation{
			Field:       violation.Field,
			Description: violation.Description,
		})
	}
	return withDetail(connect.CodeInvalidArgument, violations, detail)
}

// fieldViolation returns an error for a single invalid field.
func fieldViolation(field, description string) error {
	return violationsError(controlstate.FieldViolationsError{{Field: field, Description: description}})
}

// proposalError converts the error of a failed proposal to an RPC error, which
// tells the caller whether to retry.
func (s *adminServer) proposalError(err error) error {
	if errors.Is(err, ErrNotLeader) {
		return s.notLeader()
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// notLeader returns an error with the RPC address of the leader.
func (s *adminServer) notLeader() error {
	c := s.controller
	detail := &quartzdockv1.NotLeader{}
	address := make(chan string, 1)
	c.replica.Post(func() { address <- c.leaderRPCAddress(c.replica.Status()) })
	select {
	case detail.LeaderRpcAddress = <-address:
	case <-c.stopping:
	}
	return withDetail(connect.CodeUnavailable, ErrNotLeader, detail)
}

// membershipError converts the error of a failed membership change to an RPC
// error.
func membershipError(err error) error {
	var refused *consensus.ChangeError
	if errors.As(err, &refused) || errors.Is(err, consensus.ErrNotCaughtUp) {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
