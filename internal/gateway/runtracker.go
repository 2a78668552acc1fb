package gateway

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// This file tracks the requests that the local back end is processing, and which of them were
// interrupted when it crashed. A refused connection is taken as the sign of a crash. If that is
// wrong, each of these requests needs a trial before it may run again.

const (
	// brokenRunWindow is how long before the detection of a crash a connection may have broken
	// because of it.
	brokenRunWindow = 2 * time.Second
	// maxBrokenRuns bounds the runs with broken connections that are remembered; the oldest
	// are dropped.
	maxBrokenRuns = 256
	// maxCrashes bounds the crashes that are remembered; the oldest are dropped.
	maxCrashes = 16
	// crashProbeTimeout bounds how long a run with a broken connection waits for a connection
	// to the back end, to learn whether it has crashed.
	crashProbeTimeout = 200 * time.Millisecond
	// crashSettleTime is how long that run waits for the new connection to break as well. A
	// process that ends may close its connections before its listener, so that one more
	// connection is accepted and then breaks.
	crashSettleTime = 50 * time.Millisecond
	// maxRequestsLogged bounds the requests listed in one log line.
	maxRequestsLogged = 32
)

// interruptedRun is a run that was in progress when its back end crashed.
type interruptedRun struct {
	id     string
	digest quarantine.Digest
}

// brokenRun is a run whose connection broke.
type brokenRun struct {
	interruptedRun
	incarnation string
	at          steady.Instant
}

// crash records an incarnation of the back end that crashed, and how many requests were in
// progress.
type crash struct {
	incarnation string
	inProgress  int
}

// runTracker tracks the requests in progress at the local back end. The zero value is ready to
// use.
type runTracker struct {
	mutex  sync.Mutex
	runs   map[*forwardRequest]struct{}
	broken []brokenRun
	// crashes are the incarnations that have crashed, the latest last.
	crashes []crash
	// probing serializes checks whether anything listens at the back end's address.
	// lastListening is when such a check last succeeded.
	probing       sync.Mutex
	lastListening steady.Atomic
	// watched has the incarnations of which a connection is watched for a crash.
	watched map[string]bool
}

func (w *runTracker) begin(request *forwardRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.runs == nil {
		w.runs = map[*forwardRequest]struct{}{}
	}
	w.runs[request] = struct{}{}
}

func (w *runTracker) end(request *forwardRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.runs, request)
}

// beginWatch reports whether a connection of an incarnation is to be watched: one at a time is.
func (w *runTracker) beginWatch(incarnation string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.watched[incarnation] {
		return false
	}
	if w.watched == nil {
		w.watched = map[string]bool{}
	}
	w.watched[incarnation] = true
	return true
}

func (w *runTracker) endWatch(incarnation string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.watched, incarnation)
}

// connectionBroke records that the connection of a run closed before its response was
// complete.
func (w *runTracker) connectionBroke(request *forwardRequest, now steady.Instant) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.runs, request)
	w.broken = append(w.broken, brokenRun{interruptedRun{request.ID, request.digest()}, request.Instance, now})
	w.broken = w.broken[max(0, len(w.broken)-maxBrokenRuns):]
}

// crashed reports whether an incarnation is known to have crashed, and how many requests were
// in progress.
func (w *runTracker) crashed(incarnation string) (inProgress int, crashed bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, known := range w.crashes {
		if known.incarnation == incarnation {
			return known.inProgress, true
		}
	}
	return 0, false
}

// recordCrash records the crash of an incarnation and returns the runs it interrupted. first
// is false if the crash was already recorded.
func (w *runTracker) recordCrash(incarnation string, now steady.Instant) (interrupted []interruptedRun, first bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if slices.ContainsFunc(w.crashes, func(known crash) bool { return known.incarnation == incarnation }) {
		return nil, false
	}
	for _, run := range w.broken {
		if run.incarnation == incarnation && now.Sub(run.at) <= brokenRunWindow {
			interrupted = append(interrupted, run.interruptedRun)
		}
	}
	for request := range w.runs {
		if request.Instance == incarnation {
			interrupted = append(interrupted, interruptedRun{request.ID, request.digest()})
		}
	}
	w.crashes = append(w.crashes[max(0, len(w.crashes)+1-maxCrashes):], crash{incarnation, len(interrupted)})
	return interrupted, true
}

