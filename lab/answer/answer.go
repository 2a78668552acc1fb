// Package answer makes the bodies that stand-ins answer with and checks them
// at the caller: a body names its request and key, and a checksum at its end
// shows whether it is whole. The check does not depend on the product.
package answer

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Errors of Check.
var (
	// ErrDamaged means that the body is cut short or changed.
	ErrDamaged = errors.New("answer is cut short or changed")
	// ErrForeign means that the body belongs to another request.
	ErrForeign = errors.New("answer belongs to another request")
)

// checksumBytes is the length of the checksum at the end of a body.
const checksumBytes = 16

const filler = "0123456789abcdefghijklmnopqrstuvwxyz0123456789abcdefghijklmnopqr"

// New makes a body of about size bytes, which is never less than its header
// and checksum.
func New(requestID, key string, size int) *bytes.Buffer {
	var body bytes.Buffer
	body.WriteString(header(requestID, key))
	for body.Len()+checksumBytes < size {
		body.WriteString(filler[:min(len(filler), size-checksumBytes-body.Len())])
	}
	fmt.Fprintf(&body, "%016x", xxhash.Sum64(body.Bytes()))
	return &body
}

func header(requestID, key string) string {
	return fmt.Sprintf("request %s key %s\n", requestID, key)
}

// Check says whether body is the whole answer to a request.
func Check(body []byte, requestID, key string) error {
	if len(body) < checksumBytes {
		return fmt.Errorf("%w: %d bytes", ErrDamaged, len(body))
	}
	content, checksum := body[:len(body)-checksumBytes], string(body[len(body)-checksumBytes:])
	if fmt.Sprintf("%016x", xxhash.Sum64(content)) != checksum {
		return fmt.Errorf("%w: %d bytes", ErrDamaged, len(body))
	}
	if want := header(requestID, key); !strings.HasPrefix(string(content[:min(len(content), len(want))]), want) {
		first, _, _ := strings.Cut(string(content[:min(len(content), len(want))]), "\n")
		return fmt.Errorf("%w: %q", ErrForeign, first)
	}
	return nil
}
