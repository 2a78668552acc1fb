// Package httpserver stops an http.Server without losing a request.
//
// http.Server.Shutdown alone loses some: it closes the listener while
// connections wait in the kernel's backlog, which resets them, and it closes a
// connection whose next request is being read when the stop begins without an
// answer. A caller can't tell such a request from one that ran. Stop takes the
// backlog first, answers every request whose first byte was read, and gives
// accepted connections a moment to send their first request. The handler should
// answer with "Connection: close" once the stop is near, so that callers leave
// connections before they are closed (RFC 9112, section 9.6).
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
	// firstRequestGrace is how long an accepted connection may take, after the
	// listener closed, until the first byte of its first request.
	firstRequestGrace = 250 * time.Millisecond
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
}

// Listener is what New needs of a listener; *net.TCPListener is one.
type Listener interface {
	net.Listener
	SetDeadline(time.Time) error
}

// New prepares a server. It takes over server.ConnState. At most
// maximumConnections are open at once; further ones wait in the kernel's
// backlog. Zero means any number.
func New(server *http.Server, listener Listener, maximumConnections int) *Server {
	s := &Server{
		http:      server,
		listener:  newStoppableListener(listener, maximumConnections, server.ErrorLog),
		accepting: make(chan struct{}),
	}
	server.ConnState = s.track
	return s
}

// Serve accepts connections, over TLS where the server has a TLSConfig. It
// returns nil after Stop.
func (s *Server) Serve() error {
	defer close(s.accepting)
	var err error
	if s.http.TLSConfig != nil {
		err = s.http.ServeTLS(s.listener, "", "")
	} else {
		err = s.http.Serve(s.listener)
	}
	if errors.Is(err, http.ErrServerClosed) || s.listener.stopping() {
		return nil
	}
	return err
}

// Stop closes the listener and returns when all requests have been answered.
// When the context ends first, it closes what is left and returns a
// *CutOffError.
// It must not be called before Serve.
func (s *Server) Stop(ctx context.Context) error {
	s.http.SetKeepAlivesEnabled(false) // also closes what is idle
	s.listener.stop()
	<-s.accepting
	grace := time.Now().Add(firstRequestGrace)
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !s.quiet(time.Now().After(grace)) {
		select {
		case <-ctx.Done():
			left := s.Open(http.StateActive)
			err := s.http.Close()
			if left > 0 {
				return &CutOffError{left}
			}
			return err
		case <-ticker.C:
		}
	}
	return s.http.Close()
}

// Open counts connections in a state.
func (s *Server) Open(state http.ConnState) int {
	count := 0
	s.states.Range(func(_, held any) bool {
		if http.ConnState(held.(*atomic.Int32).Load()) == state {
			count++
		}
		return true
	})
	return count
}

// quiet says that no connection carries a request, nor, before the grace has
// passed, is likely to send one.
func (s *Server) quiet(gracePassed bool) bool {
	return s.Open(http.StateActive) == 0 && (gracePassed || s.Open(http.StateNew) == 0)
}

// track follows the connections' states; it is called on their goroutines.
func (s *Server) track(connection net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.states.Store(connection, new(atomic.Int32))
	case http.StateClosed, http.StateHijacked:
		s.states.Delete(connection)
	default:
		if held, known := s.states.Load(connection); known {
			held.(*atomic.Int32).Store(int32(state))
		}
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
