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

// bodyChunkSize is the size of the reads that forward or discard bytes, and the capacity
// above which an empty buffer is not kept.
const bodyChunkSize = 16 << 10

// chunkedBodyEnd is the end of a chunked body, with or without trailers.
const chunkedBodyEnd = "\r\n\r\n"

// errHeaderTooLong means that a header is longer than Pipelining.ReadAhead.
var errHeaderTooLong = errors.New("header longer than the read-ahead")

// recordingReader keeps the bytes that were read through it until they are taken, so that
// they can be forwarded unchanged.
type recordingReader struct {
	source io.Reader
	raw    []byte
	// limit bounds raw; zero means no limit.
	limit int
	// beforeRead is called before each read, unless it is nil.
	beforeRead func()
}

// Read implements io.Reader.
func (r *recordingReader) Read(buffer []byte) (int, error) {
	if r.beforeRead != nil {
		r.beforeRead()
	}
	if r.limit > 0 && len(r.raw) >= r.limit {
		return 0, errHeaderTooLong
	}
	count, err := r.source.Read(buffer)
	r.raw = append(r.raw, buffer[:count]...)
	return count, err
}

// take removes and returns the recorded bytes, except for the last ones, which the
// bufio.Reader above still buffers; buffered is their number.
func (r *recordingReader) take(buffered int) []byte {
	consumed := len(r.raw) - buffered
	taken := append([]byte(nil), r.raw[:consumed]...)
	if r.raw = append(r.raw[:0], r.raw[consumed:]...); len(r.raw) == 0 && cap(r.raw) > bodyChunkSize {
		r.raw = nil // an idle connection should not hold a large buffer
	}
	return taken
}

// requestReader reads the requests of a pipeline.
type requestReader struct {
	*pipeline
	source   recordingReader
	buffered *bufio.Reader
	// afterPost is set if the previous request was a POST.
	afterPost bool
	// readErr is why reading ended; nil if the pipeline accepts no more requests.
	readErr error
}

// run reads requests until the connection ends.
func (p *pipeline) run() {
	defer p.server.remove(p)
	defer p.abort()
	r := &requestReader{pipeline: p, source: recordingReader{source: p.connection}}
	r.buffered = bufio.NewReader(&r.source)
	p.setReadTimeout(p.server.headerTimeout())
	for r.readRequest() {
	}
	if r.readErr == nil {
		r.readErr = p.awaitClose()
	}
	if errors.Is(r.readErr, io.EOF) {
		p.drainAfterClientLeft()
	}
}

// awaitClose reads and discards bytes until the connection ends, and returns the error. It
// is used when no further request is accepted.
func (p *pipeline) awaitClose() error {
	buffer := make([]byte, bodyChunkSize)
	for {
		if _, err := p.connection.Read(buffer); err != nil {
			return err
		}
	}
}

// readRequest reads one request and reports whether another may follow.
func (r *requestReader) readRequest() bool {
	if !r.awaitCapacity(r.buffered.Buffered()) {
		return false
	}
	if _, r.readErr = r.buffered.Peek(1); r.readErr != nil {
		return false
	}
	r.beginHeader()
	if r.afterPost {
		r.skipLineBreaks()
	}
	r.source.limit = r.server.settings.ReadAhead
	request, err := http.ReadRequest(r.buffered)
	r.source.limit = 0
	if isConnectionError(err) {
		r.readErr = err
		return false
	}
	if err != nil || request.ProtoMajor != 1 || request.ProtoMinor != 1 {
		r.forwardConnection(request)
		return false
	}
	r.afterPost = request.Method == http.MethodPost
	e := r.enqueue(request, framed, r.source.take(r.buffered.Buffered()))
	if e == nil {
		return false
	}
	if request.Body == http.NoBody {
		r.setReadTimeout(0)
		return true
	}
	return r.forwardBody(e)
}

// skipLineBreaks discards the line breaks that old clients send after the body of a POST,
// as http.Server does (RFC 9112, section 2.2).
func (r *requestReader) skipLineBreaks() {
	const maxSkipped = 4
	next, _ := r.buffered.Peek(maxSkipped) // the next read returns the error as well
	lineBreaks := len(next) - len(bytes.TrimLeft(next, "\r\n"))
	_, _ = r.buffered.Discard(lineBreaks)
	r.source.take(r.buffered.Buffered())
}

// isConnectionError reports whether an error of reading a request means that the
// connection has ended or timed out. There is no response to that, as with http.Server.
// Syntax errors get one. Those from parsing the URL implement net.Error too, so that this
// type alone doesn't tell them apart.
func isConnectionError(err error) bool {
	if errors.Is(err, io.EOF) {
		return true
	}
	if failure := (net.Error)(nil); errors.As(err, &failure) && failure.Timeout() {
		return true
	}
	operation := (*net.OpError)(nil)
	return errors.As(err, &operation)
}

