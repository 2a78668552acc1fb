// Package httpserver stops an http.Server without losing a request, and lets callers send
// requests before earlier ones are answered (Pipelining).
//
// http.Server.Shutdown alone loses some: it closes the listener while
// connections wait in the kernel's backlog, which resets them, and it closes a
// connection whose next request is being read when the stop begins without an
// answer. A caller can't tell such a request from one that ran. Stop takes the
// backlog first, and answers with "Connection: close" from then on, so that
// callers leave connections before they are closed (RFC 9112, section 9.6). It
// gives open connections a moment to send a request, and answers every one whose
// first byte arrived in it. A request that is sent in the very moment in which
// its connection is closed, after that, still has no answer, as HTTP/1.1 can't
// tell the caller in time; a handler that answers "Connection: close" earlier
// makes this rarer.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// stopPoll is how often a stop looks whether requests are in progress.
	stopPoll = 2 * time.Millisecond
	// requestGrace is how long an open connection may take, after the listener
	// closed, for its next request's header. Connections without one are closed
	// then.
	requestGrace = 250 * time.Millisecond
)

// CutOffError says that a stop was given up with requests in progress, whose
// connections it closed.
type CutOffError struct{ Requests int }

// Error implements error.
func (e *CutOffError) Error() string { return fmt.Sprintf("%d requests were cut off", e.Requests) }

// Server is an http.Server with a listener. Make one with New.
type Server struct {
	http     *http.Server
	listener *stoppableListener
	// accepting is closed when Serve returns.
	accepting chan struct{}
	// states holds the http.ConnState of each open connection by net.Conn.
	states sync.Map
	// pipelines are the connections of a server that takes pipelined requests, else nil.
	pipelines *pipelines
}

// Listener is what New needs of a listener; *net.TCPListener is one.
type Listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// New prepares a server. It takes over server.ConnState and wraps
// server.Handler. At most maximumConnections are open at once; further ones wait
// in the kernel's backlog. Zero means any number.
func New(server *http.Server, listener Listener, maximumConnections int) *Server {
	s := &Server{
		http:      server,
		listener:  newStoppableListener(listener, maximumConnections, server.ErrorLog),
		accepting: make(chan struct{}),
	}
	server.ConnState = s.track
	server.Handler = s.closing(server.Handler)
	return s
}

// NewPipelined prepares a server whose callers may send requests ahead: those that may be
// repeated run side by side, and all are answered in order. It takes over server.ConnContext
// as well. Over TLS it is as New: callers have HTTP/2 there.
func NewPipelined(server *http.Server, listener Listener, maximumConnections int, settings Pipelining) *Server {
	s := New(server, listener, maximumConnections)
	if server.TLSConfig != nil {
		return s
	}
	s.pipelines = newPipelines(server, settings, listener.Addr())
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if e, ok := connection.(*exchange); ok {
			e.noteState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, connection net.Conn) context.Context {
		return context.WithValue(ctx, exchangeKey{}, connection)
	}
	return s
}

// Serve accepts connections, over TLS where the server has a TLSConfig. It
// returns nil after Stop.
func (s *Server) Serve() error {
	defer close(s.accepting)
	var err error
	switch {
	case s.pipelines != nil:
		err = s.pipelines.serve(s.listener)
	case s.http.TLSConfig != nil:
		err = s.http.ServeTLS(s.listener, "", "")
	default:
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || s.listener.stopping() {
		return nil
	}
	return err
}

// closing makes a handler's answers end their connection once the stop has begun.
func (s *Server) closing(handler http.Handler) http.Handler {
	if handler == nil {
		handler = http.DefaultServeMux
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.listener.stopping() {
			EndConnection(w, r)
		}
		handler.ServeHTTP(w, r)
	})
}

// Stop closes the listener and returns when all requests have been answered.
// When the context ends first, it closes what is left and returns a
// *CutOffError.
// It must not be called before Serve.
func (s *Server) Stop(ctx context.Context) error {
	s.listener.stop()
	<-s.accepting
	grace := graceOf(ctx, time.Now())
	if !waitWhile(ctx, func() bool { return s.anyOpen() && time.Now().Before(grace) }) || !waitWhile(ctx, s.retireIdle) {
		return s.cutOff()
	}
	if s.pipelines != nil {
		s.pipelines.close()
		return s.http.Close()
	}
	// No connection is idle any more, which this would close with its request.
	s.http.SetKeepAlivesEnabled(false)
	if !waitWhile(ctx, func() bool { return s.Open(http.StateActive) > 0 }) {
		return s.cutOff()
	}
	return s.http.Close()
}

// graceOf is when connections without a request are closed: after requestGrace,
// or half of a shorter stop, so that there is time left to close them in order.
func graceOf(ctx context.Context, now time.Time) time.Time {
	grace := requestGrace
	if end, ok := ctx.Deadline(); ok {
		grace = min(grace, end.Sub(now)/2)
	}
	return now.Add(grace)
}

// waitWhile returns once the condition does not hold any more, or false when
// the context ends first.
func waitWhile(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for condition() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// cutOff closes all connections, with the requests that they carry. Where they
// carry none, nothing was cut off.
func (s *Server) cutOff() error {
	left := s.Open(http.StateActive)
	if s.pipelines != nil {
		s.pipelines.close()
	}
	err := s.http.Close()
	if left > 0 {
		return &CutOffError{left}
	}
	return err
}

// anyOpen says that there are connections. One that counts as active may have
// been answered already, and carry its next request.
func (s *Server) anyOpen() bool {
	return s.Open(http.StateNew)+s.Open(http.StateActive)+s.Open(http.StateIdle) > 0
}

// retireIdle ends connections without a request and returns whether there are
// any left. One whose header is still not whole is not waited for.
func (s *Server) retireIdle() (left bool) {
	if s.pipelines != nil {
		return s.pipelines.retireIdle()
	}
	s.states.Range(func(connection, held any) bool {
		if http.ConnState(held.(*atomic.Int32).Load()) != http.StateIdle {
			return true
		}
		if known, ok := tracked(connection.(net.Conn)); ok && !known.receiving() {
			known.retire()
			left = true
		}
		return true
	})
	return left
}

// Open counts connections in a state; those that are active count once for each request
// in progress.
func (s *Server) Open(state http.ConnState) int {
	if s.pipelines != nil {
		return s.pipelines.count(state)
	}
	count := 0
	s.states.Range(func(_, held any) bool {
		if http.ConnState(held.(*atomic.Int32).Load()) == state {
			count++
		}
		return true
	})
	return count
}

// track follows the connections' states; it is called on their goroutines.
func (s *Server) track(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.states.Store(connection, new(atomic.Int32))
	case http.StateClosed, http.StateHijacked:
		s.states.Delete(connection)
	default:
		s.note(connection, state)
		if held, known := s.states.Load(connection); known {
			held.(*atomic.Int32).Store(int32(state))
		}
	}
}

// note tells the connection where a request begins and ends.
func (s *Server) note(connection net.Conn, state http.ConnState) {
	known, ok := tracked(connection)
	switch {
	case !ok:
	case state == http.StateActive:
		known.resume()
	case state == http.StateIdle:
		known.idle()
	}
}

// StopAll stops servers at once, so that each has the whole time that the
// context leaves, and joins their errors.
func StopAll(ctx context.Context, servers ...*Server) error {
	failures := make([]error, len(servers))
	var stopping sync.WaitGroup
	for i, server := range servers {
		stopping.Go(func() { failures[i] = server.Stop(ctx) })
	}
	stopping.Wait()
	return errors.Join(failures...)
}
