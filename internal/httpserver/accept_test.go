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

// exhaustedListener is a listener of a process that has run out of file descriptors.
type exhaustedListener struct {
	once   sync.Once
	closed chan struct{}
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
}

func (l *exhaustedListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *exhaustedListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *exhaustedListener) SetDeadline(time.Time) error { return nil }

// When the process has run out of file descriptors, Accept is retried after a delay,
// which a stop must not wait for. Time is virtual.
func TestStopDoesNotWaitForAcceptRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quiet := log.New(io.Discard, "", 0)
		server := httpserver.New(&http.Server{ErrorLog: quiet}, &exhaustedListener{closed: make(chan struct{})}, 0)
		served := make(chan error, 1)
		go func() { served <- server.Serve() }()
		// Long enough for the delays of net/http to have grown to their full
		// second, and in the middle of one.
		time.Sleep(10 * time.Second)
		began := time.Now()
		assert.NilError(t, server.Stop(t.Context()))
		assert.NilError(t, <-served)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}
