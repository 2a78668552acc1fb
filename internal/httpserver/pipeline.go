package httpserver

import (
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// lingerTimeout is how long a connection is read after its last response was written:
	// closing it with unread bytes would reset it, and the client could lose the response
	// (RFC 9112, section 9.6).
	lingerTimeout = 500 * time.Millisecond
	// writeChunkSize is how much of a response must be written within
	// Pipelining.WriteStall.
	writeChunkSize = 32 << 10
)

// pipeline is a connection with pipelining. One goroutine reads requests
// (pipelinereader.go); each becomes an exchange, which http.Server serves as a connection
// of its own. Responses are sent in the order of the requests.
type pipeline struct {
	server     *pipelineServer
	connection *trackedConnection

	mutex sync.Mutex
	// readerWake wakes the reader.
	readerWake sync.Cond
	// queue holds the unanswered requests in order. inProgress counts those of them that
	// have started and are not finished.
	queue      []*exchange
	inProgress int
	// unreadInput counts the bytes of requests that http.Server has not read yet, and
	// bufferedOutput those of responses that wait for their turn.
	unreadInput, bufferedOutput int
	// previousRequest is the request that was answered last. anyAnswered is set once there
	// was one; previousRequest may be nil even then.
	previousRequest *http.Request
	anyAnswered     bool
	// awaitingRequest is set while the reader waits for the first byte of a request.
	awaitingRequest bool
	// inputClosed is set when no further request is read.
	inputClosed bool
	// clientLeft is set when the client has closed its side: requests in progress are
	// cancelled.
	clientLeft bool
	// closed is set when the last response was written or the connection has failed:
	// requests in progress are cancelled, and nothing more is started or written.
	closed bool
	// flushing is set while a goroutine writes buffered responses.
	flushing bool
}

func newPipeline(server *pipelineServer, connection *trackedConnection) *pipeline {
	p := &pipeline{server: server, connection: connection}
	p.readerWake.L = &p.mutex
	return p
}

// enqueue adds a request, with its bytes that were read so far, and starts it if possible.
// It returns nil if the pipeline accepts no more requests.
func (p *pipeline) enqueue(request *http.Request, framing framing, read []byte) *exchange {
	p.mutex.Lock()
	if p.inputClosed || p.closed {
		p.mutex.Unlock()
		return nil
	}
	p.awaitingRequest = false
	e := newExchange(p, request, framing)
	e.input = read
	p.unreadInput += len(read)
	p.queue = append(p.queue, e)
	p.inputClosed = request != nil && request.Close
	ready := p.startExchanges()
	p.mutex.Unlock()
	p.handOver(ready)
	return e
}

// startExchanges marks the exchanges that may start now and returns them: repeatable ones
// run concurrently, each other one alone. The caller holds the mutex.
func (p *pipeline) startExchanges() (ready []*exchange) {
	for i, e := range p.queue {
		alone := !e.repeatable
		if !e.started {
			if p.closed || alone && i > 0 || p.inProgress >= p.server.settings.Requests {
				break
			}
			e.started, e.atHead = true, i == 0
			p.inProgress++
			if i > 0 {
				p.server.settings.Observer.Begun(e.request, i)
			}
			ready = append(ready, e)
		}
		if alone {
			break
		}
	}
	return ready
}

// handOver passes exchanges to http.Server. The caller must not hold the mutex.
func (p *pipeline) handOver(ready []*exchange) {
	for _, e := range ready {
		p.server.exchanges.send(e)
	}
}

// finish records that the response of an exchange is complete, and whether the connection
// ends with it. It then writes and starts what comes next.
func (p *pipeline) finish(e *exchange, closes bool) {
	p.mutex.Lock()
	if e.finished {
		p.mutex.Unlock()
		return
	}
	e.finished, e.closesConnection = true, closes
	p.unreadInput -= len(e.input)
	e.input = nil
	if e.started {
		p.inProgress--
	}
	e.changed.Broadcast()
	p.advance()
	ready := p.startExchanges()
	p.mutex.Unlock()
	p.handOver(ready)
}

// advance removes finished exchanges from the head of the queue, and gives the turn to the
// next one after writing its buffered output. The caller holds the mutex, which is released
// during writes.
func (p *pipeline) advance() {
	if p.flushing {
		return
	}
	p.flushing = true
	defer func() { p.flushing = false }()
	for len(p.queue) > 0 && !p.closed {
		e := p.queue[0]
		if !e.started || !p.flush(e) || !e.finished {
			break
		}
		p.queue = slices.Delete(p.queue, 0, 1)
		p.previousRequest, p.anyAnswered = e.request, true
		if e.closesConnection {
			p.closeAfterResponse()
		}
	}
	p.setIdleDeadline()
	p.readerWake.Broadcast()
}

