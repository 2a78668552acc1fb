package router

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// requestBody is a request body: a buffered part and, for a large body, a
// stream of the rest.
type requestBody struct {
	// buffered is the whole body, or its beginning if unbuffered is set.
	buffered   []byte
	unbuffered *bodyStream
	// length is -1 if the caller sent no Content-Length.
	length int64
}

// readBody reads up to BufferedBodyBytes of the body. Requests that are too
// slow or too large fail before anything is sent to a back end.
func (r *Router) readBody(w http.ResponseWriter, incoming *http.Request) (*requestBody, *errorResponse) {
	if incoming.Body == nil || incoming.Body == http.NoBody || incoming.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if incoming.ContentLength > r.config.MaximumBodyBytes {
		return nil, notRunError(wire.ReasonTooLarge, "the request body is larger than allowed")
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(r.config.BufferedBodyTimeout)); err != nil {
		return nil, notRunError(wire.ReasonInvalid, "the connection takes no read deadline")
	}
	limited := http.MaxBytesReader(w, incoming.Body, r.config.MaximumBodyBytes)
	buffered, complete, err := readUpTo(limited, r.config.BufferedBodyBytes, incoming.ContentLength)
	if err != nil {
		return nil, bodyReadError(err)
	}
	if complete {
		_ = controller.SetReadDeadline(time.Time{})
		return &requestBody{buffered: buffered, length: int64(len(buffered))}, nil
	}
	stream := &bodyStream{source: limited, controller: controller, stallTimeout: r.config.StallTimeout}
	return &requestBody{buffered: buffered, unbuffered: stream, length: incoming.ContentLength}, nil
}

// readUpTo reads at most limit+1 bytes, to detect whether the source ends
// within the limit. The length is that of the source, or -1.
func readUpTo(source io.Reader, limit int, length int64) (content []byte, complete bool, err error) {
	size := limit
	if length >= 0 && length < int64(limit) {
		size = int(length)
	}
	var buffer bytes.Buffer
	buffer.Grow(size + bytes.MinRead)
	count, err := io.CopyN(&buffer, source, int64(limit)+1)
	if errors.Is(err, io.EOF) {
		return buffer.Bytes(), true, nil
	}
	if err != nil {
		return nil, false, err
	}
	return buffer.Bytes(), count <= int64(limit), nil
}

// bodyReadError returns the error response for a failure to read the body, if
// nothing of the request has been sent to a back end.
func bodyReadError(err error) *errorResponse {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRunError(wire.ReasonTooLarge, "the request body is larger than allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRunError(wire.ReasonSlowSender, "the request body came too slowly")
	}
	return notRunError(wire.ReasonInvalid, "the request body broke off")
}

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.unbuffered == nil || !b.unbuffered.hasStarted() }

// newReader returns the body for one attempt.
func (b *requestBody) newReader() io.ReadCloser {
	if b.unbuffered == nil {
		if len(b.buffered) == 0 {
			return http.NoBody
		}
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), b.unbuffered))
}

// close interrupts a read in progress and prevents further reads. It must be
// called before the handler returns.
func (b *requestBody) close() {
	if b.unbuffered != nil {
		b.unbuffered.close()
	}
}

// bodyStream reads the part of a body that was not buffered. It may be read by
// a goroutine other than the handler's.
type bodyStream struct {
	source       io.Reader
	controller   *http.ResponseController
	stallTimeout time.Duration

	// readMutex is held during a read; stateMutex guards the fields below it.
	readMutex  sync.Mutex
	stateMutex sync.Mutex
	started    bool
	reachedEnd bool
	closed     bool
	readErr    error
}

// Read implements io.Reader. It fails if the caller sends nothing for the stall
// timeout.
func (s *bodyStream) Read(buffer []byte) (int, error) {
	s.readMutex.Lock()
	defer s.readMutex.Unlock()
	if !s.beginRead() {
		return 0, http.ErrBodyReadAfterClose
	}
	count, err := s.source.Read(buffer)
	if err != nil {
		s.recordEnd(err)
	}
	return count, err
}

// beginRead prepares a read. It returns false if the stream was closed.
func (s *bodyStream) beginRead() bool {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	if s.closed {
		return false
	}
	s.started = true
	_ = s.controller.SetReadDeadline(time.Now().Add(s.stallTimeout))
	return true
}

// recordEnd records the end of the body or the error that ended it.
func (s *bodyStream) recordEnd(err error) {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	if errors.Is(err, io.EOF) {
		s.reachedEnd = true
		return
	}
	s.readErr = err
}

// readError returns the error that ended the stream, or nil.
func (s *bodyStream) readError() error {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	return s.readErr
}

// hasStarted reports whether a read of the stream was begun.
func (s *bodyStream) hasStarted() bool {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	return s.started
}

// close interrupts a read in progress and waits until it returns.
func (s *bodyStream) close() {
	if !s.interruptRead() {
		return
	}
	s.readMutex.Lock()
	defer s.readMutex.Unlock()
	// The server may still read the remainder of this body.
	_ = s.controller.SetReadDeadline(time.Now().Add(s.stallTimeout))
}

// interruptRead closes the stream and makes a read in progress fail by setting
// a read deadline. If the whole body was read, it sets none and returns false:
// the server then watches the connection for a disconnect, would mistake the
// passed deadline for one and cancel all later requests on the connection.
func (s *bodyStream) interruptRead() bool {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	s.closed = true
	if s.reachedEnd {
		return false
	}
	_ = s.controller.SetReadDeadline(time.Now())
	return true
}
