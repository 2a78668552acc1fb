// Package httpserver shuts an http.Server down without losing requests, and adds
// HTTP/1.1 pipelining (Pipelining).
//
// http.Server.Shutdown alone loses requests: it closes the listener while
// connections wait in the kernel's backlog, which resets them, and it closes,
// without a response, a connection whose next request is being read. A client
// can't tell such a request from one that ran. Stop accepts the backlog first, and
// responds with "Connection: close" from then on, so that clients stop using
// connections before they are closed (RFC 9112, section 9.6). It gives open
// connections a grace period to send a request, and responds to every request
// whose first byte arrived in it. A request that is sent just when its connection
// is closed after that still gets no response, as HTTP/1.1 can't tell the client
// in time; a handler that sends "Connection: close" earlier makes this rarer.
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
	// stopPollInterval is how often Stop checks whether requests are in progress.
	stopPollInterval = 2 * time.Millisecond
	// requestGrace is how long after the closing of the listener a request may
	// begin on an open connection. Connections without a request are closed then.
	requestGrace = 250 * time.Millisecond
)

// CutOffError reports that a stop ran out of time with requests in progress, and
// closed their connections.
type CutOffError struct{ Requests int }

// Error implements error.
func (e *CutOffError) Error() string { return fmt.Sprintf("%d requests were cut off", e.Requests) }

// Server is an http.Server with its listener. Use New or NewPipelined to create
// one.
type Server struct {
	http     *http.Server
	listener *stoppableListener
	// serveDone is closed when Serve returns.
	serveDone chan struct{}
	// states holds the http.ConnState of each open connection by net.Conn.
	states sync.Map
	// pipelined serves the connections if the server supports pipelining; else it
	// is nil.
	pipelined *pipelineServer
}

// Listener is the type of listener that New needs; *net.TCPListener implements it.
type Listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// New returns a server for an http.Server, whose ConnState it replaces and whose
// Handler it wraps. At most maximumConnections are open at once; further ones wait
// in the kernel's backlog. Zero means no limit.
func New(server *http.Server, listener Listener, maximumConnections int) *Server {
	s := &Server{
		http:      server,
		listener:  newStoppableListener(listener, maximumConnections, server.ErrorLog),
		serveDone: make(chan struct{}),
	}
	server.ConnState = s.track
	server.Handler = s.closeWhenStopping(server.Handler)
	return s
}

// NewPipelined returns a server that supports pipelining: requests that may be
// repeated run concurrently, and responses are sent in the order of the requests.
// It replaces server.ConnContext as well. With TLS it is like New, as clients can
// use HTTP/2 then.
func NewPipelined(server *http.Server, listener Listener, maximumConnections int, settings Pipelining) *Server {
	s := New(server, listener, maximumConnections)
	if server.TLSConfig != nil {
		return s
	}
	s.pipelined = newPipelineServer(server, settings, listener.Addr())
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

// Serve accepts connections, with TLS if the server has a TLSConfig. It returns
// nil after Stop.
func (s *Server) Serve() error {
	defer close(s.serveDone)
	var err error
	switch {
	case s.pipelined != nil:
		err = s.pipelined.serve(s.listener)
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

// closeWhenStopping wraps a handler so that its responses end their connection
// once the stop has begun.
func (s *Server) closeWhenStopping(handler http.Handler) http.Handler {
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

// Stop closes the listener and returns when all requests have been answered. When
// the context ends first, it closes the remaining connections and returns a
// *CutOffError if requests were in progress. It must not be called before Serve.
func (s *Server) Stop(ctx context.Context) error {
	s.listener.stop()
	<-s.serveDone
	grace := graceDeadline(ctx, time.Now())
	if !waitWhile(ctx, func() bool { return s.anyOpen() && time.Now().Before(grace) }) || !waitWhile(ctx, s.retireIdle) {
		return s.cutOff()
	}
	if s.pipelined != nil {
		s.pipelined.close()
		return s.http.Close()
	}
	// This closes idle connections even if a request has arrived on them, so it
	// must not come before retireIdle has ended all of them.
	s.http.SetKeepAlivesEnabled(false)
	if !waitWhile(ctx, func() bool { return s.Open(http.StateActive) > 0 }) {
		return s.cutOff()
	}
	return s.http.Close()
}

// graceDeadline returns the time at which connections without a request are
// closed: after requestGrace, but at most half of the time that the context
// leaves, so that there is time to close them in an orderly way.
func graceDeadline(ctx context.Context, now time.Time) time.Time {
	grace := requestGrace
	if end, ok := ctx.Deadline(); ok {
		grace = min(grace, end.Sub(now)/2)
	}
	return now.Add(grace)
}

// waitWhile waits until the condition no longer holds. It returns false if the
// context ends first.
func waitWhile(ctx context.Context, condition func() bool) bool {
	ticker := time.NewTicker(stopPollInterval)
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

// cutOff closes all connections. It returns a *CutOffError if they carried
// requests.
func (s *Server) cutOff() error {
	active := s.Open(http.StateActive)
	if s.pipelined != nil {
		s.pipelined.close()
	}
	err := s.http.Close()
	if active > 0 {
		return &CutOffError{active}
	}
	return err
}

// anyOpen reports whether there are open connections. Active ones count as well:
// their response may have been sent and the next request have arrived already.
func (s *Server) anyOpen() bool {
	return s.Open(http.StateNew)+s.Open(http.StateActive)+s.Open(http.StateIdle) > 0
}

// retireIdle ends connections without a request and reports whether any are left.
// It doesn't wait for one whose next request's header is incomplete.
func (s *Server) retireIdle() (pending bool) {
	if s.pipelined != nil {
		return s.pipelined.retireIdle()
	}
	s.states.Range(func(connection, held any) bool {
		if http.ConnState(held.(*atomic.Int32).Load()) != http.StateIdle {
			return true
		}
		if known, ok := trackedConnectionOf(connection.(net.Conn)); ok && !known.hasReceived() {
			known.retire()
			pending = true
		}
		return true
	})
	return pending
}

// Open returns the number of connections in a state. For http.StateActive it
// returns the number of requests in progress.
func (s *Server) Open(state http.ConnState) int {
	if s.pipelined != nil {
		return s.pipelined.count(state)
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

// track is the http.Server's ConnState hook: it records the connections' states.
// It is called on their goroutines.
func (s *Server) track(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.states.Store(connection, new(atomic.Int32))
	case http.StateClosed, http.StateHijacked:
		s.states.Delete(connection)
	default:
		s.noteState(connection, state)
		if held, known := s.states.Load(connection); known {
			held.(*atomic.Int32).Store(int32(state))
		}
	}
}

// noteState tells the connection that a request begins or has ended.
func (s *Server) noteState(connection net.Conn, state http.ConnState) {
	known, ok := trackedConnectionOf(connection)
	switch {
	case !ok:
	case state == http.StateActive:
		known.markReceiving()
	case state == http.StateIdle:
		known.markIdle()
	}
}

// StopAll stops servers concurrently, so that each has all the time that the
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

// LimitRead limits the time in which a handler may read the body of its request: later reads fail
// with os.ErrDeadlineExceeded. The function that it returns lifts the limit.
func LimitRead(w http.ResponseWriter, limit time.Duration) (lift func()) {
	controller := http.NewResponseController(w)
	// A writer that supports no deadlines has no connection that could stall.
	_ = controller.SetReadDeadline(time.Now().Add(limit))
	return func() { _ = controller.SetReadDeadline(time.Time{}) }
}
