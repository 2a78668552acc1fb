package gateway

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// outcome is what is known of a request after one try.
type outcome string

// Outcomes.
const (
	// outcomeAnswered: the back end's whole answer is there.
	outcomeAnswered outcome = "answered"
	// outcomeNotRun: proof that the back end has not run it and never will.
	outcomeNotRun outcome = "not-run"
	// outcomeUnknown: anything else.
	outcomeUnknown outcome = "unknown"
)

// reason says why a request was not answered.
type reason string

// Reasons.
const (
	reasonNone reason = ""
	// reasonNotAdmitted: the back end is another one, or it leaves.
	reasonNotAdmitted reason = "not-admitted"
	// reasonOwnerLost: the back end that holds the key can't be reached; the refusal says when
	// the key may have another owner.
	reasonOwnerLost reason = "owner-lost"
	// reasonNotOwner: the back end does not hold the key now.
	reasonNotOwner reason = "not-owner"
	// reasonEvacuated: the back end's zone is evacuated.
	reasonEvacuated reason = "zone-evacuated"
	// reasonNoRoom: no slot in the time left.
	reasonNoRoom reason = "no-room"
	// reasonLinkFull: the machine's link could not send the answer in the time left.
	reasonLinkFull reason = "link-full"
	// reasonRefused: the back end itself did not run it.
	reasonRefused reason = "refused-by-back-end"
	// reasonUnreachable: no byte of it could be sent.
	reasonUnreachable reason = "unreachable"
	// reasonBroken: the exchange broke off, or the answer was no answer to it.
	reasonBroken reason = "broken-off"
	// reasonEnded: the back end ended while it was at work on the request.
	reasonEnded reason = "back-end-ended"
	// reasonTimeout: no answer in the time.
	reasonTimeout reason = "timeout"
	// reasonStopping: the gateway is being stopped, and the request's time ends
	// later than the stop.
	reasonStopping reason = "gateway-stopping"
	// reasonNoInstance: no instance of the service is known.
	reasonNoInstance reason = "no-instance"
	// reasonNoConfiguration: the gateway knows no configuration yet.
	reasonNoConfiguration reason = "no-configuration"
	// reasonOutdated: the gateway has not had the leader's word for so long that another
	// configuration may have been in force for long, or its zone evacuated.
	reasonOutdated reason = "configuration-may-be-old"
	// reasonNoMemory: the gateway keeps as many bytes for slow readers as it may.
	reasonNoMemory reason = "no-memory"
	// reasonRouteChanged: the route has become one whose requests run once, and the
	// request runs beside others of its connection.
	reasonRouteChanged reason = "route-changed"
	// reasonAwaitsTrial: back ends have ended under the request, and it was granted no trial
	// in its time.
	reasonAwaitsTrial reason = "awaits-trial"
	// reasonHeldBack: so many back ends have ended under the request that it is not sent.
	reasonHeldBack reason = "held-back"
	// reasonNoRoute: no route has the request's host and path.
	reasonNoRoute reason = "no-route"
)

// reasons are the known ones.
var reasons = map[reason]bool{
	reasonNone:            true,
	reasonNotAdmitted:     true,
	reasonOwnerLost:       true,
	reasonNotOwner:        true,
	reasonEvacuated:       true,
	reasonNoRoom:          true,
	reasonLinkFull:        true,
	reasonRefused:         true,
	reasonUnreachable:     true,
	reasonBroken:          true,
	reasonEnded:           true,
	reasonTimeout:         true,
	reasonStopping:        true,
	reasonNoInstance:      true,
	reasonNoConfiguration: true,
	reasonOutdated:        true,
	reasonNoMemory:        true,
	reasonRouteChanged:    true,
	reasonNoRoute:         true,
	reasonAwaitsTrial:     true,
	reasonHeldBack:        true,
}

// known says that a peer's reason is one of these. Others would name series of metrics.
func (r reason) known() bool { return reasons[r] }

// lasts says that another try at the same back end within the next moments would
// end alike.
func (r reason) lasts() bool { return r.full() || r == reasonStopping }

// full says that what a request needs is all used.
func (r reason) full() bool { return r == reasonNoRoom || r == reasonLinkFull }

// forwardRequest is one try of a request at one back end.
type forwardRequest struct {
	Method string
	// URI is the request target as the caller sent it.
	URI     string
	Host    string
	Header  http.Header
	Body    []byte
	ID      string
	Service string
	// Instance is the only one that may run it.
	Instance string
	Key      keyspace.Key
	HasKey   bool
	Priority int
	// Transfer says that the answer is a large one.
	Transfer bool
	// Trial is the number of the trial by which it runs where it is suspected; zero is none.
	Trial uint64
	// Target is the time within which the answer is worth most, Due when that
	// is over, Deadline when the caller stops waiting.
	Target   time.Duration
	Due      time.Time
	Deadline time.Time

	digestOnce sync.Once
	digested   quarantine.Digest
}

// digest names the request among others.
func (r *forwardRequest) digest() quarantine.Digest {
	r.digestOnce.Do(func() {
		same := quarantine.Request{Service: r.Service, Method: r.Method, Host: r.Host, Target: r.URI, Body: r.Body}
		if r.HasKey {
			same.Key = strconv.FormatUint(uint64(r.Key), 10)
		}
		r.digested = same.Digest()
	})
	return r.digested
}

// forwardResult is what became of one try.
type forwardResult struct {
	Outcome outcome
	Reason  reason
	// Sent says that the back end may have been sent the request.
	Sent bool
	// Status, Header and Body are set where the outcome is answered.
	Status int
	Header http.Header
	Body   []byte
	// Stream is the body where it is passed on as it comes; Body is nil then.
	Stream *answerStream
	Load   peerLoad
	// AtWork is on how many requests the back end was at work when it ended.
	AtWork int
	// loadRead says that a peer told the load in words that can be read.
	loadRead bool
	// RetryAfter is when the request may be served by the same gateway, where that
	// is known: it is being stopped, or many were refused before.
	RetryAfter time.Duration
	// kept is what this machine's link keeps for the answer, where the back end beside
	// it has made a large one.
	kept overload.Kept
}
