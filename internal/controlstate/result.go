package controlstate

import (
	"fmt"
	"strings"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Result is the outcome of a command.
type Result struct {
	// Revision at which the change was made. In a rejection it is the current
	// configuration revision.
	Revision topology.Revision
	// Repeated is set if this is the cached result of an earlier command with the
	// same request ID.
	Repeated bool
	// At most one of these errors is set. If one is set, nothing was changed.
	RevisionConflict *RevisionConflictError
	RequestIDReused  *RequestIDReusedError
	Violations       FieldViolationsError

	// IDs of the objects that the command changed or created, otherwise zero.
	Service    topology.ServiceID
	Backend    topology.BackendID
	Controller topology.ReplicaID
	LoadShift  uint32
	// OwnershipApplied and OwnershipSkipped count the applied and the skipped
	// changes of a ChangeOwnership batch.
	OwnershipApplied, OwnershipSkipped int
}

// Err returns the reason for a rejection, or nil if the command was accepted.
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

// RevisionConflictError rejects a change whose expected revision is not the
// current revision of the configuration.
type RevisionConflictError struct {
	Expected topology.Revision
	// Winner is the current revision of the configuration, Author the author of
	// that revision.
	Winner topology.Revision
	Author string
}

// Error implements error.
func (e *RevisionConflictError) Error() string {
	return fmt.Sprintf("expected revision %d, but revision %d by %q is in force",
		e.Expected, e.Winner, e.Author)
}

// RequestIDReusedError rejects a command whose request ID was already used for
// different content.
type RequestIDReusedError struct {
	RequestID string
	// First is the revision of the first command with this ID, or zero if that
	// command was rejected. Author is its author.
	First  topology.Revision
	Author string
}

// Error implements error.
func (e *RequestIDReusedError) Error() string {
	return fmt.Sprintf("request id %q was used with other content by %q at revision %d",
		e.RequestID, e.Author, e.First)
}

// FieldViolation describes one invalid field of a command.
type FieldViolation struct {
	// Field is the path in the schema, for example "service.rules[2].key.name".
	Field       string
	Description string
}

// FieldViolationsError lists every invalid field of a command.
type FieldViolationsError []FieldViolation

// Error implements error.
func (e FieldViolationsError) Error() string {
	lines := make([]string, len(e))
	for index, violation := range e {
		lines[index] = violation.Field + ": " + violation.Description
	}
	return strings.Join(lines, "; ")
}

// violationList collects the invalid fields of one command.
type violationList struct{ list FieldViolationsError }

// require adds a violation unless ok.
func (v *violationList) require(ok bool, field, format string, arguments ...any) {
	if ok {
		return
	}
	v.list = append(v.list, FieldViolation{Field: field, Description: fmt.Sprintf(format, arguments...)})
}
