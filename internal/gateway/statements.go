package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
	"github.com/quartzdock/quartzdock/internal/steady"
)

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
	byInstance map[string]*statement
}

// statement is what one instance stated.
type statement struct {
	limit ratelimit.Tracker
	// heardAt is when its last response was received.
	heardAt time.Time
}

func newStatements(names *HeaderNames) *statements {
	return &statements{names: names, byInstance: map[string]*statement{}}
}

// observe records what the result of an attempt that began at sentAt states about the instance. A
// malformed statement is ignored; the instance's local gateway logs it.
func (s *statements) observe(instance string, result *forwardResult, sentAt time.Time) {
	if result.Outcome != outcomeAnswered {
		return
	}
	limit, err := ratelimit.Parse(result.Header.Values(s.names.RateLimit))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry := s.byInstance[instance]
	if entry == nil && (err != nil || !limit.Limited) {
		return // nothing stated so far
	}
	now := steady.Reading()
	if entry == nil {
		s.forgetSilent(now)
		entry = &statement{}
		s.byInstance[instance] = entry
	}
	entry.heardAt = now
	if err == nil {
		entry.limit.Observe(limit, sentAt, now)
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
