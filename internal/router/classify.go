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

// headerIdempotencyKey provides the request id if a caller sends no
// wire.HeaderRequestID.
const headerIdempotencyKey = "Idempotency-Key"

// maximumNameBytes limits the length of a caller's name and of a request id.
const maximumNameBytes = 128

// request is a classified request of a caller.
type request struct {
	incoming *http.Request
	service  *serviceView
	// keyed requests go to the owner of keyHash.
	keyed   bool
	keyHash topology.KeyHash
	class   topology.RequestClass
	// nonRepeatable requests must run at most once. They are retried only with
	// proof that they did not run.
	nonRepeatable bool
	// idempotent requests may be retried without such proof.
	idempotent bool
	id         string
	caller     string
	arrived    time.Time
	deadline   time.Time
	body       *requestBody
}

// classify determines service, rule, key, class and deadline of a request.
func (r *Router) classify(v *view, incoming *http.Request, now time.Time) (*request, *errorResponse) {
	name, rest := splitServicePath(incoming.URL.Path)
	service, known := v.services[name]
	if !known {
		return nil, notRunError(wire.ReasonNotFound, "no service has this path")
	}
	q := &request{
		incoming: incoming,
		service:  service,
		class:    topology.ClassLookup,
		id:       requestIDFrom(incoming.Header),
		caller:   callerName(incoming),
		arrived:  now,
	}
	rule := matchRule(service.service.Rules, incoming.Method, rest)
	if errResp := q.applyRule(rule, rest); errResp != nil {
		return nil, errResp
	}
	if errResp := q.applyNonRepeatableHeader(); errResp != nil {
		return nil, errResp
	}
	if q.nonRepeatable && httpserver.MayRunConcurrently(incoming) {
		return nil, notRunError(wire.ReasonStale, "the service's rule changed while the request was read")
	}
	q.idempotent = !q.nonRepeatable && (rule != nil || isIdempotentMethod(incoming.Method))
	if errResp := r.applyDeadline(q, rule); errResp != nil {
		return nil, errResp
	}
	return q, nil
}

// mayRunConcurrently reports whether a pipelined request may run concurrently
// with others of its connection, that is, whether neither a rule nor its header
// makes it non-repeatable. The server calls it only for safe methods.
func (r *Router) mayRunConcurrently(incoming *http.Request) bool {
	v := r.view.Load()
	if v == nil {
		return true // no routing table yet: serve rejects the request
	}
	name, rest := splitServicePath(incoming.URL.Path)
	if service, known := v.services[name]; known {
		if rule := matchRule(service.service.Rules, incoming.Method, rest); rule != nil && rule.NonRepeatable {
			return false
		}
	}
	flag := incoming.Header.Get(wire.HeaderNonRepeatable)
	return flag == "" || flag == "false"
}

// splitServicePath splits "/service/rest" into the service name and "/rest".
func splitServicePath(path string) (name, rest string) {
	path = strings.TrimPrefix(path, "/")
	end := strings.IndexByte(path, '/')
	if end < 0 {
		return path, ""
	}
	return path[:end], path[end:]
}

// matchRule returns the first matching rule, or nil.
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

// applyRule applies a rule's class, key and non-repeatable flag to the request.
func (q *request) applyRule(rule *topology.RequestRule, rest string) *errorResponse {
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
	key := requestKey(q.incoming, rule.Key, rest)
	if key == "" {
		return notRunError(wire.ReasonInvalid, "the request has no key where the service's rule expects it")
	}
	q.keyed = true
	q.keyHash = topology.HashKey(key)
	return nil
}

// requestKey extracts the key of a request; it returns "" if there is none.
func requestKey(incoming *http.Request, source topology.KeySource, rest string) string {
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

// pathSegment returns the segment of "/a/b/c" with the given index, from 0, or
// "".
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

// applyNonRepeatableHeader applies the caller's own header, which can make a
// request non-repeatable but cannot override a rule, and validates the id that
// a non-repeatable request needs. A non-repeatable request without a key is
// keyed by its id, so that all requests with this id reach the same shard's
// record of ids.
func (q *request) applyNonRepeatableHeader() *errorResponse {
	flag := q.incoming.Header.Get(wire.HeaderNonRepeatable)
	switch flag {
	case "", "false":
	case "true":
		q.nonRepeatable = true
	default:
		return notRunError(wire.ReasonInvalid, wire.HeaderNonRepeatable+` must be "true" or "false"`)
	}
	if len(q.id) > maximumNameBytes {
		return notRunError(wire.ReasonInvalid, "the request id is too long")
	}
	if !q.nonRepeatable {
		return nil
	}
	if _, err := requestid.Parse(q.id); err != nil {
		return notRunError(wire.ReasonInvalid, "a non-repeatable request needs "+wire.HeaderRequestID+": "+err.Error())
	}
	if !q.keyed {
		q.keyed = true
		q.keyHash = topology.HashKey(strings.ToLower(q.id))
	}
	return nil
}

// applyDeadline sets the deadline from the caller's header, else from the rule,
// else from DefaultTimeout, limited by MaximumTimeout.
func (r *Router) applyDeadline(q *request, rule *topology.RequestRule) *errorResponse {
	timeout := r.config.DefaultTimeout
	if rule != nil && rule.Timeout > 0 {
		timeout = rule.Timeout
	}
	if requested := q.incoming.Header.Get(wire.HeaderDeadline); requested != "" {
		milliseconds, err := strconv.ParseInt(requested, 10, 32)
		if err != nil || milliseconds <= 0 {
			return notRunError(wire.ReasonInvalid, wire.HeaderDeadline+" must be a positive number of milliseconds")
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	q.deadline = q.arrived.Add(min(timeout, r.config.MaximumTimeout))
	return nil
}

// isIdempotentMethod reports whether a method is idempotent (RFC 9110, 9.2.2).
func isIdempotentMethod(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete, http.MethodTrace:
		return true
	}
	return false
}

// requestIDFrom returns the request id in the header, or "".
func requestIDFrom(header http.Header) string {
	if id := header.Get(wire.HeaderRequestID); id != "" {
		return id
	}
	return header.Get(headerIdempotencyKey)
}

// callerName identifies the caller for fair queueing, by wire.HeaderCaller or
// else by its address.
func callerName(incoming *http.Request) string {
	if name := incoming.Header.Get(wire.HeaderCaller); name != "" {
		return name[:min(len(name), maximumNameBytes)]
	}
	host, _, err := net.SplitHostPort(incoming.RemoteAddr)
	if err != nil {
		return incoming.RemoteAddr
	}
	return host
}