// flush writes the buffered output of the exchange at the head of the queue and gives it
// the turn. It returns false if the connection has failed. The caller holds the mutex,
// which is released during writes.
func (p *pipeline) flush(e *exchange) bool {
	if !e.atHead && !e.readyAt.IsZero() {
		p.server.settings.Observer.Waited(e.request, p.previousRequest, time.Since(e.readyAt))
	}
	for len(e.output) > 0 {
		output := e.output
		e.output = nil
		p.mutex.Unlock()
		_, err := p.write(output)
		p.mutex.Lock()
		p.bufferedOutput -= len(output)
		p.wakeAll()
		if err != nil || p.closed {
			return false
		}
	}
	if !e.atHead {
		e.atHead = true
		e.changed.Broadcast()
	}
	return true
}

// write writes to the client, and closes the connection if that fails. The caller must not
// hold the mutex.
func (p *pipeline) write(output []byte) (written int, err error) {
	for chunk := range slices.Chunk(output, writeChunkSize) {
		_ = p.connection.SetWriteDeadline(time.Now().Add(p.server.settings.WriteStall))
		count, err := p.connection.Write(chunk)
		written += count
		if err != nil {
			p.handleWriteError(err)
			return written, err
		}
	}
	return written, nil
}

// handleWriteError closes a connection after a failed write.
func (p *pipeline) handleWriteError(err error) {
	if failure := (net.Error)(nil); errors.As(err, &failure) && failure.Timeout() {
		p.server.settings.Observer.Stalled(p.connection.RemoteAddr(), p.unanswered())
	}
	p.abort()
}

// abort cancels all requests and closes the connection.
func (p *pipeline) abort() {
	p.cancelAll()
	_ = p.connection.Close()
}

// cancelAll cancels the requests in progress and drops those that have not started.
func (p *pipeline) cancelAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cancelAllLocked()
}

// drainAfterClientLeft is called when the client has closed its side. It cancels the
// requests in progress, drops those that have not started, and returns once the responses
// that handlers still give were written.
func (p *pipeline) drainAfterClientLeft() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.clientLeft, p.inputClosed = true, true
	p.wakeAll()
	p.queue = slices.DeleteFunc(p.queue, func(e *exchange) bool { return !e.started })
	for len(p.queue) > 0 && !p.closed {
		p.readerWake.Wait()
	}
}

// cancelAllLocked is cancelAll for callers that hold the mutex.
func (p *pipeline) cancelAllLocked() {
	p.closed, p.inputClosed = true, true
	p.wakeAll()
	p.readerWake.Broadcast()
	p.queue = nil
}

// closeAfterResponse closes the connection for writing after its last response. Requests
// that were sent after it count as not read. The caller holds the mutex.
func (p *pipeline) closeAfterResponse() {
	p.cancelAllLocked()
	if half, ok := p.connection.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = p.connection.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// wakeAll wakes all unanswered exchanges. The caller holds the mutex.
func (p *pipeline) wakeAll() {
	for _, e := range p.queue {
		e.changed.Broadcast()
	}
}

// setIdleDeadline limits how long the connection may be idle, if it is idle after a
// response. The caller holds the mutex.
func (p *pipeline) setIdleDeadline() {
	if p.awaitingRequest && p.anyAnswered && len(p.queue) == 0 && !p.closed {
		_ = p.connection.SetReadDeadline(deadlineAfter(p.server.idleTimeout()))
	}
}

// deadlineAfter returns the time after a duration from now, or the zero time, which is no
// deadline, if the duration is not positive.
func deadlineAfter(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// retire ends the connection if it is idle, and reports whether there is something to wait
// for. It doesn't wait for one whose next request's header is incomplete.
func (p *pipeline) retire() (pending bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.closed:
		return false
	case len(p.queue) == 1 && p.queue[0].idle && len(p.queue[0].input) == 0:
		p.closeAfterResponse()
		return false
	case len(p.queue) > 0:
		return true
	case !p.awaitingRequest || p.connection.hasReceived():
		return false
	}
	p.connection.retire()
	return true
}

// unanswered returns the number of requests that were read and are not answered.
func (p *pipeline) unanswered() (count int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, e := range p.queue {
		if !e.idle {
			count++
		}
	}
	return count
}

// idleState returns the state of a connection without a request in progress: idle, or new
// if there was none yet.
func (p *pipeline) idleState() http.ConnState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.anyAnswered {
		return http.StateIdle
	}
	return http.StateNew
}
