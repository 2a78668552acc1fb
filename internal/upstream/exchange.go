package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
)

// inlineBodyLimit is the size in bytes up to which a body is written before the
// response is read. A larger one is written concurrently, so that an early
// response is seen.
const inlineBodyLimit = 32 << 10

// maxStatus is the highest status code (RFC 9110, section 15).
const maxStatus = 599

var errHeaderTooLarge = fmt.Errorf("answer header longer than %d bytes", maxHeaderBytes)

// Do sends the request once and returns the response when its header has
// arrived. The caller must read Response.Body to its end and close it; a
// truncated body ends with an error other than io.EOF. Cancelling ctx, also
// while the body is read, closes the connection, which tells the peer (see
// Config.Linger). The request is written as by http.Request.Write: URL, Host,
// Header, Body, ContentLength and Trailer are used. Every error wraps ErrNotSent
// or ErrInterrupted.
//
// When the response arrives before the whole request body was read, the body may
// be read until Response.Body is closed and shortly after; a server handler
// that forwards its own body must end that read with a read deadline.
func (pool *Pool) Do(ctx context.Context, request *http.Request) (*http.Response, error) {
	return pool.DoNotify(ctx, request, func() {})
}

// DoNotify is like Do, and calls ended once, on any goroutine, when the peer is
// done with the request: when the whole response was read, nothing was sent, the
// connection broke or, for a cancelled request, when the peer has closed the
// connection or Config.Linger is over.
func (pool *Pool) DoNotify(ctx context.Context, request *http.Request, ended func()) (*http.Response, error) {
	connection, err := pool.acquire(ctx)
	return pool.start(ctx, request, connection, err, ended)
}

// DoOnNewConnection is like Do, on a connection that has carried no request before. What a peer
// sends late in answer to an earlier request can't be taken for the answer to this one.
func (pool *Pool) DoOnNewConnection(ctx context.Context, request *http.Request) (*http.Response, error) {
	return pool.DoNotifyOnNewConnection(ctx, request, func() {})
}

// DoNotifyOnNewConnection is like DoNotify and DoOnNewConnection together.
func (pool *Pool) DoNotifyOnNewConnection(ctx context.Context, request *http.Request, ended func()) (*http.Response, error) {
	connection, err := pool.acquireNew(ctx)
	return pool.start(ctx, request, connection, err, ended)
}

// start begins the exchange on an acquired connection; err is that of acquiring it.
func (pool *Pool) start(ctx context.Context, request *http.Request, connection *conn, err error, ended func()) (*http.Response, error) {
	if err != nil {
		closeBody(request)
		ended()
		return nil, fmt.Errorf("%w: %s: %w", ErrNotSent, pool.config.Address, err)
	}
	connection.acquireBuffers()
	e := &exchange{pool: pool, conn: connection, ctx: ctx, ended: ended}
	e.stopInterrupt = context.AfterFunc(ctx, e.interrupt)
	response, err := e.run(request)
	if err != nil {
		return nil, e.fail(err)
	}
	return response, nil
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		_ = request.Body.Close()
	}
}

// exchange is one request and its response on one connection.
type exchange struct {
	pool          *Pool
	conn          *conn
	ctx           context.Context
	ended         func()
	stopInterrupt func() bool
	// inlineWrite is set if the request is written before the response is read.
	inlineWrite bool
	// written is set once the whole request was handed to the operating system.
	written   atomic.Bool
	bodyError atomic.Pointer[error]
	keepAlive bool
	// surplusRead is set once a response to another request was discarded.
	surplusRead bool
	endOnce     sync.Once
}

// run writes the request and reads the response's header.
func (e *exchange) run(request *http.Request) (*http.Response, error) {
	e.conn.netWriter.sent = 0
	e.inlineWrite = canWriteInline(request)
	if e.inlineWrite {
		if err := e.write(request); err != nil {
			return nil, err
		}
	} else {
		go func() { _ = e.write(request) }()
	}
	response, err := e.readResponse(request)
	if err != nil {
		return nil, err
	}
	if isUndelimited(response) {
		return nil, ErrUndelimited
	}
	e.keepAlive = !response.Close && !request.Close && !e.surplusRead
	if response.Body == http.NoBody {
		e.end(true)
		return response, nil
	}
	response.Body = &responseBody{source: response.Body, exchange: e}
	return response, nil
}

// canWriteInline reports whether the request is written before the response is
// read: it has no body, or one of known length up to inlineBodyLimit.
func canWriteInline(request *http.Request) bool {
	if request.Body == nil || request.Body == http.NoBody {
		return true
	}
	return request.ContentLength >= 0 && request.ContentLength <= inlineBodyLimit
}

