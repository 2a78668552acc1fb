package subscription

import (
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

var (
	errUnexpectedAnswer = errors.New("controller answered Hello with neither Welcome nor Redirect")
	errRedirected       = errors.New("controller named another one")
)

// RefusedError says that a controller refused the session.
type RefusedError struct {
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "session refused: " + e.Reason }

// RevisionRevertedError says that a controller sent routing data older than
// the table in force.
type RevisionRevertedError struct {
	Have, Got topology.Revision
}

// Error implements error.
func (e *RevisionRevertedError) Error() string {
	return fmt.Sprintf("routing data of revision %d after revision %d", e.Got, e.Have)
}

// WrongGroupError says that a controller of another group answered.
type WrongGroupError struct {
	Want, Got topology.GroupID
}

// Error implements error.
func (e *WrongGroupError) Error() string {
	return fmt.Sprintf("routing data of group %d, want group %d", e.Got, e.Want)
}

// LeaderContactError says that a controller has been without a leader for too
// long.
type LeaderContactError struct {
	Contact time.Duration
}

// Error implements error.
func (e *LeaderContactError) Error() string {
	return fmt.Sprintf("controller has not heard from a leader for %v", e.Contact)
}
