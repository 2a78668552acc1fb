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

// requestBody is a request's body: what was read ahead and what still comes.
type requestBody struct {
	// buffered is the whole body, or its beginning where rest is set.
	buffered []byte
	rest     *callerStream
	// length is -1 where the caller did not state it.
	length int64
}

// readBody reads a body up to the configured size. Slow and oversized senders
// are refused before anything was sent to a back end.
func (r *Router) readBody(w http.ResponseWriter, incoming *http.Request) (*requestBody, *refusal) {
	if incoming.Body == nil || incoming.Body == http.NoBody || incoming.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if incoming.ContentLength > r.config.MaximumBodyBytes {
		return nil, notRun(wire.ReasonTooLarge, "the request body is larger than allowed")
	}
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(time.Now().Add(r.config.BufferedBodyTimeout)); err != nil {
		return nil, notRun(wire.ReasonInvalid, "the connection takes no read deadline")
	}
	limited := http.MaxBytesReader(w, incoming.Body, r.config.MaximumBodyBytes)
	buffered, whole, err := readUpTo(limited, r.config.BufferedBodyBytes, incoming.ContentLength)
	if err != nil {
		return nil, refusalOfBody(err)
	}
	if whole {
		_ = controller.SetReadDeadline(time.Time{})
		return &requestBody{buffered: buffered, length: int64(len(buffered))}, nil
	}
	stream := &callerStream{source: limited, controller: controller, stallTimeout: r.config.StallTimeout}
	return &requestBody{buffered: buffered, rest: stream, length: incoming.ContentLength}, nil
}

// readUpTo reads at most limit bytes and says whether the source ended.
func readUpTo(source io.Reader, limit int, length int64) (content []byte, whole bool, err error) {
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

// refusalOfBody says why a body could not be read. The back end has seen
// nothing of the request.
func refusalOfBody(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return notRun(wire.ReasonTooLarge, "the request body is larger than allowed")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRun(wire.ReasonSlowSender, "the request body came too slowly")
	}
	return notRun(wire.ReasonInvalid, "the request body broke off")
}

// replayable says that the body can be sent another time.
func (b *requestBody) replayable() bool { return b.rest == nil || !b.rest.started() }

// reader gives the body for one attempt.
func (b *requestBody) reader() io.ReadCloser {
	if b.rest == nil {
		if len(b.buffered) == 0 {
			return http.NoBody
		}
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.buffered), b.rest))
}

// close ends a read in progress and forbids further ones. It must be called
// before the handler returns.
func (b *requestBody) close() {
	if b.rest != nil {
		b.rest.close()
	}
}

// callerStream reads the part of a body that was not read ahead. It may be
// read from another goroutine than the handler's.
type callerStream struct {
	source       io.Reader
	controller   *http.ResponseController
	stallTimeout time.Duration

	// reading is held during a read; state guards the fields below it.
	reading sync.Mutex
	state   sync.Mutex
	begun   bool
	ended   bool
	closed  bool
	failed  error
}

// Read implements io.Reader. A caller that sends nothing for the stall timeout
// ends it.
func (s *callerStream) Read(buffer []byte) (int, error) {
	s.reading.Lock()
	defer s.reading.Unlock()
	if !s.begin() {
		return 0, http.ErrBodyReadAfterClose
	}
	count, err := s.source.Read(buffer)
	if err != nil {
		s.end(err)
	}
	return count, err
}

func (s *callerStream) begin() bool {
	s.state.Lock()
	defer s.state.Unlock()
	if s.closed {
		return false
	}
	s.begun = true
	_ = s.controller.SetReadDeadline(time.Now().Add(s.stallTimeout))
	return true
}

// end keeps how the body ended.
func (s *callerStream) end(err error) {
	s.state.Lock()
	defer s.state.Unlock()
	if errors.Is(err, io.EOF) {
		s.ended = true
		return
	}
	s.failed = err
}

// failure is the error that ended the stream, or nil.
func (s *callerStream) failure() error {
	s.state.Lock()
	defer s.state.Unlock()
	return s.failed
}

func (s *callerStream) started() bool {
	s.state.Lock()
	defer s.state.Unlock()
	return s.begun
}

// close interrupts a read in progress and waits for its end.
func (s *callerStream) close() {
	if !s.interrupt() {
		return
	}
	s.reading.Lock()
	defer s.reading.Unlock()
	// The server may still read what the caller sends of this body.
	_ = s.controller.SetReadDeadline(time.Now().Add(s.stallTimeout))
}

// interrupt returns false where the whole body was read. Then the server watches
// the connection for the caller's going away, and would take a deadline that
// passes for that, with all later requests on the connection.
func (s *callerStream) interrupt() bool {
	s.state.Lock()
	defer s.state.Unlock()
	s.closed = true
	if s.ended {
		return false
	}
	_ = s.controller.SetReadDeadline(time.Now())
	return true
}
