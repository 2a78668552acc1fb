package gateway

import (
	"net/http"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// Back ends state in their responses how many requests they take (see ratelimit.go), and that they
// are about to stop. The gateway beside a back end applies both. A gateway that has passed a
// statement on to a caller keeps it as well, since the one beside the back end may be restarted and
// forget it.

// isLeaving reports whether a response states that its back end is about to stop.
func isLeaving(names *HeaderNames, header http.Header) bool {
	return names.Leaving != "" && header.Get(names.Leaving) == "1"
}

// observeBackend applies what a response of the local back end states about the back end itself. A
// misdirected request may have been answered by another back end.
func (g *Gateway) observeBackend(request *forwardRequest, response *http.Response, sentAt time.Time) {
	if response.StatusCode == http.StatusMisdirectedRequest || g.registry.snapshot().ID != request.Instance {
		return
	}
	g.observeRateLimit(request, response.Header, sentAt)
	if isLeaving(&g.config.Headers, response.Header) && g.registry.markLeaving(request.Instance, g.drainGrace(), steady.Reading()) {
		g.config.Log.Info("back end states that it leaves", "request", request.ID, "instance", request.Instance)
	}
}

const (
	// maxStatements is the number of instances above which those are forgotten that have been
	// silent for statementMaxAge.
	maxStatements   = 4096
	statementMaxAge = 10 * time.Minute
)

// statements keeps, by instance, what back ends stated about themselves in responses that this
// gateway passed on to callers.
type statements struct {
	names      *HeaderNames
	mutex      sync.Mutex
	byInstance map[string]*instanceStatements
}

// instanceStatements is what one instance stated.
type instanceStatements struct {
	limit ratelimit.Tracker
	// leavingSince is when it first stated that it is about to stop; zero if it has not.
	leavingSince time.Time
	// heardAt is when its last response was received.
	heardAt time.Time
}

func newStatements(names *HeaderNames) *statements {
	return &statements{names: names, byInstance: map[string]*instanceStatements{}}
}

// observe records what the result of an attempt that began at sentAt states about the instance. A
// malformed statement is ignored; the instance's local gateway logs it.
func (s *statements) observe(instance string, result *forwardResult, sentAt time.Time) {
	if result.Outcome != outcomeAnswered {
		return
	}
	limit, err := ratelimit.Parse(result.Header.Values(s.names.RateLimit))
	leaving := isLeaving(s.names, result.Header)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := s.byInstance[instance]
	if entry == nil && !leaving && (err != nil || !limit.Limited) {
		return // nothing stated so far
	}
	now := steady.Reading()
	if entry == nil {
		s.forgetSilent(now)
		entry = &instanceStatements{}
		s.byInstance[instance] = entry
	}
	entry.heardAt = now
	if err == nil {
		entry.limit.Observe(limit, sentAt, now)
	}
	if leaving && entry.leavingSince.IsZero() {
		entry.leavingSince = now
	}
}

// limit returns what an instance stated about its rate limit.
func (s *statements) limit(instance string) ratelimit.Statement {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if entry := s.byInstance[instance]; entry != nil {
		return entry.limit.Statement()
	}
	return ratelimit.Statement{}
}

// leaving reports whether an instance stated that it is about to stop, and whether it did so at
// least grace ago and gets no more requests.
func (s *statements) leaving(instance string, grace time.Duration, now time.Time) (leaving, refused bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := s.byInstance[instance]
	if entry == nil || entry.leavingSince.IsZero() {
		return false, false
	}
	return true, now.Sub(entry.leavingSince) >= grace
}

// forgetSilent makes room for another instance.
func (s *statements) forgetSilent(now time.Time) {
	if len(s.byInstance) < maxStatements {
		return
	}
	for instance, entry := range s.byInstance {
		if now.Sub(entry.heardAt) > statementMaxAge {
			delete(s.byInstance, instance)
		}
	}
}
