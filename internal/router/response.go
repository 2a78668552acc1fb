package router

import (
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/quartzdock/quartzdock/internal/wire"
)

var errDigestMismatch = errors.New("response does not match its digest")

// copyBufferBytes is the size of the buffer through which a response is
// streamed, whatever its length.
const copyBufferBytes = 32 * kibibyte

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// responseRelay relays a back end's response to the caller.
type responseRelay struct {
	forwarder *forwarder
	response  *http.Response
	digest    xxhash.Digest
	received  int64
}

// relayResponse relays a response to the caller. A response of up to
// BufferedResponseBytes is verified before its first byte is relayed, so that a
// damaged one becomes an error response. A longer one is streamed; if it turns
// out to be damaged, the caller's connection is closed, so that the caller sees
// an incomplete response.
func (f *forwarder) relayResponse(result attemptResult) *errorResponse {
	defer result.release()
	defer result.response.Body.Close()
	relay := &responseRelay{forwarder: f, response: result.response}
	relay.digest.Reset()
	buffer := responseBuffers.Get().(*[]byte)
	defer responseBuffers.Put(buffer)
	prefix, complete, err := relay.readPrefix(*buffer)
	*buffer = prefix[:0]
	if err != nil {
		f.router.metrics.truncated.Inc()
		return relay.truncationError(err)
	}
	if complete {
		relay.writeBuffered(prefix)
		return nil
	}
	relay.writeStreamed(prefix)
	return nil
}

var responseBuffers = sync.Pool{New: func() any { return new([]byte) }}

// truncationError returns the error response for a response that ended early or
// was damaged before any of it was relayed.
func (relay *responseRelay) truncationError(err error) *errorResponse {
	if isDeadlineError(err) || isDeadlineError(relay.forwarder.ctx.Err()) {
		return unknownOutcomeError(wire.ReasonTimedOut, "the answer was not complete within the deadline")
	}
	return unknownOutcomeError(wire.ReasonTruncated, "the back end's answer broke off")
}

// readPrefix reads up to BufferedResponseBytes. It returns complete if that is
// the whole response and its digest was verified.
func (relay *responseRelay) readPrefix(buffer []byte) (prefix []byte, complete bool, err error) {
	limit := relay.forwarder.router.config.BufferedResponseBytes
	buffer = relay.sizeBuffer(buffer, limit)
	for len(buffer) < limit {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		free := buffer[len(buffer):min(cap(buffer), limit)]
		count, err := relay.readAndDigest(free)
		buffer = buffer[:len(buffer)+count]
		if errors.Is(err, io.EOF) {
			return buffer, true, relay.verifyDigest()
		}
		if err != nil {
			return buffer, false, err
		}
	}
	return buffer, false, nil
}

// initialBufferBytes is the initial size of the buffer for responses without
// Content-Length.
const initialBufferBytes = 4 * kibibyte

// sizeBuffer returns a buffer for the whole response, if it is short enough. It
// has one byte more, so that the end is detected without growing the buffer.
func (relay *responseRelay) sizeBuffer(buffer []byte, limit int) []byte {
	size := initialBufferBytes
	if length := relay.response.ContentLength; length >= 0 {
		size = int(min(length+1, int64(limit)))
	}
	if cap(buffer) < size {
		return make([]byte, 0, size)
	}
	return buffer[:0]
}

// readAndDigest reads from the response body and updates the digest.
func (relay *responseRelay) readAndDigest(buffer []byte) (int, error) {
	count, err := relay.response.Body.Read(buffer)
	_, _ = relay.digest.Write(buffer[:count])
	relay.received += int64(count)
	return count, err
}

// verifyDigest compares the digest with the one that the agent sent, if any.
// The HTTP library has checked the length.
func (relay *responseRelay) verifyDigest() error {
	stated := relay.response.Trailer.Get(wire.TrailerDigest)
	if stated == "" {
		stated = relay.response.Header.Get(wire.TrailerDigest)
	}
	if stated == "" || stated == digestHex(&relay.digest) {
		return nil
	}
	return errDigestMismatch
}

// digestHex returns the digest in the form used in headers.
func digestHex(digest *xxhash.Digest) string {
	var sum [8]byte
	return hex.EncodeToString(digest.Sum(sum[:0]))
}

