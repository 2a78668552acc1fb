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

// framing says how the end of a request is found.
type framing int

const (
	// framed: the bytes of one request.
	framed framing = iota
	// unframed: all bytes that follow on the connection, which http.Server reads as it
	// would without pipelining. So are malformed requests answered, and HTTP/1.0 ones.
	unframed
)

// exchange is one request of a pipeline and its answer. http.Server takes it for a
// connection on which nothing follows.
type exchange struct {
	pipeline *pipeline
	// request is nil where the bytes are none.
	request *http.Request
	framing framing
	// repeatable says that it may run beside others.
	repeatable bool

	// All that follows is guarded by the pipeline's mutex. wake tells Read and Write of
	// changes.
	wake sync.Cond
	// input is what was read and http.Server has not taken; expired says that it may not
	// wait for more, after the deadline.
	input    []byte
	expired  bool
	deadline time.Time
	timer    *time.Timer
	// output is what is kept for the exchange's turn, since readyAt.
	output  []byte
	readyAt time.Time
	// begun says that http.Server has it, head that it writes to the caller, finished that
	// the answer is whole, and last that the connection ends with it.
	begun, head, finished, last bool
	// idle says that an unframed exchange waits for a request.
	idle bool
}

func newExchange(p *pipeline, request *http.Request, framing framing) *exchange {
	e := &exchange{pipeline: p, request: request, framing: framing}
	e.repeatable = framing == framed && runsBeside(request) && p.server.settings.Repeatable(request)
	e.wake.L = &p.mutex
	return e
}

// runsBeside says that HTTP allows a request to run beside others of its connection: its
// method is safe (RFC 9110, section 9.2.1), and it neither has content nor changes the
// connection.
func runsBeside(r *http.Request) bool {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
	default:
		return false
	}
	return r.Body == http.NoBody && !r.Close && r.Host != "" && r.Header.Get("Upgrade") == "" && r.Header.Get("Expect") == ""
}

// Read implements net.Conn.
func (e *exchange) Read(buffer []byte) (int, error) {
	p := e.pipeline
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for {
		switch {
		case len(e.input) > 0:
			count := copy(buffer, e.input)
			e.input = e.input[count:]
			p.unread -= count
			p.room.Signal()
			return count, nil
		case e.finished, p.left, p.over:
			return 0, io.EOF
		case e.expired:
			return 0, os.ErrDeadlineExceeded
		}
		e.wake.Wait()
	}
}

// Write implements net.Conn.
func (e *exchange) Write(output []byte) (int, error) {
	p := e.pipeline
	p.mutex.Lock()
	for !e.head && !e.finished && !p.over && p.kept+len(output) > p.server.settings.AnswersKept {
		e.noteReady()
		e.wake.Wait()
	}
	if e.finished || p.over {
		p.mutex.Unlock()
		return 0, net.ErrClosed
	}
	if !e.head {
		e.noteReady()
		e.output = append(e.output, output...)
		p.kept += len(output)
		p.mutex.Unlock()
		return len(output), nil
	}
	p.mutex.Unlock()
	return p.write(output)
}

// noteReady notes since when the answer waits for its turn. The mutex is held.
func (e *exchange) noteReady() {
	if e.readyAt.IsZero() {
		e.readyAt = time.Now()
	}
}

// awaitTurn returns once what is written goes to the caller, or when the context ends.
func (e *exchange) awaitTurn(ctx context.Context) {
	p := e.pipeline
	stop := context.AfterFunc(ctx, func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		e.wake.Broadcast()
	})
	defer stop()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for !e.head && !e.finished && !p.over && ctx.Err() == nil {
		e.noteReady()
		e.wake.Wait()
	}
}

// endConnection makes the exchange the last one of its connection and returns true, unless
// others were read behind it.
func (e *exchange) endConnection() bool {
	p := e.pipeline
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(p.queue) == 0 || p.queue[len(p.queue)-1] != e {
		return false
	}
	p.sealed = true
	p.room.Broadcast()
	return true
}

// noteState follows http.Server's view of the exchange.
func (e *exchange) noteState(state http.ConnState) {
	if e.restsUnframed(state) || state != http.StateIdle {
		return
	}
	e.pipeline.finish(e, false)
}

// restsUnframed notes whether an unframed exchange waits for a request, and reports whether
// the exchange is one.
func (e *exchange) restsUnframed(state http.ConnState) bool {
	e.pipeline.mutex.Lock()
	defer e.pipeline.mutex.Unlock()
	e.idle = state == http.StateIdle && e.framing == unframed
	return e.framing == unframed
}

// Close implements net.Conn. http.Server closes a connection behind an answer that ends it,
// and where an answer can't be completed.
func (e *exchange) Close() error {
	_ = e.SetReadDeadline(time.Time{}) // ends its timer
	e.pipeline.finish(e, true)
	return nil
}

// CloseWrite is what http.Server calls before it closes a connection that the caller may
// still write to.
func (e *exchange) CloseWrite() error { return e.Close() }

// LocalAddr implements net.Conn.
func (e *exchange) LocalAddr() net.Addr { return e.pipeline.connection.LocalAddr() }

// RemoteAddr implements net.Conn.
func (e *exchange) RemoteAddr() net.Addr { return e.pipeline.connection.RemoteAddr() }

// SetReadDeadline implements net.Conn.
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
		e.wake.Broadcast()
	} else if !deadline.IsZero() {
		e.timer = time.AfterFunc(time.Until(deadline), func() { e.expire(deadline) })
	}
	return nil
}

// expire ends reads at a deadline, unless there is another one by now.
func (e *exchange) expire(deadline time.Time) {
	e.pipeline.mutex.Lock()
	defer e.pipeline.mutex.Unlock()
	if e.deadline.Equal(deadline) {
		e.expired = true
		e.wake.Broadcast()
	}
}

// SetWriteDeadline implements net.Conn. Writes are bounded by Pipelining.WriteStall.
func (e *exchange) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn.
func (e *exchange) SetDeadline(deadline time.Time) error { return e.SetReadDeadline(deadline) }
