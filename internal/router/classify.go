package router

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// headerIdempotencyKey is taken where a caller sends no HeaderRequestID.
const headerIdempotencyKey = "Idempotency-Key"

// maximumNameBytes bounds a caller's name and a request id.
const maximumNameBytes = 128

// request is what the router found out about a caller's request.
type request struct {
	incoming *http.Request
	service  *serviceView
	// keyed requests go to the owner of position.
	keyed    bool
	position topology.KeyHash
	class    topology.RequestClass
	// nonRepeatable requests run at most once and are sent again only with
	// proof that they did not run.
	nonRepeatable bool
	// resendable requests may be sent again without such proof.
	resendable bool
	id         string
	caller     string
	arrived    time.Time
	deadline   time.Time
	body       *requestBody
}

// classify finds service, rule, key, class and deadline of a request.
func (r *Router) classify(v *view, incoming *http.Request, now time.Time) (*request, *refusal) {
	name, rest := splitServicePath(incoming.URL.Path)
	service, known := v.services[name]
	if !known {
		return nil, notRun(wire.ReasonNotFound, "no service has this path")
	}
	classified := &request{
		incoming: incoming,
		service:  service,
		class:    topology.ClassLookup,
		id:       requestIDOf(incoming.Header),
		caller:   callerOf(incoming),
		arrived:  now,
	}
	rule := matchRule(service.service.Rules, incoming.Method, rest)
	if found := classified.applyRule(rule, rest); found != nil {
		return nil, found
	}
	if found := classified.applyMark(); found != nil {
		return nil, found
	}
	if classified.nonRepeatable && httpserver.MayRunBeside(incoming) {
		return nil, notRun(wire.ReasonStale, "the service's rule changed while the request was read")
	}
	classified.resendable = !classified.nonRepeatable && (rule != nil || idempotent(incoming.Method))
	if found := r.applyDeadline(classified, rule); found != nil {
		return nil, found
	}
	return classified, nil
}

// mayRunBeside says whether a request may be in progress beside others of its
// connection: nothing marks it as one that runs at most once. Its method is safe.
func (r *Router) mayRunBeside(incoming *http.Request) bool {
	v := r.view.Load()
	if v == nil {
		return true // nothing is routed yet
	}
	name, rest := splitServicePath(incoming.URL.Path)
	if service, known := v.services[name]; known {
		if rule := matchRule(service.service.Rules, incoming.Method, rest); rule != nil && rule.NonRepeatable {
			return false
		}
	}
	mark := incoming.Header.Get(wire.HeaderNonRepeatable)
	return mark == "" || mark == "false"
}

// splitServicePath divides "/service/rest" into the service's name and
// "/rest".
func splitServicePath(path string) (name, rest string) {
	path = strings.TrimPrefix(path, "/")
	end := strings.IndexByte(path, '/')
	if end < 0 {
		return path, ""
	}
	return path[:end], path[end:]
}

// matchRule returns the first rule that matches, or nil.
func matchRule(rules []topology.RequestRule, method, rest string) *topology.RequestRule {
	for i := range rules {
		rule := &rules[i]
		if len(rule.Methods) > 0 && !slices.Contains(rule.Methods, method) {
			continue
		}
		if strings.HasPrefix(rest, rule.PathPrefix) {
			return rule
		}
	}
	return nil
}

// applyRule takes key, class and mark from a rule.
func (q *request) applyRule(rule *topology.RequestRule, rest string) *refusal {
	if rule == nil {
		return nil
	}
	if rule.Class != 0 {
		q.class = rule.Class
	}
	q.nonRepeatable = rule.NonRepeatable
	if rule.Key == (topology.KeySource{}) {
		return nil
	}
	key := keyOf(q.incoming, rule.Key, rest)
	if key == "" {
		return notRun(wire.ReasonInvalid, "the request has no key where the service's rule expects it")
	}
	q.keyed = true
	q.position = topology.HashKey(key)
	return nil
}

// keyOf finds a request's key; empty is none.
func keyOf(incoming *http.Request, source topology.KeySource, rest string) string {
	switch source.Kind {
	case topology.KeyFromPathSegment:
		return pathSegment(rest, int(source.Index))
	case topology.KeyFromQuery:
		return incoming.URL.Query().Get(source.Name)
	case topology.KeyFromHeader:
		return incoming.Header.Get(source.Name)
	}
	return ""
}

// pathSegment returns a segment of "/a/b/c", counted from 0, or "".
func pathSegment(rest string, index int) string {
	rest = strings.TrimPrefix(rest, "/")
	for ; index > 0; index-- {
		_, after, found := strings.Cut(rest, "/")
		if !found {
			return ""
		}
		rest = after
	}
	segment, _, _ := strings.Cut(rest, "/")
	return segment
}

// applyMark takes the caller's own mark, which can only make a request
// non-repeatable, and checks the id that such a request needs. Without a key
// the id takes its place, so that resends reach the same record of ids.
func (q *request) applyMark() *refusal {
	mark := q.incoming.Header.Get(wire.HeaderNonRepeatable)
	switch mark {
	case "", "false":
	case "true":
		q.nonRepeatable = true
	default:
		return notRun(wire.ReasonInvalid, wire.HeaderNonRepeatable+` must be "true" or "false"`)
	}
	if len(q.id) > maximumNameBytes {
		return notRun(wire.ReasonInvalid, "the request id is too long")
	}
	if !q.nonRepeatable {
		return nil
	}
	if _, err := requestid.Parse(q.id); err != nil {
		return notRun(wire.ReasonInvalid, "a non-repeatable request needs "+wire.HeaderRequestID+": "+err.Error())
	}
	if !q.keyed {
		q.keyed = true
		q.position = topology.HashKey(strings.ToLower(q.id))
	}
	return nil
}

// applyDeadline takes the earlier of what the caller asks and what the rule
// allows.
func (r *Router) applyDeadline(q *request, rule *topology.RequestRule) *refusal {
	timeout := r.config.DefaultTimeout
	if rule != nil && rule.Timeout > 0 {
		timeout = rule.Timeout
	}
	if stated := q.incoming.Header.Get(wire.HeaderDeadline); stated != "" {
		milliseconds, err := strconv.ParseInt(stated, 10, 32)
		if err != nil || milliseconds <= 0 {
			return notRun(wire.ReasonInvalid, wire.HeaderDeadline+" must be a positive number of milliseconds")
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	q.deadline = q.arrived.Add(min(timeout, r.config.MaximumTimeout))
	return nil
}

// idempotent says whether a method may be sent again by RFC 9110, 9.2.2.
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

func requestIDOf(header http.Header) string {
	if id := header.Get(wire.HeaderRequestID); id != "" {
		return id
	}
	return header.Get(headerIdempotencyKey)
}

// callerOf names the caller for fair queueing: its own word, or its address.
func callerOf(incoming *http.Request) string {
	if name := incoming.Header.Get(wire.HeaderCaller); name != "" {
		return name[:min(len(name), maximumNameBytes)]
	}
	host, _, err := net.SplitHostPort(incoming.RemoteAddr)
	if err != nil {
		return incoming.RemoteAddr
	}
	return host
}
