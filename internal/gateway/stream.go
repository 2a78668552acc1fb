package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
)

// Large answers pass the caller's gateway as they come: taken whole first, an answer of
// 90 KB is 60 ms later for each hop over a link of 12 Mbit/s. The gateway beside the back end
// has the whole answer before it sends the first byte, and its length, so that a part never
// looks like the whole.

// answerStream is the body of an answer that is being received. It is read as fast as it
// comes, whatever its caller takes: a caller that reads slowly would hold up the link of the
// machine that sends it.
type answerStream struct {
	body   io.ReadCloser
	cancel context.CancelCauseFunc

	mutex sync.Mutex
	more  sync.Cond
	// content is the whole body, of which received bytes are there and taken were read.
	content         []byte
	received, taken int
	// failure is why no more comes.
	failure error
	ended   chan struct{}
}

// newAnswerStream begins to receive a body of a known length.
func newAnswerStream(body io.ReadCloser, length int, cancel context.CancelCauseFunc) *answerStream {
	s := &answerStream{body: body, cancel: cancel, content: make([]byte, length), ended: make(chan struct{})}
	s.more.L = &s.mutex
	go s.receive()
	return s
}

// receive reads the body to its end.
func (s *answerStream) receive() {
	defer close(s.ended)
	for received := 0; received < len(s.content); {
		count, err := s.body.Read(s.content[received:min(received+bulkChunk, len(s.content))])
		received += count
		s.arrived(count, err)
		if err != nil {
			return
		}
	}
	// One more read lets the connection know that the body has ended.
	_, _ = s.body.Read(make([]byte, 1))
}

func (s *answerStream) arrived(count int, err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received += count
	if err != nil && s.received < len(s.content) {
		s.failure = err
	}
	s.more.Broadcast()
}

// Read implements io.Reader.
func (s *answerStream) Read(buffer []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for s.taken == s.received {
		switch {
		case s.failure != nil:
			return 0, s.failure
		case s.taken == len(s.content):
			return 0, io.EOF
		}
		s.more.Wait()
	}
	count := copy(buffer, s.content[s.taken:s.received])
	s.taken += count
	return count, nil
}

// close gives the connection back, or ends it where the body was not received whole. A nil
// stream is none.
func (s *answerStream) close() {
	if s == nil {
		return
	}
	if !s.whole() {
		s.cancel(nil)
	}
	<-s.ended
	_ = s.body.Close()
	s.cancel(nil)
}

// whole says that the whole body is there.
func (s *answerStream) whole() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.received == len(s.content)
}

// streams says that an answer of a peer is passed on as it comes: a large one of a back
// end, with its length.
func streams(response *http.Response) bool {
	isAnswer := outcome(response.Header.Get(fieldOutcome)) == outcomeAnswered && response.StatusCode < http.StatusInternalServerError
	return isAnswer && response.ContentLength >= bulkFrom && response.ContentLength <= maxAnswer
}

// sendTransfer sends a request for a large answer. The context bounds how long that may take
// to begin: one that has begun is delivered, also late.
func (p *peer) sendTransfer(ctx context.Context, outgoing *http.Request) *forwardResult {
	whole, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer stop()
	response, err := p.pool.Do(whole, outgoing)
	if err != nil {
		cancel(nil)
		return peerFailed(err)
	}
	if !streams(response) {
		defer cancel(nil)
		return readResult(response)
	}
	result := decodeResult(response, nil)
	result.Stream = newAnswerStream(response.Body, int(response.ContentLength), cancel)
	return result
}

// streamAnswer passes an answer on. Where that ends early, so does the caller's connection.
func (g *Gateway) streamAnswer(w http.ResponseWriter, c *call, result *forwardResult) {
	ctx, stream := c.request.Context(), result.Stream
	stop := context.AfterFunc(ctx, func() { stream.cancel(context.Cause(ctx)) })
	defer stop()
	beginAnswer(ctx, w, result.Status, len(stream.content))
	if err := g.pacer.copy(ctx, w, stream, len(stream.content)); err != nil {
		g.config.Log.Info("answer broken off on its way", append(g.requestFields(c.request), "bytes", len(stream.content), "error", err)...)
		panic(http.ErrAbortHandler)
	}
}
