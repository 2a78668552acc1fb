package gateway

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// Under which requests the back end beside the gateway ends. A refused connection is a guess
// that it has ended; here a wrong one costs the requests at work a trial each.

const (
	// brokenWithin is how long before the end of a back end is noticed an exchange may have
	// broken off by it.
	brokenWithin = 2 * time.Second
	// mostBroken bounds the broken exchanges that are remembered; the oldest go first.
	mostBroken = 256
	// endsRemembered is for how many lives it is remembered that they have ended.
	endsRemembered = 16
	// checkWithin bounds how long a broken exchange waits to learn whether the back end has
	// ended.
	checkWithin = 200 * time.Millisecond
	// mostEndsLogged bounds the requests that one log line names.
	mostEndsLogged = 32
)

// cutRun is one run that was in progress when its back end ended.
type cutRun struct {
	id      string
	request quarantine.Digest
}

// brokenRun is one exchange that broke off.
type brokenRun struct {
	cutRun
	life string
	at   steady.Instant
}

// endedLife is a life that has ended, and on how many requests it was at work.
type endedLife struct {
	life   string
	atWork int
}

// atWork knows what the back end beside the gateway works on. The zero value is ready.
type atWork struct {
	mutex  sync.Mutex
	runs   map[*forwardRequest]struct{}
	broken []brokenRun
	// ended are the lives that have ended, the latest last.
	ended []endedLife
	// checking is held while it is tried whether something listens; listenedAt is when it
	// last did.
	checking   sync.Mutex
	listenedAt steady.Atomic
}

func (w *atWork) begin(request *forwardRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.runs == nil {
		w.runs = map[*forwardRequest]struct{}{}
	}
	w.runs[request] = struct{}{}
}

func (w *atWork) end(request *forwardRequest) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.runs, request)
}

// breaks notes that a run's connection has ended before its answer.
func (w *atWork) breaks(request *forwardRequest, now steady.Instant) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.runs, request)
	w.broken = append(w.broken, brokenRun{cutRun{request.ID, request.digest()}, request.Instance, now})
	w.broken = w.broken[max(0, len(w.broken)-mostBroken):]
}

// hasEnded reports whether a life is known to have ended, and on how many requests it was at
// work.
func (w *atWork) hasEnded(life string) (atWork int, ended bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, each := range w.ended {
		if each.life == life {
			return each.atWork, true
		}
	}
	return 0, false
}

// ends notes the end of a life and returns the runs that were in progress; first is false
// where the end was known.
func (w *atWork) ends(life string, now steady.Instant) (cut []cutRun, first bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if slices.ContainsFunc(w.ended, func(each endedLife) bool { return each.life == life }) {
		return nil, false
	}
	for _, run := range w.broken {
		if run.life == life && now.Sub(run.at) <= brokenWithin {
			cut = append(cut, run.cutRun)
		}
	}
	for request := range w.runs {
		if request.Instance == life {
			cut = append(cut, cutRun{request.ID, request.digest()})
		}
	}
	w.ended = append(w.ended[max(0, len(w.ended)+1-endsRemembered):], endedLife{life, len(cut)})
	return cut, true
}

// endedUnder reports whether the back end has ended under a run whose connection ended, and on
// how many requests it was at work. It returns once something listens at the back end's
// address or nothing does.
func (g *Gateway) endedUnder(request *forwardRequest) (atWork int, ended bool) {
	broke := steady.Now()
	g.atWork.breaks(request, broke)
	g.atWork.checking.Lock()
	defer g.atWork.checking.Unlock()
	if atWork, ended = g.atWork.hasEnded(request.Instance); ended {
		return atWork, true
	}
	if listened, ok := g.atWork.listenedAt.Load(); ok && broke.Before(listened) {
		return 0, false
	}
	conn, err := net.DialTimeout("tcp", g.config.BackendAddress, checkWithin)
	if err == nil {
		_ = conn.Close()
		g.atWork.listenedAt.Store(steady.Now())
		return 0, false
	}
	if !refusedConnection(err) || !g.registry.serves(request.Instance) {
		return 0, false
	}
	g.noteEnd(request.Instance)
	return g.atWork.hasEnded(request.Instance)
}

// noteEnd tells which requests were at work when a life of the back end ended.
func (g *Gateway) noteEnd(life string) {
	cut, first := g.atWork.ends(life, steady.Now())
	if !first || len(cut) == 0 {
		return
	}
	g.tellEnd(life, cut)
	g.metrics.backendEnded(len(cut))
	named := cut[:min(len(cut), mostEndsLogged)]
	ids, digests := make([]string, len(named)), make([]string, len(named))
	for i, run := range named {
		ids[i], digests[i] = run.id, run.request.String()
	}
	g.config.Log.Warn("back end ended while at work", "instance", life, "at_work", len(cut), "requests", ids, "digests", digests)
}
