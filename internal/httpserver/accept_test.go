package httpserver_test

import (
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/httpserver"
)

// exhausted is a listener of a process without a file for one more connection.
type exhausted struct {
	once   sync.Once
	closed chan struct{}
}

func (l *exhausted) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
}

func (l *exhausted) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *exhausted) Addr() net.Addr { return &net.TCPAddr{} }

func (l *exhausted) SetDeadline(time.Time) error { return nil }

// A listener that finds no file for a connection is tried again and again; a
// stop does not wait for the next try. Time is virtual.
func TestStopDoesNotWaitForTheNextTryToAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard, "", 0)
		server := httpserver.New(&http.Server{ErrorLog: quiet}, &exhausted{closed: make(chan struct{})}, 0)
		served := make(chan error, 1)
		go func() { served <- server.Serve() }()
		// Long enough for the pauses of net/http to have grown to their full
		// second, and in the midst of one.
		time.Sleep(10 * time.Second)
		began := time.Now()
		assert.NilError(t, server.Stop(t.Context()))
		assert.NilError(t, <-served)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}
