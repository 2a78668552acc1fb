package controller

import (
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
)

// withDetail returns an error of the schema with its typed detail.
func withDetail(code connect.Code, cause error, message proto.Message) error {
	refused := connect.NewError(code, cause)
	if detail, err := connect.NewErrorDetail(message); err == nil {
		refused.AddDetail(detail)
	}
	return refused
}

// refusalError turns a refusal of the control state into the schema's.
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

func violationsError(found controlstate.FieldViolationsError) error {
	detail := &quartzdockv1.FieldViolations{}
	for _, violation := range found {
		detail.Violations = append(detail.Violations, &quartzdockv1.FieldViolation{
			Field:       violation.Field,
			Description: violation.Description,
		})
	}
	return withDetail(connect.CodeInvalidArgument, found, detail)
}

// violation is a single bad field.
func violation(field, description string) error {
	return violationsError(controlstate.FieldViolationsError{{Field: field, Description: description}})
}

// proposalError turns a failed proposal into an answer that says whether to
// send again.
func (s *adminServer) proposalError(err error) error {
	if errors.Is(err, ErrNotLeader) {
		return s.notLeader()
	}
	return connect.NewError(connect.CodeUnavailable, err)
}

// notLeader names the leader's address for operators.
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

// membershipError turns a refused membership change into an answer.
func membershipError(err error) error {
	var refused *consensus.ChangeError
	if errors.As(err, &refused) || errors.Is(err, consensus.ErrNotCaughtUp) {
		return connect.NewError(connect.CodeFailedPrecondition, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
