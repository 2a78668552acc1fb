package admin

import (
	"errors"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
)

// explainError converts the error of a call into a message on which an operator
// can act. requestID is empty for a call that changes nothing.
func explainError(err error, requestID string) error {
	if err == nil {
		return nil
	}
	if violations := errorDetail[*quartzdockv1.FieldViolations](err); violations != nil {
		return explainViolations(violations)
	}
	if conflict := errorDetail[*quartzdockv1.RevisionConflict](err); conflict != nil {
		return fmt.Errorf("refused, nothing was changed: revision %d was expected, but %s made revision %d first; look at the change and try again",
			conflict.GetExpectedRevision(), authorName(conflict.GetWinningAuthor()), conflict.GetWinningRevision())
	}
	if reused := errorDetail[*quartzdockv1.RequestIDReused](err); reused != nil {
		return fmt.Errorf("refused, nothing was changed: request id %s was used by %s at revision %d with other content; use a new id",
			reused.GetRequestId(), authorName(reused.GetFirstAuthor()), reused.GetFirstRevision())
	}
	if errors.Is(err, ErrNoAnswer) && requestID != "" {
		return fmt.Errorf("%w\nthe change may or may not have been made; repeat the command with --request-id %s to learn which", err, requestID)
	}
	var failure *connect.Error
	if errors.As(err, &failure) && connect.IsWireError(err) {
		return fmt.Errorf("refused (%s): %s", strings.ReplaceAll(failure.Code().String(), "_", " "), failure.Message())
	}
	return err
}

// explainViolations lists each invalid field on a line of its own.
func explainViolations(violations *quartzdockv1.FieldViolations) error {
	lines := []string{"refused, nothing was changed:"}
	for _, violation := range violations.GetViolations() {
		lines = append(lines, fmt.Sprintf("  %s: %s", violation.GetField(), violation.GetDescription()))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// authorName returns the author's name, or a placeholder if it is empty.
func authorName(author string) string {
	if author == "" {
		return "an unnamed operator"
	}
	return author
}
