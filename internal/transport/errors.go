package transport

import (
	"errors"
	"fmt"
)

// Errors of a connection. Receive also returns io.EOF if the peer closed the
// connection between two frames, and an error that wraps os.ErrDeadlineExceeded
// if a timeout of Options expired.
var (
	// ErrFrameTooLarge means that a frame is longer than Options.MaxFrame.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrDamaged means that a frame was truncated, that its checksum is wrong, or
	// that its payload is not exactly one message of the expected type.
	ErrDamaged = errors.New("damaged frame")
	// ErrClosed means that the connection or listener was closed locally.
	ErrClosed = errors.New("connection closed")
)

// FrameTooLargeError reports the size of a rejected frame and the limit. It wraps
// ErrFrameTooLarge.
type FrameTooLargeError struct {
	// Size and Limit are in bytes of payload.
	Size, Limit int
}

// Error implements error.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame too large: %d bytes, limit %d", e.Size, e.Limit)
}

// Unwrap returns ErrFrameTooLarge.
func (e *FrameTooLargeError) Unwrap() error { return ErrFrameTooLarge }
