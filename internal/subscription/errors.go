package subscription

import (
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

var (
	errUnexpectedAnswer = errors.New("controller answered Hello with neither Welcome nor Redirect")
	errRedirected       = errors.New("controller redirected to another one")
)

// RefusedError is returned when a controller refuses the session.
type RefusedError struct {
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "session refused: " + e.Reason }

// RevisionRevertedError is returned when a controller sends routing data older
// than the present table.
type RevisionRevertedError struct {
	Have, Got topology.Revision
}

// Error implements error.
func (e *RevisionRevertedError) Error() string {
	return fmt.Sprintf("received routing data of revision %d, older than revision %d", e.Got, e.Have)
}

// WrongGroupError is returned when a controller sends routing data of another
// group.
type WrongGroupError struct {
	Want, Got topology.GroupID
}

// Error implements error.
func (e *WrongGroupError) Error() string {
	return fmt.Sprintf("received routing data of group %d, want group %d", e.Got, e.Want)
}

// LeaderContactError is returned when a controller has been without contact with
// a leader for too long.
type LeaderContactError struct {
	Contact time.Duration
}

// Error implements error.
func (e *LeaderContactError) Error() string {
	return fmt.Sprintf("controller has not heard from a leader for %v", e.Contact)
}
