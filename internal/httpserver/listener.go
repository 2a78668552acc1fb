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
	// backlogIdleWait is how long no connection must arrive before the backlog is
	// considered empty.
	backlogIdleWait = time.Millisecond
	// maxBacklogDrain bounds the time for which a stop accepts connections of the
	// backlog while new ones keep arriving.
	maxBacklogDrain = 200 * time.Millisecond
	// acceptRetryDelay is the delay after a temporary error, for example when the
	// process has run out of file descriptors.
	acceptRetryDelay = 100 * time.Millisecond
)

// stoppableListener limits the number of open connections, and accepts those that
// wait in the backlog before it closes.
type stoppableListener struct {
	Listener
	// slots holds an element for each open connection, and for the one that is
	// being accepted; nil means no limit.
	slots chan struct{}
	// stopBegun is closed when the stop begins. drainDeadline is set then, to the
	// time at which the rest of the backlog is abandoned.
	stopBegun     chan struct{}
	drainDeadline steady.Atomic
	// log receives temporary errors; nil means the standard logger, as in
	// http.Server.
	log *log.Logger
}

func newStoppableListener(listener Listener, maximumConnections int, errorLog *log.Logger) *stoppableListener {
	l := &stoppableListener{Listener: listener, stopBegun: make(chan struct{}), log: errorLog}
	if maximumConnections > 0 {
		l.slots = make(chan struct{}, maximumConnections)
	}
	return l
}

// stop makes Accept return the connections of the backlog and then close the
// listener. It may be called only once.
func (l *stoppableListener) stop() {
	l.drainDeadline.Store(steady.Now().Add(maxBacklogDrain))
	close(l.stopBegun)
	_ = l.SetDeadline(time.Now())
}

// stopping reports whether the stop has begun.
func (l *stoppableListener) stopping() bool {
	_, stopping := l.drainDeadline.Load()
	return stopping
}

// Accept implements net.Listener. After the stop it returns net.ErrClosed once
// the backlog is empty.
func (l *stoppableListener) Accept() (net.Conn, error) {
	limited := l.acquireSlot()
	connection, err := l.accept()
	if err != nil {
		return nil, err
	}
	tracked := &trackedConnection{Conn: connection}
	if limited {
		tracked.release = sync.OnceFunc(l.releaseSlot)
	}
	return tracked, nil
}

// accept returns the next connection, retrying after temporary errors. After the
// stop it returns those of the backlog, then closes the listener.
func (l *stoppableListener) accept() (net.Conn, error) {
	for !l.stopping() {
		connection, err := l.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		if !isTemporary(err) {
			return connection, err
		}
		l.waitBeforeRetry(err)
	}
	if stopAt, _ := l.drainDeadline.Load(); steady.Now().Before(stopAt) {
		_ = l.SetDeadline(time.Now().Add(backlogIdleWait))
		if connection, err := l.Listener.Accept(); err == nil {
			return connection, nil
		}
	}
	_ = l.Close()
	return nil, net.ErrClosed
}

// isTemporary reports whether Accept should be retried after an error.
func isTemporary(err error) bool {
	var temporary interface{ Temporary() bool }
	return errors.As(err, &temporary) && temporary.Temporary()
}

// waitBeforeRetry logs an error and waits until the next attempt or the beginning
// of the stop. The delay of http.Server, which grows to a second, doesn't end
// with the stop.
func (l *stoppableListener) waitBeforeRetry(err error) {
	logf := log.Printf
	if l.log != nil {
		logf = l.log.Printf
	}
	logf("accept on %s failed, retrying in %v: %v", l.Addr(), acceptRetryDelay, err)
	timer := time.NewTimer(acceptRetryDelay)
	defer timer.Stop()
	select {
	case <-l.stopBegun:
	case <-timer.C:
	}
}

// acquireSlot waits for a slot and reports whether it took one. After the stop
// connections need no slot, as the kernel bounds the backlog.
func (l *stoppableListener) acquireSlot() bool {
	if l.slots == nil || l.stopping() {
		return false
	}
	select {
	case l.slots <- struct{}{}:
		return true
	case <-l.stopBegun:
		return false
	}
}

func (l *stoppableListener) releaseSlot() { <-l.slots }