// awaitCapacity waits until another request may be read, and returns false if none may be
// read any more. If none of its bytes are buffered, the connection becomes idle.
func (p *pipeline) awaitCapacity(buffered int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for p.unreadInput >= p.server.settings.ReadAhead && !p.inputClosed && !p.closed {
		p.readerWake.Wait()
	}
	if p.inputClosed || p.closed {
		return false
	}
	if buffered == 0 {
		p.connection.markIdle()
		p.awaitingRequest = true
		p.setIdleDeadline()
	}
	return true
}

// beginHeader sets the time limit for a request's header, whose first byte was read.
func (p *pipeline) beginHeader() {
	p.mutex.Lock()
	p.awaitingRequest = false
	p.mutex.Unlock()
	p.setReadTimeout(p.server.headerTimeout())
}

// setReadTimeout sets the read deadline to a time from now; zero means no deadline.
func (p *pipeline) setReadTimeout(limit time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.closed {
		_ = p.connection.SetReadDeadline(deadlineAfter(limit))
	}
}

// bodyForwarder forwards the body of one request to its exchange.
type bodyForwarder struct {
	*requestReader
	exchange *exchange
	// tail is the end of what was forwarded, at most as long as chunkedBodyEnd.
	tail []byte
}

// take returns what was read and not forwarded yet.
func (b *bodyForwarder) take() []byte {
	taken := b.source.take(b.buffered.Buffered())
	b.tail = append(b.tail, taken...)
	b.tail = b.tail[max(0, len(b.tail)-len(chunkedBodyEnd)):]
	return taken
}

// forwardBody forwards the body of a request as it arrives, and reports whether another
// request may follow. Its time is limited by http.Server and the handler only.
func (r *requestReader) forwardBody(e *exchange) bool {
	r.setReadTimeout(0)
	b := &bodyForwarder{requestReader: r, exchange: e}
	r.source.beforeRead = func() { r.deliver(e, b.take()) }
	_, err := io.Copy(io.Discard, e.request.Body)
	r.source.beforeRead = nil
	rest := b.take()
	switch {
	case isConnectionError(err):
		r.readErr = err
		return false
	case err != nil || !isBodyComplete(e.request, b.tail):
		r.makeUnframed(e)
		if r.deliver(e, rest) {
			r.forwardRest(e)
		}
		return false
	}
	return r.deliver(e, rest)
}

// isBodyComplete reports whether a body that was read to its end has the regular end, which
// every reader accepts. A chunked body may have another end, and whether http.Server
// accepts that depends on the bytes that follow.
func isBodyComplete(request *http.Request, end []byte) bool {
	return len(request.TransferEncoding) == 0 || string(end) == chunkedBodyEnd
}

// makeUnframed makes all further bytes of the connection part of an exchange.
func (p *pipeline) makeUnframed(e *exchange) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	e.framing = unframed
	p.inputClosed = true
}

// forwardConnection forwards a request and all further bytes of the connection as one
// unframed exchange. http.Server responds to malformed requests and closes the connection.
func (r *requestReader) forwardConnection(request *http.Request) {
	if e := r.enqueue(request, unframed, nil); e != nil {
		r.setReadTimeout(0)
		r.forwardRest(e)
	}
}

// forwardRest forwards the bytes that were read and all further ones.
func (r *requestReader) forwardRest(e *exchange) {
	if !r.deliver(e, r.source.take(0)) {
		return
	}
	chunk := make([]byte, bodyChunkSize)
	for {
		count, err := r.connection.Read(chunk)
		if !r.deliver(e, chunk[:count]) {
			return
		}
		if err != nil {
			r.readErr = err
			return
		}
	}
}

// deliver appends to the input of an exchange, and waits while Pipelining.ReadAhead is
// exceeded. The input of an exchange that is over is dropped. It returns false if the pipeline is
// closed.
func (p *pipeline) deliver(e *exchange, read []byte) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || e.finished {
		return !p.closed
	}
	e.input = append(e.input, read...)
	p.unreadInput += len(read)
	e.changed.Broadcast()
	for p.unreadInput >= p.server.settings.ReadAhead && !p.closed && !e.finished {
		p.readerWake.Wait()
	}
	return !p.closed
}

// headerTimeout returns how long a request's header may take.
func (s *pipelineServer) headerTimeout() time.Duration {
	if s.http.ReadHeaderTimeout != 0 {
		return s.http.ReadHeaderTimeout
	}
	return s.http.ReadTimeout
}

// idleTimeout returns how long a connection may be idle.
func (s *pipelineServer) idleTimeout() time.Duration {
	if s.http.IdleTimeout != 0 {
		return s.http.IdleTimeout
	}
	return s.http.ReadTimeout
}