// write hands the request to the operating system. When the request's own
// body fails, the connection is closed: the peer must not wait for the rest.
func (e *exchange) write(request *http.Request) error {
	var recorder *bodyErrorRecorder
	if request.Body != nil && request.Body != http.NoBody {
		recorder = &bodyErrorRecorder{ReadCloser: request.Body}
		copied := *request
		copied.Body = recorder
		request = &copied
	}
	err := writeRequest(e.conn.writer, request)
	if err == nil {
		err = e.conn.writer.Flush()
	}
	if err == nil {
		e.written.Store(true)
		return nil
	}
	if recorder != nil && recorder.err != nil {
		e.bodyError.Store(&recorder.err)
		e.conn.close()
	}
	return err
}

// readHeader reads the final response's header and discards interim responses
// (1xx). All of them together may have maxHeaderBytes, so that interim responses
// without end are no answer.
func (e *exchange) readHeader(request *http.Request) (*http.Response, error) {
	e.conn.netReader.remaining = maxHeaderBytes
	defer func() { e.conn.netReader.remaining = math.MaxInt64 }()
	for {
		response, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return nil, err
		}
		switch status := response.StatusCode; {
		case status == http.StatusSwitchingProtocols:
			return nil, errors.New("peer switched protocols unasked")
		case status >= http.StatusOK && status <= maxStatus:
			return response, nil
		case status < http.StatusContinue || status > maxStatus:
			return nil, fmt.Errorf("status %03d is not an HTTP status code", status)
		}
	}
}

// isUndelimited reports whether only the end of the connection would end the
// body.
func isUndelimited(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	return response.Body != http.NoBody
}

// interrupt ends reads and writes on the connection of a cancelled request.
func (e *exchange) interrupt() {
	if e.pool.config.Linger > 0 {
		e.conn.interrupt()
		return
	}
	e.conn.close()
}

// fail ends an exchange that has no response and classifies its error.
func (e *exchange) fail(err error) error {
	e.closeIdleAfterTimeout()
	e.endFailed()
	if cause := context.Cause(e.ctx); cause != nil {
		err = errors.Join(cause, err)
	}
	if bodyError := e.bodyError.Load(); bodyError != nil {
		err = fmt.Errorf("request body: %w", *bodyError)
	}
	kind := ErrInterrupted
	if e.nothingSent() {
		kind = ErrNotSent
	}
	return fmt.Errorf("%w: %s: %w", kind, e.pool.config.Address, err)
}

// closeIdleAfterTimeout closes the peer's idle connections if a request on a
// connection that had been idle got no response before its deadline: if that
// connection has silently failed, the others may have as well. If the peer is
// merely slow, new connections are dialled when needed.
func (e *exchange) closeIdleAfterTimeout() {
	if e.conn.wasIdle && e.written.Load() && errors.Is(context.Cause(e.ctx), context.DeadlineExceeded) {
		e.pool.CloseIdle()
	}
}

// nothingSent reports whether it is certain that no byte was sent. That is so
// only for an inline write: a concurrent one may still be in progress.
func (e *exchange) nothingSent() bool {
	return e.inlineWrite && e.conn.netWriter.sent == 0
}

// end returns the connection to the pool or closes it. Only the first call of end
// or endFailed has an effect. Whole tells whether the whole response was read.
func (e *exchange) end(whole bool) {
	e.endOnce.Do(func() {
		inTime := e.stopInterrupt()
		reusable := whole && inTime && e.keepAlive && e.written.Load() &&
			e.conn.reader.Buffered() == 0
		switch {
		case reusable:
			e.pool.release(e.conn)
		case !whole && e.pool.config.Linger > 0:
			go e.linger()
			return
		default:
			e.pool.discard(e.conn)
		}
		e.ended()
	})
}

// endFailed ends an exchange whose connection failed. If the reason is that the
// request was cancelled, the peer may still be working on it.
func (e *exchange) endFailed() {
	if e.ctx.Err() != nil && !e.nothingSent() {
		e.end(false)
		return
	}
	e.endOnce.Do(func() {
		e.stopInterrupt()
		e.pool.discard(e.conn)
		e.ended()
	})
}

// linger waits until the peer closes its side of the connection.
func (e *exchange) linger() {
	e.conn.awaitPeerClose(e.pool.config.Linger)
	e.pool.discard(e.conn)
	e.ended()
}

// responseBody ends the exchange when the response was read to its end.
type responseBody struct {
	source   io.ReadCloser
	exchange *exchange
}

// Read returns io.EOF only at the end of a whole body.
func (body *responseBody) Read(buffer []byte) (int, error) {
	count, err := body.source.Read(buffer)
	switch {
	case err == io.EOF:
		body.exchange.end(true)
	case err != nil:
		if cause := context.Cause(body.exchange.ctx); cause != nil {
			err = errors.Join(cause, err)
		}
		body.exchange.endFailed()
	}
	return count, err
}

// Close ends the exchange. It closes the connection too, unless the body was
// read to its end.
func (body *responseBody) Close() error {
	body.exchange.end(false)
	return nil
}
