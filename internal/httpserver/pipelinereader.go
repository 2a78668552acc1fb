package httpserver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// bodyPiece is how much of a request's body is passed on at once.
const bodyPiece = 16 << 10

// chunkedEnd ends a chunked body, with or without trailers.
const chunkedEnd = "\r\n\r\n"

// errLongHeader says that a header is longer than what is read ahead.
var errLongHeader = errors.New("header longer than the read-ahead")

// recorder keeps what was read through it until it is taken.
type recorder struct {
	source io.Reader
	raw    []byte
	// limit bounds raw; zero is no bound.
	limit int
	// beforeRead is called before more is read; nil is not.
	beforeRead func()
}

// Read implements io.Reader.
func (r *recorder) Read(buffer []byte) (int, error) {
	if r.beforeRead != nil {
		r.beforeRead()
	}
	if r.limit > 0 && len(r.raw) >= r.limit {
		return 0, errLongHeader
	}
	count, err := r.source.Read(buffer)
	r.raw = append(r.raw, buffer[:count]...)
	return count, err
}

// take returns what was read, but for what a buffer behind it still holds.
func (r *recorder) take(buffered int) []byte {
	consumed := len(r.raw) - buffered
	taken := append([]byte(nil), r.raw[:consumed]...)
	if r.raw = append(r.raw[:0], r.raw[consumed:]...); len(r.raw) == 0 && cap(r.raw) > bodyPiece {
		r.raw = nil // an idle connection keeps little
	}
	return taken
}

// requestReader reads the requests of a pipeline.
type requestReader struct {
	*pipeline
	source   recorder
	buffered *bufio.Reader
	// afterPost says that the request before was a POST.
	afterPost bool
	// failure is why reading ended; nil where the pipeline takes no more.
	failure error
}

// run reads requests until the connection ends.
func (p *pipeline) run() {
	defer p.server.remove(p)
	defer p.abort()
	r := &requestReader{pipeline: p, source: recorder{source: p.connection}}
	r.buffered = bufio.NewReader(&r.source)
	p.bound(p.server.headerTimeout())
	for r.readRequest() {
	}
	if r.failure == nil {
		r.failure = p.watch()
	}
	if errors.Is(r.failure, io.EOF) {
		p.callerLeft()
	}
}

// watch notices the end of a connection on which no further request is taken.
func (p *pipeline) watch() error {
	discarded := make([]byte, bodyPiece)
	for {
		if _, err := p.connection.Read(discarded); err != nil {
			return err
		}
	}
}

// readRequest reads one request and returns whether another may follow.
func (r *requestReader) readRequest() bool {
	if !r.awaitRoom(r.buffered.Buffered()) {
		return false
	}
	if _, r.failure = r.buffered.Peek(1); r.failure != nil {
		return false
	}
	r.receiving()
	if r.afterPost {
		r.skipLineEnds()
	}
	r.source.limit = r.server.settings.ReadAhead
	request, err := http.ReadRequest(r.buffered)
	r.source.limit = 0
	if endedBefore(err) {
		r.failure = err
		return false
	}
	if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 {
		r.passAll(request)
		return false
	}
	r.afterPost = request.Method == http.MethodPost
	e := r.enqueue(request, framed, r.source.take(r.buffered.Buffered()))
	if e == nil {
		return false
	}
	if request.Body == http.NoBody {
		r.bound(0)
		return true
	}
	return r.passBody(e)
}

// skipLineEnds drops what old callers write behind the body of a POST, as http.Server does
// (RFC 9112, section 2.2).
func (r *requestReader) skipLineEnds() {
	const most = 4
	next, _ := r.buffered.Peek(most) // an error comes again
	ends := len(next) - len(bytes.TrimLeft(next, "\r\n"))
	_, _ = r.buffered.Discard(ends)
	r.source.take(r.buffered.Buffered())
}

// endedBefore says that a connection ended, or was silent for too long, before a request
// was read; http.Server answers nothing to this either. Errors about what was read are
// answered, though those about URLs look like errors of the net package.
func endedBefore(err error) bool {
	if errors.Is(err, io.EOF) {
		return true
	}
	if failure := (net.Error)(nil); errors.As(err, &failure) && failure.Timeout() {
		return true
	}
	operation := (*net.OpError)(nil)
	return errors.As(err, &operation)
}

