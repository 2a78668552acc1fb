// Package gateway implements the gateway process that runs on the machine of each back end of a
// fleet. It accepts the requests of callers on its machine, selects a back end for each, and
// forwards the request to that back end's local gateway. It is also the only path to its own
// local back end.
//
// # Path of a request
//
// The ingress (ingress.go, attempt.go) finds the route in the configuration in force. It
// selects a back end among the instances of the route's service, or the owner of the request's
// key, and passes the request to the egress of that back end's local gateway: by a function
// call if it is this process, otherwise over HTTP. The egress (egress.go) admits the request if
// the back end may get it and has a free slot, sends it once, checks that the response belongs
// to the request and is complete, and reports the outcome:
//
//   - answered: the complete response of the back end.
//   - not-run: proof that the back end has not run the request and never will.
//   - unknown: anything else.
//
// A request that must not run twice may be sent again only after not-run. The caller of an
// abandoned request gets a final response immediately.
//
// # State of a gateway
//
// One goroutine maintains a session with the leading controller (session.go). What it receives
// becomes an immutable view (view.go) that request goroutines read through an atomic pointer.
// The registration of the back end (registration.go) and its grants of keys (keys.go)
// originate here, so that a gateway enforces a drain or the expiry of a lease without any
// other process.
package gateway
