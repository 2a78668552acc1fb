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

// inlineBodyLimit in bytes: bodies up to it are written before the answer is
// read; larger ones are written beside it, so that an early answer is seen.
const inlineBodyLimit = 32 << 10

var errHeaderTooLarge = fmt.Errorf("answer header longer than %d bytes", maxHeaderBytes)

// Do sends the request once and returns the answer's header. The caller reads
// Response.Body to its end and closes it; a body that breaks off ends with an
// error other than io.EOF. Cancelling ctx, also while the body is read, closes
// the connection, which tells the peer (see Config.Linger). The request is written as by
// http.Request.Write: URL, Host, Header, Body, ContentLength and Trailer count.
// Every error wraps ErrNotSent or ErrInterrupted.
//
// When the answer comes before the whole request body was read, the body may
// be read until Response.Body is closed and shortly after; a server handler
// that passes its own body on must end that read with a read deadline.
func (pool *Pool) Do(ctx context.Context, request *http.Request) (*http.Response, error) {
	return pool.DoNotify(ctx, request, func() {})
}

// DoNotify is Do and calls ended once, on any goroutine, when the peer has
// ended with the request: it answered whole, nothing was sent, the connection
// broke, or, for a request that was given up, as Config.Linger says.
func (pool *Pool) DoNotify(ctx context.Context, request *http.Request, ended func()) (*http.Response, error) {
	connection, err := pool.acquire(ctx)
	if err != nil {
		closeBody(request)
		ended()
		return nil, fmt.Errorf("%w: %s: %w", ErrNotSent, pool.config.Address, err)
	}
	connection.wake()
	running := &exchange{pool: pool, conn: connection, ctx: ctx, ended: ended}
	running.stopWatch = context.AfterFunc(ctx, running.interrupt)
	response, err := running.run(request)
	if err != nil {
		return nil, running.fail(err)
	}
	return response, nil
}

func closeBody(request *http.Request) {
	if request.Body != nil {
		_ = request.Body.Close()
	}
}

// exchange is one request and its answer on one connection.
type exchange struct {
	pool      *Pool
	conn      *conn
	ctx       context.Context
	ended     func()
	stopWatch func() bool
	// inlineWrite says that the request is written before the answer is read.
	inlineWrite bool
	// written is set once the whole request has been handed over.
	written   atomic.Bool
	bodyError atomic.Pointer[error]
	keepAlive bool
	finish    sync.Once
}

func (running *exchange) run(request *http.Request) (*http.Response, error) {
	running.conn.sink.sent = 0
	running.inlineWrite = inlineBody(request)
	if running.inlineWrite {
		if err := running.write(request); err != nil {
			return nil, err
		}
	} else {
		go func() { _ = running.write(request) }()
	}
	response, err := running.readHeader(request)
	if err != nil {
		return nil, err
	}
	if undelimited(response) {
		return nil, ErrUndelimited
	}
	running.keepAlive = !response.Close && !request.Close
	if response.Body == http.NoBody {
		running.end(true)
		return response, nil
	}
	response.Body = &answerBody{source: response.Body, exchange: running}
	return response, nil
}

func inlineBody(request *http.Request) bool {
	if request.Body == nil || request.Body == http.NoBody {
		return true
	}
	return request.ContentLength >= 0 && request.ContentLength <= inlineBodyLimit
}

// write hands the request to the operating system. When the request's own
// body fails, the connection is closed: the peer must not wait for the rest.
func (running *exchange) write(request *http.Request) error {
	var recorder *failureRecorder
	if request.Body != nil && request.Body != http.NoBody {
		recorder = &failureRecorder{ReadCloser: request.Body}
		copied := *request
		copied.Body = recorder
		request = &copied
	}
	err := writeRequest(running.conn.writer, request)
	if err == nil {
		err = running.conn.writer.Flush()
	}
	if err == nil {
		running.written.Store(true)
		return nil
	}
	if recorder != nil && recorder.err != nil {
		running.bodyError.Store(&recorder.err)
		running.conn.close()
	}
	return err
}