// header copies the response header to the caller's header, adds the router's
// own fields and returns a setter for more.
func (relay *responseRelay) header() *headerSetter {
	f := relay.forwarder
	header := f.writer.Header()
	copyEndToEndHeaders(header, relay.response.Header)
	delete(header, "Content-Length")
	added := &headerSetter{header: header}
	added.set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	added.set(wire.HeaderRevision, strconv.FormatUint(uint64(f.lastAttempt.target.revision), 10))
	if f.request.id != "" {
		added.set(wire.HeaderRequestID, f.request.id)
	}
	f.router.addConnectionClose(header)
	return added
}

// writeBuffered sends a response that was read and verified completely.
func (relay *responseRelay) writeBuffered(content []byte) {
	added := relay.header()
	if responseHasBody(relay.forwarder.request.incoming.Method, relay.response.StatusCode) {
		added.set("Content-Length", strconv.Itoa(len(content)))
		added.set(wire.TrailerDigest, digestHex(&relay.digest))
	} else if length := relay.response.Header.Get("Content-Length"); length != "" {
		added.set("Content-Length", length)
	}
	relay.forwarder.extendWriteDeadline()
	relay.forwarder.writer.WriteHeader(relay.response.StatusCode)
	// A write error means that the caller disconnected; nothing is left to do.
	_, _ = relay.forwarder.writer.Write(content)
}

// responseHasBody reports whether a response has a body (RFC 9110, 6.4.1).
func responseHasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeStreamed streams a long response. It withholds the last bytes until the
// digest was verified. A failure closes the caller's connection, because the
// status has already been sent (RFC 9112, section 8).
func (relay *responseRelay) writeStreamed(prefix []byte) {
	added := relay.header()
	if length := relay.response.ContentLength; length >= 0 {
		added.set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		added.set("Trailer", wire.TrailerDigest)
	}
	relay.forwarder.writer.WriteHeader(relay.response.StatusCode)
	if err := relay.copy(prefix); err != nil {
		relay.forwarder.router.metrics.truncated.Inc()
		panic(http.ErrAbortHandler)
	}
	if relay.response.ContentLength < 0 {
		added.set(wire.TrailerDigest, digestHex(&relay.digest))
	}
}

// copy sends prefix and the rest of the response. Once all bytes of a response
// of known length were read, it keeps those not yet sent until the digest was
// verified.
func (relay *responseRelay) copy(prefix []byte) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	if !relay.bodyReceived() {
		if err := relay.writeAndFlush(prefix); err != nil {
			return err
		}
		prefix = nil
	}
	for {
		count, err := relay.readAndDigest(buffer[:])
		if errors.Is(err, io.EOF) {
			return relay.verifyAndSend(prefix, buffer[:count])
		}
		if err != nil {
			return err
		}
		if relay.bodyReceived() {
			prefix = append(prefix, buffer[:count]...)
			continue
		}
		if err := relay.writeAndFlush(buffer[:count]); err != nil {
			return err
		}
	}
}

// bodyReceived reports whether all bytes of a response with Content-Length have
// been read. Bytes not yet sent must then wait for the digest.
func (relay *responseRelay) bodyReceived() bool {
	return relay.response.ContentLength >= 0 && relay.received >= relay.response.ContentLength
}

// verifyAndSend verifies the digest and sends the last bytes.
func (relay *responseRelay) verifyAndSend(parts ...[]byte) error {
	if err := relay.verifyDigest(); err != nil {
		return err
	}
	for _, part := range parts {
		if err := relay.writeAndFlush(part); err != nil {
			return err
		}
	}
	return nil
}

// writeAndFlush sends bytes immediately. It blocks until the caller accepts
// them, so the back end's response is read no faster than that.
func (relay *responseRelay) writeAndFlush(content []byte) error {
	if len(content) == 0 {
		return nil
	}
	relay.forwarder.extendWriteDeadline()
	if _, err := relay.forwarder.writer.Write(content); err != nil {
		return err
	}
	return relay.forwarder.controller.Flush()
}

// extendWriteDeadline gives the caller StallTimeout to accept the next bytes.
func (f *forwarder) extendWriteDeadline() {
	_ = f.controller.SetWriteDeadline(time.Now().Add(f.router.config.StallTimeout))
}
