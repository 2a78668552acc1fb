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
	// lingerWait is how long a connection whose last answer was written is still read:
	// closing it with bytes unread would reset it, and the caller could lose the answer
	// (RFC 9112, section 9.6).
	lingerWait = 500 * time.Millisecond
	// writeChunk is how much of an answer must be taken within Pipelining.WriteStall.
	writeChunk = 32 << 10
)

// pipeline is one connection whose caller may send requests ahead. One goroutine reads
// (pipelinereader.go); each request that has begun is an exchange, which http.Server takes
// for a connection of its own. Answers leave in the order of the requests.
type pipeline struct {
	server     *pipelines
	connection *trackedConnection

	mutex sync.Mutex
	// room wakes the reader.
	room sync.Cond
	// queue holds what was read and is not answered, in order, and running how many of
	// these have begun and are not finished.
	queue   []*exchange
	running int
	// unread counts bytes of requests that http.Server has not taken yet, and kept bytes
	// of answers that wait for their turn.
	unread, kept int
	// previous is the request that was answered last, answered that there was one.
	previous *http.Request
	answered bool
	// between says that the reader waits for the first byte of a request.
	between bool
	// sealed says that no further request is read.
	sealed bool
	// left says that the caller has closed its side: requests in progress are cancelled.
	left bool
	// over says that the last answer was written, or that the caller is gone: requests in
	// progress are cancelled, and nothing more is begun or written.
	over bool
	// flushing says that a goroutine writes answers that were kept.
	flushing bool
}

func newPipeline(server *pipelines, connection *trackedConnection) *pipeline {
	p := &pipeline{server: server, connection: connection}
	p.room.L = &p.mutex
	return p
}

// enqueue takes a request, with those of its bytes that have been read. It returns nil
// where the connection takes no more.
func (p *pipeline) enqueue(request *http.Request, framing framing, read []byte) *exchange {
	p.mutex.Lock()
	if p.sealed || p.over {
		p.mutex.Unlock()
		return nil
	}
	p.between = false
	e := newExchange(p, request, framing)
	e.input = read
	p.unread += len(read)
	p.queue = append(p.queue, e)
	p.sealed = request != nil && request.Close
	begun := p.begin()
	p.mutex.Unlock()
	p.handOver(begun)
	return e
}

// begin marks the exchanges that may begin now and returns them: repeatable ones beside
// each other, others alone.
func (p *pipeline) begin() (begun []*exchange) {
	for i, e := range p.queue {
		alone := !e.repeatable
		if !e.begun {
			if p.over || alone && i > 0 || p.running >= p.server.settings.Requests {
				break
			}
			e.begun, e.head = true, i == 0
			p.running++
			if i > 0 {
				p.server.settings.Observer.Begun(e.request, i)
			}
			begun = append(begun, e)
		}
		if alone {
			break
		}
	}
	return begun
}

func (p *pipeline) handOver(begun []*exchange) {
	for _, e := range begun {
		p.server.exchanges.begin(e)
	}
}

// finish notes that the answer of an exchange is whole, and whether the connection ends
// with it, and writes what is next.
func (p *pipeline) finish(e *exchange, last bool) {
	p.mutex.Lock()
	if e.finished {
		p.mutex.Unlock()
		return
	}
	e.finished, e.last = true, last
	if e.begun {
		p.running--
	}
	e.wake.Broadcast()
	p.advance()
	begun := p.begin()
	p.mutex.Unlock()
	p.handOver(begun)
}

// advance removes finished exchanges from the head of the queue and gives the turn to the
// next one, with what it has kept. The mutex is held, but not while it writes.
func (p *pipeline) advance() {
	if p.flushing {
		return
	}
	p.flushing = true
	defer func() { p.flushing = false }()
	for len(p.queue) > 0 && !p.over {
		e := p.queue[0]
		if !e.begun || !p.flush(e) || !e.finished {
			break
		}
		p.queue = slices.Delete(p.queue, 0, 1)
		p.previous, p.answered = e.request, true
		if e.last {
			p.end()
		}
	}
	p.awaitNext()
	p.room.Broadcast()
}