// crashedDuring reports whether the back end crashed during a run whose connection broke, and how
// many requests were in progress. It blocks until a connection to the back end's address is
// accepted or refused.
func (g *Gateway) crashedDuring(request *forwardRequest) (inProgress int, crashed bool) {
	brokeAt := steady.Now()
	g.runs.connectionBroke(request, brokeAt)
	g.runs.probing.Lock()
	defer g.runs.probing.Unlock()
	if inProgress, crashed = g.runs.crashed(request.Instance); crashed {
		return inProgress, true
	}
	if lastListening, ok := g.runs.lastListening.Load(); ok && brokeAt.Before(lastListening) {
		return 0, false
	}
	if !g.refusesAfterBreak(request.Instance) || !g.registry.serves(request.Instance) {
		return 0, false
	}
	g.handleCrash(request.Instance)
	return g.runs.crashed(request.Instance)
}

// refusesAfterBreak reports whether the back end refuses connections after one of its
// connections has broken. If it accepts one that stays open, that connection is watched further.
func (g *Gateway) refusesAfterBreak(incarnation string) bool {
	const dials = 2
	for range dials {
		conn, err := net.DialTimeout("tcp", g.config.BackendAddress, crashProbeTimeout)
		if err != nil {
			return isConnectionRefused(err)
		}
		ended := endOf(conn)
		if staysOpen(ended, crashSettleTime) {
			g.runs.lastListening.Store(steady.Now())
			g.watchForCrash(conn, ended, incarnation)
			return false
		}
		_ = conn.Close()
	}
	return false
}

// endOf returns a channel that is closed when something is received on a connection, or its end.
func endOf(conn net.Conn) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = conn.Read(make([]byte, 1))
	}()
	return ended
}

// staysOpen reports whether a connection does not end for some time.
func staysOpen(ended <-chan struct{}, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ended:
		return false
	case <-timer.C:
		return true
	}
}

// watchForCrash records a crash of the back end if a connection to it breaks and others are then
// refused, as long as runs whose connections broke before still count. One connection of an
// incarnation is watched at a time; one of an earlier incarnation may still be open, to its
// successor.
func (g *Gateway) watchForCrash(conn net.Conn, ended <-chan struct{}, incarnation string) {
	if !g.runs.beginWatch(incarnation) {
		_ = conn.Close()
		return
	}
	go func() {
		defer g.runs.endWatch(incarnation)
		defer conn.Close()
		if staysOpen(ended, brokenRunWindow-crashSettleTime) {
			return
		}
		next, err := net.DialTimeout("tcp", g.config.BackendAddress, crashProbeTimeout)
		if err == nil {
			_ = next.Close()
			return
		}
		if isConnectionRefused(err) && g.registry.serves(incarnation) {
			g.handleCrash(incarnation)
		}
	}()
}

// handleCrash records and reports the requests that were in progress when an incarnation of
// the back end crashed.
func (g *Gateway) handleCrash(incarnation string) {
	interrupted, first := g.runs.recordCrash(incarnation, steady.Now())
	if !first || len(interrupted) == 0 {
		return
	}
	g.reportCrash(incarnation, interrupted)
	g.metrics.backendCrashed(len(interrupted))
	logged := interrupted[:min(len(interrupted), maxRequestsLogged)]
	ids, digests := make([]string, len(logged)), make([]string, len(logged))
	for i, run := range logged {
		ids[i], digests[i] = run.id, run.digest.String()
	}
	g.config.Log.Warn("back end ended while at work", "instance", incarnation, "at_work", len(interrupted), "requests", ids, "digests", digests)
}