// readHeader reads the final answer's header; interim ones (1xx) are dropped.
func (running *exchange) readHeader(request *http.Request) (*http.Response, error) {
	for {
		running.conn.source.left = maxHeaderBytes
		response, err := http.ReadResponse(running.conn.reader, request)
		running.conn.source.left = math.MaxInt64
		if err != nil {
			return nil, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("peer switched protocols unasked")
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// undelimited says that only the connection's end would end the body.
func undelimited(response *http.Response) bool {
	if response.ContentLength >= 0 || len(response.TransferEncoding) > 0 {
		return false
	}
	return response.Body != http.NoBody
}

// interrupt wakes up whoever uses the connection of a request that was given
// up.
func (running *exchange) interrupt() {
	if running.pool.config.Linger > 0 {
		running.conn.interrupt()
		return
	}
	running.conn.close()
}

// fail ends an exchange that has no answer and classifies its error.
func (running *exchange) fail(err error) error {
	running.suspectIdle()
	running.endBroken()
	if cause := context.Cause(running.ctx); cause != nil {
		err = errors.Join(cause, err)
	}
	if bodyError := running.bodyError.Load(); bodyError != nil {
		err = fmt.Errorf("request body: %w", *bodyError)
	}
	kind := ErrInterrupted
	if running.nothingSent() {
		kind = ErrNotSent
	}
	return fmt.Errorf("%w: %s: %w", kind, running.pool.config.Address, err)
}

// suspectIdle closes the idle connections to a peer that has answered nothing in
// time on a connection that had been idle: where that one has gone silent, so may
// the others have. If the peer is merely slow, they are made anew when needed.
func (running *exchange) suspectIdle() {
	if running.conn.rested && running.written.Load() && errors.Is(context.Cause(running.ctx), context.DeadlineExceeded) {
		running.pool.CloseIdle()
	}
}

// nothingSent is true only for an inline write that handed over no byte. A
// write beside the reading may still go on, so it proves nothing.
func (running *exchange) nothingSent() bool {
	return running.inlineWrite && running.conn.sink.sent == 0
}

// end gives the connection back once, or closes it. Whole says that the whole
// answer was read.
func (running *exchange) end(whole bool) {
	running.finish.Do(func() {
		inTime := running.stopWatch()
		reusable := whole && inTime && running.keepAlive && running.written.Load() &&
			running.conn.reader.Buffered() == 0
		switch {
		case reusable:
			running.pool.release(running.conn)
		case !whole && running.pool.config.Linger > 0:
			go running.linger()
			return
		default:
			running.pool.discard(running.conn)
		}
		running.ended()
	})
}

// endBroken ends an exchange whose connection failed. Where that came from
// giving up, the peer may still be at work.
func (running *exchange) endBroken() {
	if running.ctx.Err() != nil && !running.nothingSent() {
		running.end(false)
		return
	}
	running.finish.Do(func() {
		running.stopWatch()
		running.pool.discard(running.conn)
		running.ended()
	})
}

// linger waits until the peer closes its side of the connection.
func (running *exchange) linger() {
	running.conn.awaitEnd(running.pool.config.Linger)
	running.pool.discard(running.conn)
	running.ended()
}

// answerBody gives the connection back when the answer was read to its end.
type answerBody struct {
	source   io.ReadCloser
	exchange *exchange
}

// Read returns io.EOF only at the end of a whole body.
func (body *answerBody) Read(buffer []byte) (int, error) {
	count, err := body.source.Read(buffer)
	switch {
	case err == io.EOF:
		body.exchange.end(true)
	case err != nil:
		if cause := context.Cause(body.exchange.ctx); cause != nil {
			err = errors.Join(cause, err)
		}
		body.exchange.endBroken()
	}
	return count, err
}

// Close ends the exchange; the connection is closed too unless the body had
// been read to its end.
func (body *answerBody) Close() error {
	body.exchange.end(false)
	return nil
}
