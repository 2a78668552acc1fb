package transport

import (
	"errors"
	"fmt"
)

// Errors of a connection. Receive returns io.EOF when the peer closed between
// two frames, and an error that wraps os.ErrDeadlineExceeded when a timeout of
// Options passed.
var (
	// ErrFrameTooLarge: a frame is longer than Options.MaxFrame.
	ErrFrameTooLarge = errors.New("frame too large")
	// ErrDamaged: a frame was cut short, its checksum is wrong, or its payload
	// is not exactly one message of the expected type.
	ErrDamaged = errors.New("damaged frame")
	// ErrClosed: the connection was closed at this end.
	ErrClosed = errors.New("connection closed")
)

// FrameTooLargeError gives the sizes of a frame that was refused. It wraps
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