// awaitRoom waits until another request may be read, with a number of bytes of it read
// already, and returns false where none may.
func (p *pipeline) awaitRoom(buffered int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.unread >= p.server.settings.ReadAhead && !p.sealed && !p.over {
		p.room.Wait()
	}
	if p.sealed || p.over {
		return false
	}
	if buffered == 0 {
		p.connection.idle()
		p.between = true
		p.awaitNext()
	}
	return true
}

// receiving bounds how long the header of a request takes.
func (p *pipeline) receiving() {
	p.mutex.Lock()
	p.between = false
	p.mutex.Unlock()
	p.bound(p.server.headerTimeout())
}

// bound bounds how long the caller may send nothing; zero is no bound.
func (p *pipeline) bound(limit time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.over {
		_ = p.connection.SetReadDeadline(deadlineAfter(limit))
	}
}

// bodyPasser passes the body of one request on.
type bodyPasser struct {
	*requestReader
	exchange *exchange
	// end is the last that was passed on.
	end []byte
}

// take returns what was read and not passed on.
func (b *bodyPasser) take() []byte {
	taken := b.source.take(b.buffered.Buffered())
	b.end = append(b.end, taken...)
	b.end = b.end[max(0, len(b.end)-len(chunkedEnd)):]
	return taken
}

// passBody passes the body of a request on as it comes, and returns whether another
// request may follow. How long it may take is for http.Server and the handler to say.
func (r *requestReader) passBody(e *exchange) bool {
	r.bound(0)
	b := &bodyPasser{requestReader: r, exchange: e}
	r.source.beforeRead = func() { r.deliver(e, b.take()) }
	_, err := io.Copy(io.Discard, e.request.Body)
	r.source.beforeRead = nil
	rest := b.take()
	switch {
	case endedBefore(err):
		r.failure = err
		return false
	case err != nil || !wholeBody(e.request, b.end):
		r.unframe(e)
		if r.deliver(e, rest) {
			r.passRest(e)
		}
		return false
	}
	return r.deliver(e, rest)
}

// wholeBody says, of a body that was read to its end, whether its last bytes are those of a
// body that any reader takes for whole. Whether http.Server accepts another end of a
// chunked one depends on what follows.
func wholeBody(request *http.Request, end []byte) bool {
	return len(request.TransferEncoding) == 0 || string(end) == chunkedEnd
}

// unframe makes all that follows on the connection part of an exchange.
func (p *pipeline) unframe(e *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e.framing = unframed
	p.sealed = true
}

// passAll hands the connection, with all that follows, to http.Server: it answers what is
// malformed, and ends the connection then.
func (r *requestReader) passAll(request *http.Request) {
	if e := r.enqueue(request, unframed, nil); e != nil {
		r.bound(0)
		r.passRest(e)
	}
}

// passRest passes on all that was read and all that comes.
func (r *requestReader) passRest(e *exchange) {
	if !r.deliver(e, r.source.take(0)) {
		return
	}
	piece := make([]byte, bodyPiece)
	for {
		count, err := r.connection.Read(piece)
		if !r.deliver(e, piece[:count]) {
			return
		}
		if err != nil {
			r.failure = err
			return
		}
	}
}

// deliver adds to what http.Server reads of an exchange, and waits where there is much of
// it. It returns false where the connection is over.
func (p *pipeline) deliver(e *exchange, read []byte) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e.input = append(e.input, read...)
	p.unread += len(read)
	e.wake.Broadcast()
	for p.unread >= p.server.settings.ReadAhead && !p.over && !e.finished {
		p.room.Wait()
	}
	return !p.over
}

// headerTimeout is how long a request's header may take.
func (s *pipelines) headerTimeout() time.Duration {
	if s.http.ReadHeaderTimeout != 0 {
		return s.http.ReadHeaderTimeout
	}
	return s.http.ReadTimeout
}

// idleTimeout is how long a connection may rest.
func (s *pipelines) idleTimeout() time.Duration {
	if s.http.IdleTimeout != 0 {
		return s.http.IdleTimeout
	}
	return s.http.ReadTimeout
}
