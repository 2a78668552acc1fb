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

// errDigest says that an answer's digest does not match its bytes.
var errDigest = errors.New("answer does not match its digest")

// copyBufferBytes is the memory that a streamed answer takes.
const copyBufferBytes = 32 * kibibyte

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// answer passes a back end's answer on to the caller.
type answer struct {
	forwarding *forwarding
	response   *http.Response
	digest     xxhash.Digest
	received   int64
}

// deliver passes an answer on. A short answer is verified before its first
// byte is passed on, so that a broken one becomes a typed refusal; a long one
// is streamed, and a broken one is seen by the caller as unfinished because
// its connection is closed.
func (f *forwarding) deliver(result attemptResult) *refusal {
	defer result.end()
	defer result.response.Body.Close()
	a := &answer{forwarding: f, response: result.response}
	a.digest.Reset()
	buffer := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(buffer)
	beginning, whole, err := a.readBeginning(*buffer)
	*buffer = beginning[:0]
	if err != nil {
		f.router.metrics.truncated.Inc()
		return a.refusal(err)
	}
	if whole {
		a.writeWhole(beginning)
		return nil
	}
	a.stream(beginning)
	return nil
}

var answerBuffers = sync.Pool{New: func() any { return new([]byte) }}

// refusal says what became of an answer that broke off before anything of it
// was passed on.
func (a *answer) refusal(err error) *refusal {
	if isDeadline(err) || isDeadline(a.forwarding.ctx.Err()) {
		return unknown(wire.ReasonTimedOut, "the answer was not complete within the deadline")
	}
	return unknown(wire.ReasonTruncated, "the back end's answer broke off")
}

// readBeginning reads up to BufferedAnswerBytes and says whether that is the
// whole answer, verified.
func (a *answer) readBeginning(buffer []byte) (beginning []byte, whole bool, err error) {
	limit := a.forwarding.router.config.BufferedAnswerBytes
	buffer = a.sized(buffer, limit)
	for len(buffer) < limit {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		space := buffer[len(buffer):min(cap(buffer), limit)]
		count, err := a.read(space)
		buffer = buffer[:len(buffer)+count]
		if errors.Is(err, io.EOF) {
			return buffer, true, a.verify()
		}
		if err != nil {
			return buffer, false, err
		}
	}
	return buffer, false, nil
}

// leastBufferBytes is the first size of a buffer for answers of unstated
// length.
const leastBufferBytes = 4 * kibibyte

// sized makes room for the whole answer, if it is short, and a byte more, so
// that the end is seen without growing.
func (a *answer) sized(buffer []byte, limit int) []byte {
	size := leastBufferBytes
	if length := a.response.ContentLength; length >= 0 {
		size = int(min(length+1, int64(limit)))
	}
	if cap(buffer) < size {
		return make([]byte, 0, size)
	}
	return buffer[:0]
}

// read reads and digests.
func (a *answer) read(buffer []byte) (int, error) {
	count, err := a.response.Body.Read(buffer)
	_, _ = a.digest.Write(buffer[:count])
	a.received += int64(count)
	return count, err
}

// verify checks the digest at the end of the answer. The length was checked by
// the HTTP library.
func (a *answer) verify() error {
	stated := a.response.Trailer.Get(wire.TrailerDigest)
	if stated == "" {
		stated = a.response.Header.Get(wire.TrailerDigest)
	}
	if stated == "" || stated == digestText(&a.digest) {
		return nil
	}
	return errDigest
}

func digestText(digest *xxhash.Digest) string {
	var sum [8]byte
	return hex.EncodeToString(digest.Sum(sum[:0]))
}

// header copies the answer's header and returns it with a place for more.
func (a *answer) header() *headerValues {
	f := a.forwarding
	header := f.writer.Header()
	copyEndToEnd(header, a.response.Header)
	delete(header, "Content-Length")
	own := &headerValues{header: header}
	own.set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	own.set(wire.HeaderRevision, strconv.FormatUint(uint64(f.last.target.revision), 10))
	if f.request.id != "" {
		own.set(wire.HeaderRequestID, f.request.id)
	}
	f.router.closeIfDraining(header)
	return own
}

// writeWhole sends a verified answer.
func (a *answer) writeWhole(content []byte) {
	own := a.header()
	if hasBody(a.forwarding.request.incoming.Method, a.response.StatusCode) {
		own.set("Content-Length", strconv.Itoa(len(content)))
		own.set(wire.TrailerDigest, digestText(&a.digest))
	} else if length := a.response.Header.Get("Content-Length"); length != "" {
		own.set("Content-Length", length)
	}
	a.forwarding.extendWriteDeadline()
	a.forwarding.writer.WriteHeader(a.response.StatusCode)
	// The caller may be gone; there is nobody else to tell.
	_, _ = a.forwarding.writer.Write(content)
}

// hasBody says whether an answer carries content (RFC 9110, 6.4.1).
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// stream sends a long answer. It holds the last bytes back until the whole was
// verified. A failure closes the caller's connection, since the status has
// been sent (RFC 9112, section 8).
func (a *answer) stream(beginning []byte) {
	own := a.header()
	if length := a.response.ContentLength; length >= 0 {
		own.set("Content-Length", strconv.FormatInt(length, 10))
	} else {
		own.set("Trailer", wire.TrailerDigest)
	}
	a.forwarding.writer.WriteHeader(a.response.StatusCode)
	if err := a.copy(beginning); err != nil {
		a.forwarding.router.metrics.truncated.Inc()
		panic(http.ErrAbortHandler)
	}
	if a.response.ContentLength < 0 {
		own.set(wire.TrailerDigest, digestText(&a.digest))
	}
}

// copy sends the beginning and the rest, one buffer behind what was read.
func (a *answer) copy(beginning []byte) error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	if !a.complete() {
		if err := a.send(beginning); err != nil {
			return err
		}
		beginning = nil
	}
	for {
		count, err := a.read(buffer[:])
		if errors.Is(err, io.EOF) {
			return a.finish(beginning, buffer[:count])
		}
		if err != nil {
			return err
		}
		if a.complete() {
			beginning = append(beginning, buffer[:count]...)
			continue
		}
		if err := a.send(buffer[:count]); err != nil {
			return err
		}
	}
}

// complete says that all bytes of an answer of stated length have been read,
// so that what is not yet sent must wait for the digest.
func (a *answer) complete() bool {
	return a.response.ContentLength >= 0 && a.received >= a.response.ContentLength
}

// finish verifies the whole and sends its last bytes.
func (a *answer) finish(parts ...[]byte) error {
	if err := a.verify(); err != nil {
		return err
	}
	for _, part := range parts {
		if err := a.send(part); err != nil {
			return err
		}
	}
	return nil
}

// send passes bytes on at once. The back end is read no faster than the caller
// takes them.
func (a *answer) send(content []byte) error {
	if len(content) == 0 {
		return nil
	}
	a.forwarding.extendWriteDeadline()
	if _, err := a.forwarding.writer.Write(content); err != nil {
		return err
	}
	return a.forwarding.controller.Flush()
}

// extendWriteDeadline gives the caller time to take the next bytes.
func (f *forwarding) extendWriteDeadline() {
	_ = f.controller.SetWriteDeadline(time.Now().Add(f.router.config.StallTimeout))
}
