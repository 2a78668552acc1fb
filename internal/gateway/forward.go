package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

// outcome is what is known about a request after one attempt.
type outcome string

// Outcomes.
const (
	// outcomeAnswered: the back end's whole response was received.
	outcomeAnswered outcome = "answered"
	// outcomeNotRun: proof that the back end has not run the request and never will.
	outcomeNotRun outcome = "not-run"
	// outcomeUnknown: anything else.
	outcomeUnknown outcome = "unknown"
)

// reason is why a request was not answered.
type reason string

// Reasons.
const (
	reasonNone reason = ""
	// reasonNotAdmitted: the back end is another instance, or it is leaving.
	reasonNotAdmitted reason = "not-admitted"
	// reasonOwnerLost: the back end that holds the key can't be reached; the refusal reports
	// when the key may have another owner.
	reasonOwnerLost reason = "owner-lost"
	// reasonNotOwner: the back end does not hold the key at present.
	reasonNotOwner reason = "not-owner"
	// reasonEvacuated: the back end's zone is evacuated.
	reasonEvacuated reason = "zone-evacuated"
	// reasonNoSlot: no slot became free in time.
	reasonNoSlot reason = "no-room"
	// reasonRateLimited: the back end has got as many requests as the limit allows that it states.
	reasonRateLimited reason = "rate-limit"
	// reasonLinkFull: the machine's network link could not send the response in time.
	reasonLinkFull reason = "link-full"
	// reasonRefused: the back end itself refused to run the request.
	reasonRefused reason = "refused-by-back-end"
	// reasonUnreachable: no byte of the request could be sent.
	reasonUnreachable reason = "unreachable"
	// reasonInterrupted: the exchange was interrupted, or the response was invalid.
	reasonInterrupted reason = "broken-off"
	// reasonBackendCrashed: the back end crashed while it was running the request.
	reasonBackendCrashed reason = "back-end-ended"
	// reasonTimeout: no response before the deadline.
	reasonTimeout reason = "timeout"
	// reasonStopping: the gateway is stopping, and the request's deadline is after the end
	// of the stop.
	reasonStopping reason = "gateway-stopping"
	// reasonNoInstance: no instance of the service is known.
	reasonNoInstance reason = "no-instance"
	// reasonNoConfiguration: the gateway knows no configuration yet.
	reasonNoConfiguration reason = "no-configuration"
	// reasonStaleConfiguration: the leader has not confirmed the gateway's configuration for so
	// long that another one may have been in force for long, or that the zone may have been
	// evacuated.
	reasonStaleConfiguration reason = "configuration-may-be-old"
	// reasonNoMemory: the gateway has as many bytes of bodies in memory as it may.
	reasonNoMemory reason = "no-memory"
	// reasonRouteChanged: the route no longer allows requests to run more than once, but the
	// request was started alongside others of its connection.
	reasonRouteChanged reason = "route-changed"
	// reasonAwaitsTrial: back ends have crashed while running the request, and it got no trial
	// run before its deadline.
	reasonAwaitsTrial reason = "awaits-trial"
	// reasonQuarantined: so many back ends have crashed while running the request that it is
	// not sent any more.
	reasonQuarantined reason = "held-back"
	// reasonOutsideRegions: the request must not run in the regions where it could.
	reasonOutsideRegions reason = "outside-allowed-regions"
	// reasonUnknownKey: the request has no API key that the configuration knows.
	reasonUnknownKey reason = "unknown-api-key"
	// reasonOverQuota: the tenant's quota is used up.
	reasonOverQuota reason = "over-quota"
	// reasonNoQuotaShare: the gateway has no share of the tenant's quota yet.
	reasonNoQuotaShare reason = "no-quota-share"
	// reasonNoRoute: no route matches the request's host and path.
	reasonNoRoute reason = "no-route"
)

// reasons is the set of known reasons.
var reasons = map[reason]bool{
	reasonNone:               true,
	reasonNotAdmitted:        true,
	reasonOwnerLost:          true,
	reasonNotOwner:           true,
	reasonEvacuated:          true,
	reasonNoSlot:             true,
	reasonLinkFull:           true,
	reasonRateLimited:        true,
	reasonRefused:            true,
	reasonUnreachable:        true,
	reasonInterrupted:        true,
	reasonBackendCrashed:     true,
	reasonTimeout:            true,
	reasonStopping:           true,
	reasonNoInstance:         true,
	reasonNoConfiguration:    true,
	reasonStaleConfiguration: true,
	reasonNoMemory:           true,
	reasonRouteChanged:       true,
	reasonNoRoute:            true,
	reasonAwaitsTrial:        true,
	reasonQuarantined:        true,
	reasonOutsideRegions:     true,
	reasonUnknownKey:         true,
	reasonOverQuota:          true,
	reasonNoQuotaShare:       true,
}

// known reports whether a reason sent by a peer is one of reasons. Unknown ones would create
// new metric series.
func (r reason) known() bool { return reasons[r] }

// persists reports whether another attempt at the same back end shortly afterwards would end
// the same way.
func (r reason) persists() bool {
	return r.isCapacity() || r == reasonRateLimited || r == reasonStopping || r == reasonNoMemory
}

// isCapacity reports whether a request was refused because a resource that it needs is
// exhausted.
func (r reason) isCapacity() bool { return r == reasonNoSlot || r == reasonLinkFull }

// forwardRequest is one attempt of a request at one back end.
type forwardRequest struct {
	Method string
	// URI is the request target as the caller sent it.
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	ID      string
	Service string
	// Instance is the only instance that may run the request.
	Instance string
	Key      keyspace.Key
	HasKey   bool
	Priority int
	// Transfer is set if a large response is expected.
	Transfer bool
	// Trial is the number of the trial under which a suspected request runs; zero is none.
	Trial uint64
	// Limit is what the instance stated about its rate limit, as the caller's gateway knows.
	Limit ratelimit.Statement
	// Target is the route's target latency. Due is the time until which a response meets it,
	// and Deadline when the caller stops waiting.
	Target   time.Duration
	Due      time.Time
	Deadline time.Time

	digestOnce  sync.Once
	digestValue quarantine.Digest
}

// digest identifies requests with the same content.
func (r *forwardRequest) digest() quarantine.Digest {
	r.digestOnce.Do(func() {
		content := quarantine.Request{Service: r.Service, Method: r.Method, Host: r.Host, Target: r.URI, Body: r.Body}
		if r.HasKey {
			content.Key = strconv.FormatUint(uint64(r.Key), 10)
		}
		r.digestValue = content.Digest()
	})
	return r.digestValue
}

// forwardResult is the result of one attempt.
type forwardResult struct {
	Outcome outcome
	Reason  reason
	// Sent is set if the request may have been sent to the back end.
	Sent bool
	// Status, Header and Body are set if the outcome is outcomeAnswered.
	Status int
	Header http.Header
	Body   []byte
	// Stream is the body if it is passed on while it is being received; Body is nil then.
	Stream *responseStream
	Load   peerLoad
	// RequestsRunning is how many requests the back end was running when it crashed.
	RequestsRunning int
	// loadRead is set if a peer reported a load that could be parsed.
	loadRead bool
	// RetryAfter is when the same gateway may be able to serve the request, if that is
	// known: the gateway is stopping, or many requests were refused before.
	RetryAfter time.Duration
	// linkReservation is the link capacity that is reserved for a large response of the local
	// back end.
	linkReservation overload.Reservation
}
