package requesthistory

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

// ErrNotFound says that no line carries the request's id: it was served in time
// at the first try, or never came to a process whose log was read.
var ErrNotFound = errors.New("no line carries this request id")

// How long before the first and after the last line of a request others may
// have decided it.
const (
	before = 3 * time.Second
	after  = 1500 * time.Millisecond
	// changeBefore is how long before its first line a new configuration may
	// have mattered to a request.
	changeBefore = 300 * time.Millisecond
)

// leastFailure is the lowest status of a failure.
const leastFailure = 500

// Messages that tell of what decides requests.
const (
	messageNotServed = "request not served"
	messageAnswered  = "request answered"
	messageWaited    = "answer waited for its turn"
	messageRefused   = "try refused"
	messageBroken    = "exchange with back end broken off"
	messageEnded     = "back end ended while at work"
	messageHeldBack  = "request held back"
	messageByBackend = "refused by back end"
	messageBackend   = "back end"
	messageSummary   = "back end in the last second"
	messageMove      = "keys change owner"
	messageGrant     = "grant not confirmed"
	messageRelease   = "release not confirmed"
	messageLeads     = "leadership begins"
	messageLeadsNot  = "leadership ended"
	messageInForce   = "configuration in force"
	messageLinesLost = "log lines dropped"
)

// Entry is one line of a history.
type Entry struct {
	Line
	// Own says that the line carries the request's id.
	Own bool
	// Decisive marks the line that tells the cause best.
	Decisive bool
}

// History is what became of a request.
type History struct {
	Request string
	Entries []Entry
	// Cause explains the decisive line in a sentence.
	Cause string
}

// Find returns the history of a request from lines of any processes and in any
// order.
func Find(request string, lines []Line) (*History, error) {
	subject := newSubject(request, lines)
	if subject.last.IsZero() {
		return nil, ErrNotFound
	}
	history := &History{Request: request}
	for i := range lines {
		own := lines[i].Request == request
		if own || subject.concerns(&lines[i]) {
			history.Entries = append(history.Entries, Entry{Line: lines[i], Own: own})
		}
	}
	slices.SortStableFunc(history.Entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	history.decide()
	return history, nil
}

// subject is what a request had to do with.
type subject struct {
	first, last time.Time
	instances   map[string]bool
	nodes       map[string]bool
	key         uint64
	hasKey      bool
	// failedAt is the gateway beside the back end whose own answer was a failure,
	// empty where there is none; it ran between runFrom and last.
	failedAt string
	runFrom  time.Time
	// unconfigured says that a gateway knew no configuration.
	unconfigured bool
}

func newSubject(request string, lines []Line) *subject {
	s := &subject{instances: map[string]bool{}, nodes: map[string]bool{}}
	for i := range lines {
		if lines[i].Request == request {
			s.add(&lines[i])
		}
	}
	return s
}

func (s *subject) add(line *Line) {
	if s.first.IsZero() || line.At.Before(s.first) {
		s.first = line.At
	}
	if line.At.After(s.last) {
		s.last = line.At
	}
	s.nodes[line.Node] = true
	if line.Instance != "" {
		s.instances[line.Instance] = true
	}
	for _, try := range line.Tries {
		s.instances[try.Instance] = true
		s.nodes[try.Node] = true
	}
	if key, err := strconv.ParseUint(line.Key, 10, 32); err == nil {
		s.key, s.hasKey = key, true
	}
	if line.Message == messageAnswered && line.Status >= leastFailure && len(line.Tries) > 0 {
		s.failedAt = line.Tries[len(line.Tries)-1].Node
		s.runFrom = line.At.Add(-line.Took)
	}
	s.unconfigured = s.unconfigured || line.Reason == reasonNoConfiguration
}

// concerns says that a line without the request's id may tell what decided it.
func (s *subject) concerns(line *Line) bool {
	if line.At.Before(s.first.Add(-before)) || line.At.After(s.last.Add(after)) {
		return false
	}
	switch line.Message {
	case messageNotServed:
		// A back end's own calls carry no key.
		return s.failedAt != "" && line.Node == s.failedAt && line.Key == "" && line.At.After(s.runFrom) && !line.At.After(s.last)
	case messageBackend:
		return s.instances[line.Instance] || s.nodes[line.Node]
	case messageSummary:
		return s.nodes[line.Node] && !line.At.Before(s.first) && line.At.Before(s.last.Add(time.Second))
	case messageMove, messageGrant, messageRelease:
		return s.hasKey && line.HasRange && uint64(line.First) <= s.key && s.key <= uint64(line.Last)
	case messageLeads, messageLeadsNot:
		return s.unconfigured || s.hasKey
	case messageInForce:
		return s.nodes[line.Node] && line.At.After(s.first.Add(-changeBefore))
	case messageLinesLost:
		return s.nodes[line.Node]
	}
	return false
}