// flush writes what an exchange at the head has kept and gives it the turn. It returns
// false where the connection broke.
func (p *pipeline) flush(e *exchange) bool {
	if !e.head && !e.readyAt.IsZero() {
		p.server.settings.Observer.Waited(e.request, p.previous, time.Since(e.readyAt))
	}
	for len(e.output) > 0 {
		output := e.output
		e.output = nil
		p.mutex.Unlock()
		_, err := p.write(output)
		p.mutex.Lock()
		p.kept -= len(output)
		p.wakeAll()
		if err != nil || p.over {
			return false
		}
	}
	if !e.head {
		e.head = true
		e.wake.Broadcast()
	}
	return true
}

// write passes bytes to the caller. After an error the connection is over. The mutex is
// not held.
func (p *pipeline) write(output []byte) (written int, err error) {
	for chunk := range slices.Chunk(output, writeChunk) {
		_ = p.connection.SetWriteDeadline(time.Now().Add(p.server.settings.WriteStall))
		count, err := p.connection.Write(chunk)
		written += count
		if err != nil {
			p.breakOff(err)
			return written, err
		}
	}
	return written, nil
}

// breakOff ends a connection that can't be written to.
func (p *pipeline) breakOff(err error) {
	if failure := (net.Error)(nil); errors.As(err, &failure) && failure.Timeout() {
		p.server.settings.Observer.Stalled(p.connection.RemoteAddr(), p.unanswered())
	}
	p.abort()
}

// abort closes the connection with the requests that it carries.
func (p *pipeline) abort() {
	p.callerGone()
	_ = p.connection.Close()
}

// callerGone cancels the requests in progress and drops those that have not begun.
func (p *pipeline) callerGone() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.finishAll()
}

// callerLeft cancels the requests in progress of a caller that has closed its side, drops
// those that have not begun, and returns once what handlers answer still was written.
func (p *pipeline) callerLeft() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.left, p.sealed = true, true
	p.wakeAll()
	p.queue = slices.DeleteFunc(p.queue, func(e *exchange) bool { return !e.begun })
	for len(p.queue) > 0 && !p.over {
		p.room.Wait()
	}
}

// finishAll ends all exchanges. The mutex is held.
func (p *pipeline) finishAll() {
	p.over, p.sealed = true, true
	p.wakeAll()
	p.room.Broadcast()
	p.queue = nil
}

// end closes the connection behind its last answer. What was sent behind it counts as not
// read. The mutex is held.
func (p *pipeline) end() {
	p.finishAll()
	if half, ok := p.connection.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = p.connection.SetReadDeadline(time.Now().Add(lingerWait))
}

func (p *pipeline) wakeAll() {
	for _, e := range p.queue {
		e.wake.Broadcast()
	}
}

// awaitNext bounds how long the connection may be idle after an answer. The mutex is held.
func (p *pipeline) awaitNext() {
	if p.between && p.answered && len(p.queue) == 0 && !p.over {
		_ = p.connection.SetReadDeadline(deadlineAfter(p.server.idleTimeout()))
	}
}

// deadlineAfter is a time from now on; zero is no bound.
func deadlineAfter(limit time.Duration) time.Time {
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// retire ends the connection if it is idle, and returns whether there is something to wait
// for. One whose header is still not whole is not waited for.
func (p *pipeline) retire() (left bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	switch {
	case p.over:
		return false
	case len(p.queue) == 1 && p.queue[0].idle && len(p.queue[0].input) == 0:
		p.end()
		return false
	case len(p.queue) > 0:
		return true
	case !p.between || p.connection.receiving():
		return false
	}
	p.connection.retire()
	return true
}

// unanswered counts the requests that were read and are not answered.
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

// restState is the state of a connection without a request in progress.
func (p *pipeline) restState() http.ConnState {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.answered {
		return http.StateIdle
	}
	return http.StateNew
}
