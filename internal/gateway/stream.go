package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// The caller's gateway streams large responses: buffering a response of 90 KB completely before
// passing it on would add 60 ms per hop over a link of 12 Mbit/s. The back end's local gateway
// has the whole response before it sends the first byte, and sends its length, so that a
// truncated response is always detected.

// responseStream is the body of a response that is being received. It is received as fast as
// it arrives, however slowly the caller reads: a slow caller would otherwise occupy the link
// of the machine that sends the response.
type responseStream struct {
	body   io.ReadCloser
	cancel context.CancelCauseFunc

	mutex   sync.Mutex
	changed sync.Cond
	// content holds the whole body. The first received bytes of it have arrived, and the
	// first read bytes have been returned by Read.
	content        []byte
	received, read int
	// readErr is why receiving stopped early.
	readErr error
	done    chan struct{}
}

// newResponseStream starts to receive a body of known length.
func newResponseStream(body io.ReadCloser, length int, cancel context.CancelCauseFunc) *responseStream {
	s := &responseStream{body: body, cancel: cancel, content: make([]byte, length), done: make(chan struct{})}
	s.changed.L = &s.mutex
	go s.receive()
	return s
}

// receive reads the body to its end.
func (s *responseStream) receive() {
	defer close(s.done)
	for received := 0; received < len(s.content); {
		count, err := s.body.Read(s.content[received:min(received+pacedChunk, len(s.content))])
		received += count
		s.advance(count, err)
		if err != nil {
			return
		}
	}
	// One more read lets the connection see the end of the body.
	_, _ = s.body.Read(make([]byte, 1))
}

// advance records received bytes, or the error that stopped receiving, and wakes readers.
func (s *responseStream) advance(count int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received += count
	if err != nil && s.received < len(s.content) {
		s.readErr = err
	}
	s.changed.Broadcast()
}

// Read implements io.Reader.
func (s *responseStream) Read(buffer []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.read == s.received {
		switch {
		case s.readErr != nil:
			return 0, s.readErr
		case s.read == len(s.content):
			return 0, io.EOF
		}
		s.changed.Wait()
	}
	count := copy(buffer, s.content[s.read:s.received])
	s.read += count
	return count, nil
}

// close returns the connection to its pool, or closes it if the body was not received
// completely. It does nothing on a nil stream.
func (s *responseStream) close() {
	if s == nil {
		return
	}
	if !s.whole() {
		s.cancel(nil)
	}
	<-s.done
	_ = s.body.Close()
	s.cancel(nil)
}

// whole reports whether the whole body has been received.
func (s *responseStream) whole() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.received == len(s.content)
}

// streamable reports whether a peer's response is passed on while it is being received: a
// large response of a back end, of known length.
func streamable(response *http.Response) bool {
	isResponse := outcome(response.Header.Get(fieldOutcome)) == outcomeAnswered && response.StatusCode < http.StatusInternalServerError
	return isResponse && response.ContentLength >= minPacedBody && response.ContentLength <= maxResponseBody
}

// sendTransfer sends a request with a large response. The context limits only the time until
// the response begins: one that has begun is delivered, even after the deadline.
func (p *peer) sendTransfer(ctx context.Context, outgoing *http.Request) *forwardResult {
	streamCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stop()
	response, err := p.pool.Do(streamCtx, outgoing)
	if err != nil {
		cancel(nil)
		return failedAttempt(err)
	}
	if !streamable(response) {
		defer cancel(nil)
		return readResult(response)
	}
	result := decodeResult(response, nil)
	result.Stream = newResponseStream(response.Body, int(response.ContentLength), cancel)
	return result
}

// streamResponse passes a response on to the caller. If the stream ends early, the caller's
// connection is aborted.
func (g *Gateway) streamResponse(w http.ResponseWriter, c *call, result *forwardResult, body *pacedBody) {
	ctx, stream := c.request.Context(), result.Stream
	stop := context.AfterFunc(ctx, func() { stream.cancel(context.Cause(ctx)) })
	defer stop()
	writeResponseHeader(w, result.Status, len(stream.content))
	if err := body.copy(ctx, w, stream); err != nil {
		g.config.Log.Info("response aborted while streaming it to the caller", append(g.requestFields(c.request), "bytes", len(stream.content), "error", err)...)
		panic(http.ErrAbortHandler)
	}
}
