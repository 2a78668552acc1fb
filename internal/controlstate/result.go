package controlstate

import (
	"fmt"
	"strings"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Result is the outcome of a command.
type Result struct {
	// Revision at which the change was made.
	Revision topology.Revision
	// Repeated says that this is the answer to an earlier command with the same
	// request id.
	Repeated bool
	// At most one of the refusals is set; then nothing was changed.
	RevisionConflict *RevisionConflictError
	RequestIDReused  *RequestIDReusedError
	Violations       FieldViolationsError

	// Identities given by the command, zero where none.
	Service    topology.ServiceID
	Backend    topology.BackendID
	Controller topology.ReplicaID
	LoadShift  uint32
	// OwnershipApplied and OwnershipSkipped count the changes of a batch.
	OwnershipApplied, OwnershipSkipped int
}

// Err returns the refusal, or nil.
func (r Result) Err() error {
	switch {
	case r.RevisionConflict != nil:
		return r.RevisionConflict
	case r.RequestIDReused != nil:
		return r.RequestIDReused
	case len(r.Violations) > 0:
		return r.Violations
	}
	return nil
}

// RevisionConflictError refuses a change because another came first.
type RevisionConflictError struct {
	Expected topology.Revision
	// Winner is the revision of the change that came first, Author its author.
	Winner topology.Revision
	Author string
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but revision %d by %q is in force",
		e.Expected, e.Winner, e.Author)
}

// RequestIDReusedError refuses a request id that came with other content.
type RequestIDReusedError struct {
	RequestID string
	// First is the revision of the first request with this id; zero if that was
	// refused.
	First  topology.Revision
	Author string
}

// Error implements error.
func (e *RequestIDReusedError) Error() string {
	return fmt.Sprintf("request id %q was used with other content by %q at revision %d",
		e.RequestID, e.Author, e.First)
}

// FieldViolation is one bad field of a change.
type FieldViolation struct {
	// Field is the path in the schema, for example "service.rules[2].key.name".
	Field       string
	Description string
}

// FieldViolationsError lists every bad field of a change.
type FieldViolationsError []FieldViolation

// Error implements error.
func (e FieldViolationsError) Error() string {
	lines := make([]string, len(e))
	for index, violation := range e {
		lines[index] = violation.Field + ": " + violation.Description
	}
	return strings.Join(lines, "; ")
}

// violations collects the bad fields of one change.
type violations struct{ found FieldViolationsError }

// require adds a violation unless ok.
func (v *violations) require(ok bool, field, format string, arguments ...any) {
	if ok {
		return
	}
	v.found = append(v.found, FieldViolation{Field: field, Description: fmt.Sprintf(format, arguments...)})
}
