package httpserver

import (
	"errors"
	"log"
	"net"
	"os"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// backlogPause is how long no connection must come before a stop takes the
	// backlog for empty.
	backlogPause = time.Millisecond
	// backlogLimit is the longest that a stop empties the backlog, if
	// connections keep coming.
	backlogLimit = 200 * time.Millisecond
	// acceptRetry is the pause after an error that passes, as where the process
	// has no file left for a connection.
	acceptRetry = 100 * time.Millisecond
)

// stoppableListener bounds the open connections, and takes those that wait in
// the backlog before it closes.
type stoppableListener struct {
	Listener
	// slots bounds open connections; nil is no bound.
	slots chan struct{}
	// stopped is closed when the stop begins; stopAt is when it gives the
	// backlog up.
	stopped chan struct{}
	stopAt  steady.Atomic
	// log takes errors that pass; nil is the standard logger, as in http.Server.
	log *log.Logger
}

func newStoppableListener(listener Listener, maximumConnections int, errorLog *log.Logger) *stoppableListener {
	l := &stoppableListener{Listener: listener, stopped: make(chan struct{}), log: errorLog}
	if maximumConnections > 0 {
		l.slots = make(chan struct{}, maximumConnections)
	}
	return l
}

// stop makes Accept return what is in the backlog and then close the listener.
// It may be called once.
func (l *stoppableListener) stop() {
	l.stopAt.Store(steady.Now().Add(backlogLimit))
	close(l.stopped)
	_ = l.SetDeadline(time.Now())
}

func (l *stoppableListener) stopping() bool {
	_, stopping := l.stopAt.Load()
	return stopping
}

// Accept implements net.Listener. After the stop it returns net.ErrClosed once
// the backlog is empty.
func (l *stoppableListener) Accept() (net.Conn, error) {
	limited := l.takeSlot()
	connection, err := l.accept()
	if err != nil {
		return nil, err
	}
	taken := &trackedConnection{Conn: connection}
	if limited {
		taken.free = sync.OnceFunc(l.freeSlot)
	}
	return taken, nil
}

func (l *stoppableListener) accept() (net.Conn, error) {
	for !l.stopping() {
		connection, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if !passes(err) {
			return connection, err
		}
		l.pause(err)
	}
	if stopAt, _ := l.stopAt.Load(); steady.Now().Before(stopAt) {
		_ = l.SetDeadline(time.Now().Add(backlogPause))
		if connection, err := l.Listener.Accept(); err == nil {
			return connection, nil
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// passes says that a listener is to be tried again after an error.
func passes(err error) bool {
	var passing interface{ Temporary() bool }
	return errors.As(err, &passing) && passing.Temporary()
}

// pause waits before the next try, unless the stop begins. The pause of
// http.Server, which grows to a second, would go on.
func (l *stoppableListener) pause(err error) {
	logf := log.Printf
	if l.log != nil {
		logf = l.log.Printf
	}
	logf("accept at %s, tried again in %v: %v", l.Addr(), acceptRetry, err)
	timer := time.NewTimer(acceptRetry)
	defer timer.Stop()
	select {
	case <-l.stopped:
	case <-timer.C:
	}
}

// takeSlot waits for room and returns whether a slot was taken. After the stop
// there is room for the whole backlog, which the kernel bounds.
func (l *stoppableListener) takeSlot() bool {
	if l.slots == nil || l.stopping() {
		return false
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.stopped:
		return false
	}
}

func (l *stoppableListener) freeSlot() { <-l.slots }
