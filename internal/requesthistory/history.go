package requesthistory

import (
	"errors"
	"slices"
	"strconv"
	"time"
)

// ErrNotFound is returned if no line has the request's id: the request was served
// in time at the first try, or never reached a process whose log was read.
var ErrNotFound = errors.New("no line carries this request id")

// Lines without the request's id count as related from windowBefore its first line
// until windowAfter its last.
const (
	windowBefore = 3 * time.Second
	windowAfter  = 1500 * time.Millisecond
	// configChangeWindow is how long before the first line of a request a new
	// configuration may have affected it.
	configChangeWindow = 300 * time.Millisecond
)

// minFailureStatus is the lowest HTTP status that counts as a failure.
const minFailureStatus = 500

// Messages of log lines that explain the outcome of requests.
const (
	messageNotServed        = "request not served"
	messageAnswered         = "request answered"
	messageWaited           = "answer waited for its turn"
	messageRefused          = "try refused"
	messageExchangeBroken   = "exchange with back end broken off"
	messageBackendEnded     = "back end ended while at work"
	messageHeldBack         = "request held back"
	messageRefusedByBackend = "refused by back end"
	messageBackend          = "back end"
	messageBackendSummary   = "back end in the last second"
	messageOwnerChange      = "keys change owner"
	messageGrant            = "grant not confirmed"
	messageRelease          = "release not confirmed"
	messageLeadershipBegan  = "leadership begins"
	messageLeadershipEnded  = "leadership ended"
	messageInForce          = "configuration in force"
	messageLinesDropped     = "log lines dropped"
)

// Entry is one line of a history.
type Entry struct {
	Line
	// HasRequestID is set if the line has the request's id.
	HasRequestID bool
	// Decisive marks the line that explains the cause best.
	Decisive bool
}

// History holds the log lines about a request, and the cause of its outcome.
type History struct {
	Request string
	Entries []Entry
	// Cause explains the outcome in one sentence.
	Cause string
}

// Find returns the history of a request. The lines may be from any processes and in
// any order.
func Find(request string, lines []Line) (*History, error) {
	context := newRequestContext(request, lines)
	if context.last.IsZero() {
		return nil, ErrNotFound
	}
	history := &History{Request: request}
	for i := range lines {
		hasRequestID := lines[i].Request == request
		if hasRequestID || context.isRelevant(&lines[i]) {
			history.Entries = append(history.Entries, Entry{Line: lines[i], HasRequestID: hasRequestID})
		}
	}
	slices.SortStableFunc(history.Entries, func(a, b Entry) int { return a.At.Compare(b.At) })
	history.determineCause()
	return history, nil
}

// requestContext is what the lines with a request's id tell about it: its time span,
// and the back ends, gateways and key that were involved.
type requestContext struct {
	first, last time.Time
	instances   map[string]bool
	nodes       map[string]bool
	key         uint64
	hasKey      bool
	// failedNode is the gateway of the back end that answered the request with a
	// failure; empty if there is none. The request ran between runStart and last.
	failedNode string
	runStart   time.Time
	// unconfigured is set if a gateway had no configuration.
	unconfigured bool
}

// newRequestContext collects the context of a request from the lines with its id.
func newRequestContext(request string, lines []Line) *requestContext {
	c := &requestContext{instances: map[string]bool{}, nodes: map[string]bool{}}
	for i := range lines {
		if lines[i].Request == request {
			c.add(&lines[i])
		}
	}
	return c
}

// add updates the context with a line of the request.
func (c *requestContext) add(line *Line) {
	if c.first.IsZero() || line.At.Before(c.first) {
		c.first = line.At
	}
	if line.At.After(c.last) {
		c.last = line.At
	}
	c.nodes[line.Node] = true
	if line.Instance != "" {
		c.instances[line.Instance] = true
	}
	for _, try := range line.Tries {
		c.instances[try.Instance] = true
		c.nodes[try.Node] = true
	}
	if key, err := strconv.ParseUint(line.Key, 10, 32); err == nil {
		c.key, c.hasKey = key, true
	}
	if line.Message == messageAnswered && line.Status >= minFailureStatus && len(line.Tries) > 0 {
		c.failedNode = line.Tries[len(line.Tries)-1].Node
		c.runStart = line.At.Add(-line.Took)
	}
	c.unconfigured = c.unconfigured || line.Reason == reasonNoConfiguration
}

// isRelevant reports whether a line without the request's id may explain its outcome.
func (c *requestContext) isRelevant(line *Line) bool {
	if line.At.Before(c.first.Add(-windowBefore)) || line.At.After(c.last.Add(windowAfter)) {
		return false
	}
	switch line.Message {
	case messageNotServed:
		// Calls that a back end makes itself have no key.
		return c.failedNode != "" && line.Node == c.failedNode && line.Key == "" && line.At.After(c.runStart) && !line.At.After(c.last)
	case messageBackend:
		return c.instances[line.Instance] || c.nodes[line.Node]
	case messageBackendSummary:
		return c.nodes[line.Node] && !line.At.Before(c.first) && line.At.Before(c.last.Add(time.Second))
	case messageOwnerChange, messageGrant, messageRelease:
		return c.hasKey && line.HasRange && uint64(line.First) <= c.key && c.key <= uint64(line.Last)
	case messageLeadershipBegan, messageLeadershipEnded:
		return c.unconfigured || c.hasKey
	case messageInForce:
		return c.nodes[line.Node] && line.At.After(c.first.Add(-configChangeWindow))
	case messageLinesDropped:
		return c.nodes[line.Node]
	}
	return false
}
