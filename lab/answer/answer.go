// Package answer creates the response bodies of simulated back ends and checks
// them at the caller: a body contains its request id and key, and ends with a
// checksum that detects truncation and corruption. The check does not depend on
// the product.
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
	// ErrCorrupt means that the body is truncated or changed.
	ErrCorrupt = errors.New("answer is cut short or changed")
	// ErrWrongRequest means that the body belongs to another request.
	ErrWrongRequest = errors.New("answer belongs to another request")
)

// checksumBytes is the length of the checksum at the end of a body.
const checksumBytes = 16

const padding = "0123456789abcdefghijklmnopqrstuvwxyz0123456789abcdefghijklmnopqr"

// New creates a body of size bytes, or more if its header and checksum need more.
func New(requestID, key string, size int) *bytes.Buffer {
	var body bytes.Buffer
	body.WriteString(header(requestID, key))
	for body.Len()+checksumBytes < size {
		body.WriteString(padding[:min(len(padding), size-checksumBytes-body.Len())])
	}
	fmt.Fprintf(&body, "%016x", xxhash.Sum64(body.Bytes()))
	return &body
}

func header(requestID, key string) string {
	return fmt.Sprintf("request %s key %s\n", requestID, key)
}

// Check checks that body is the complete answer to a request. Its errors wrap
// ErrCorrupt or ErrWrongRequest.
func Check(body []byte, requestID, key string) error {
	if len(body) < checksumBytes {
		return fmt.Errorf("%w: %d bytes", ErrCorrupt, len(body))
	}
	content, checksum := body[:len(body)-checksumBytes], string(body[len(body)-checksumBytes:])
	if fmt.Sprintf("%016x", xxhash.Sum64(content)) != checksum {
		return fmt.Errorf("%w: %d bytes", ErrCorrupt, len(body))
	}
	if want := header(requestID, key); !strings.HasPrefix(string(content[:min(len(content), len(want))]), want) {
		first, _, _ := strings.Cut(string(content[:min(len(content), len(want))]), "\n")
		return fmt.Errorf("%w: %q", ErrWrongRequest, first)
	}
	return nil
}
