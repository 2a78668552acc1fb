package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// framing tells which bytes of the connection belong to an exchange.
type framing int

const (
	// framed: the bytes of one request.
	framed framing = iota
	// unframed: all further bytes of the connection, which http.Server reads as it would
	// without pipelining. Malformed requests and HTTP/1.0 are handled this way.
	unframed
)

// exchange is one request of a pipeline and its response. For http.Server it is a
// connection that carries only this request, unless it is unframed.
type exchange struct {
	pipeline *pipeline
	// request is nil if the bytes could not be parsed.
	request *http.Request
	framing framing
	// repeatable is set if the exchange may run concurrently with others.
	repeatable bool

	// All fields below are guarded by the pipeline's mutex. changed wakes Read, Write and
	// awaitTurn when one of them or of the pipeline's changes.
	changed sync.Cond
	// input holds the bytes that were read from the connection and not yet by
	// http.Server. expired is set when the read deadline has passed.
	input    []byte
	expired  bool
	deadline time.Time
	timer    *time.Timer
	// output is the part of the response that is buffered until the exchange's turn.
	// readyAt is when it began to wait for that.
	output  []byte
	readyAt time.Time
	// started is set when the exchange is passed to http.Server, atHead when its writes
	// go to the client directly, finished when the response is complete, and
	// closesConnection if the connection ends with it.
	started, atHead, finished, closesConnection bool
	// idle is set while an unframed exchange waits for a request.
	idle bool
}

func newExchange(p *pipeline, request *http.Request, framing framing) *exchange {
	e := &exchange{pipeline: p, request: request, framing: framing}
	e.repeatable = framing == framed && permitsConcurrency(request) && p.server.settings.Repeatable(request)
	e.changed.L = &p.mutex
	return e
}

// permitsConcurrency reports whether HTTP allows a request to run concurrently with
// others of its connection: its method is safe (RFC 9110, section 9.2.1), it has no
// content, and it doesn't change the state of the connection.
func permitsConcurrency(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	default:
		return false
	}
	return r.Body == http.NoBody && !r.Close && r.Host != "" && r.Header.Get("Upgrade") == "" && r.Header.Get("Expect") == ""
}

// Read implements net.Conn. It returns the bytes of the request.
func (e *exchange) Read(buffer []byte) (int, error) {
	p := e.pipeline
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		switch {
		case len(e.input) > 0:
			count := copy(buffer, e.input)
			e.input = e.input[count:]
			p.unreadInput -= count
			p.readerWake.Signal()
			return count, nil
		case e.finished, p.clientLeft, p.closed:
			return 0, io.EOF
		case e.expired:
			return 0, os.ErrDeadlineExceeded
		}
		e.changed.Wait()
	}
}

// Write implements net.Conn. It writes to the client if it is the exchange's turn; else
// it buffers the bytes, or blocks when the buffer is full.
func (e *exchange) Write(output []byte) (int, error) {
	p := e.pipeline
	p.mutex.Lock()
	for !e.atHead && !e.finished && !p.closed && p.bufferedOutput+len(output) > p.server.settings.OutputBuffer {
		e.markReady()
		e.changed.Wait()
	}
	if e.finished || p.closed {
		p.mutex.Unlock()
		return 0, net.ErrClosed
	}
	if !e.atHead {
		e.markReady()
		e.output = append(e.output, output...)
		p.bufferedOutput += len(output)
		p.mutex.Unlock()
		return len(output), nil
	}
	p.mutex.Unlock()
	return p.write(output)
}

// markReady records since when the response waits for its turn. The caller holds the
// mutex.
func (e *exchange) markReady() {
	if e.readyAt.IsZero() {
		e.readyAt = time.Now()
	}
}

// awaitTurn returns once writes go to the client directly, or when the context ends.
func (e *exchange) awaitTurn(ctx context.Context) {
	p := e.pipeline
	stop := context.AfterFunc(ctx, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		e.changed.Broadcast()
	})
	defer stop()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for !e.atHead && !e.finished && !p.closed && ctx.Err() == nil {
		e.markReady()
		e.changed.Wait()
	}
}

// endConnection makes the exchange the last one of its connection and returns true, or
// returns false if another one was read after it.
func (e *exchange) endConnection() bool {
	p := e.pipeline
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.queue) == 0 || p.queue[len(p.queue)-1] != e {
		return false
	}
	p.inputClosed = true
	p.readerWake.Broadcast()
	return true
}

// noteState is called when http.Server changes the state of the exchange as a connection.
// An idle one is finished: its response was written.
func (e *exchange) noteState(state http.ConnState) {
	if e.noteUnframedState(state) || state != http.StateIdle {
		return
	}
	e.pipeline.finish(e, false)
}

// noteUnframedState records whether an unframed exchange waits for a request, and reports
// whether the exchange is unframed.
func (e *exchange) noteUnframedState(state http.ConnState) bool {
	e.pipeline.mutex.Lock()
	defer e.pipeline.mutex.Unlock()
	e.idle = state == http.StateIdle && e.framing == unframed
	return e.framing == unframed
}

// Close implements net.Conn. http.Server closes a connection after a response with
// "Connection: close", and if it can't complete a response.
func (e *exchange) Close() error {
	_ = e.SetReadDeadline(time.Time{}) // stops the timer
	e.pipeline.finish(e, true)
	return nil
}

// CloseWrite closes the exchange. http.Server calls it before it closes a connection on
// which the client may still be sending.
func (e *exchange) CloseWrite() error { return e.Close() }

// LocalAddr implements net.Conn.
func (e *exchange) LocalAddr() net.Addr { return e.pipeline.connection.LocalAddr() }

// RemoteAddr implements net.Conn.
func (e *exchange) RemoteAddr() net.Addr { return e.pipeline.connection.RemoteAddr() }

// SetReadDeadline implements net.Conn. The deadline holds for reading from the exchange,
// not from the client's connection.
func (e *exchange) SetReadDeadline(deadline time.Time) error {
	p := e.pipeline
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if e.timer != nil {
		e.timer.Stop()
		e.timer = nil
	}
	e.deadline = deadline
	e.expired = !deadline.IsZero() && !deadline.After(time.Now())
	if e.expired {
		e.changed.Broadcast()
	} else if !deadline.IsZero() {
		e.timer = time.AfterFunc(time.Until(deadline), func() { e.expire(deadline) })
	}
	return nil
}

// expire ends reads at a deadline, unless it has been replaced.
func (e *exchange) expire(deadline time.Time) {
	e.pipeline.mutex.Lock()
	defer e.pipeline.mutex.Unlock()
	if e.deadline.Equal(deadline) {
		e.expired = true
		e.changed.Broadcast()
	}
}

// SetWriteDeadline implements net.Conn. Writes are bounded by Pipelining.WriteStall.
func (e *exchange) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (e *exchange) SetDeadline(deadline time.Time) error { return e.SetReadDeadline(deadline) }
