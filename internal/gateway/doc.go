// Package gateway is the process beside each back end of a fleet. It takes the
// requests of callers on its machine, finds the back end that each may go to,
// and passes it to the gateway beside that; and it is the only way to the back
// end beside itself.
//
// # The way of a request
//
// The ingress (ingress.go, attempt.go) finds the route in the configuration in
// force, picks a back end among the instances of the route's service, or the
// owner of the request's key, and hands the request to the egress of the gateway
// beside that back end: by a call where it is this process, otherwise over HTTP.
// The egress (egress.go) admits the request while the back end may get it and
// has a slot, sends it once, checks that the answer belongs to it and is whole,
// and says what became of it:
//
//   - answered: the back end's whole answer.
//   - not-run: proof that the back end has not run the request and never will.
//   - unknown: anything else.
//
// Only not-run may be sent again for a request that must not repeat. A request
// that was given up gets its final answer at once.
//
// # What a gateway knows
//
// One goroutine keeps a session with the leading controller (session.go). What
// it learns becomes an immutable view (view.go) that request goroutines read
// through an atomic pointer. The back end's own word (registration.go) and its
// grants of keys (keys.go) are known here first, so that a drain or the end of a
// lease is kept without any other process.
package gateway
