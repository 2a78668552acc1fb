package wire

// Headers of requests and answers. The router removes Quartzdock- headers that a
// caller sends, except those marked "caller may send" below.
const (
	// HeaderRequestID is the caller's id of a request, a UUIDv7 (RFC 9562); a
	// retry carries the same id. Caller may send. Required for non-repeatable
	// requests. "Idempotency-Key" is accepted in its place.
	HeaderRequestID = "Quartzdock-Request-Id"
	// HeaderNonRepeatable "true" marks a request as non-repeatable. Caller may
	// send.
	HeaderNonRepeatable = "Quartzdock-Non-Repeatable"
	// HeaderCaller names the caller for fair queueing. Caller may send.
	HeaderCaller = "Quartzdock-Caller"
	// HeaderDeadline is the time left until the deadline, in milliseconds. Caller
	// may send.
	HeaderDeadline = "Quartzdock-Deadline-Ms"
	// HeaderClass is the class of the request: "lookup" or "bulk".
	HeaderClass = "Quartzdock-Class"
	// HeaderShard is "service/shard" in decimal, router to agent to back end.
	HeaderShard = "Quartzdock-Shard"
	// HeaderEpoch is the shard's epoch in decimal, router to agent to back end.
	HeaderEpoch = "Quartzdock-Epoch"
	// HeaderKey is the hash of the key in hexadecimal, router to agent. It is sent
	// together with a shard; the agent uses it to detect hot keys.
	HeaderKey = "Quartzdock-Key"
	// HeaderSending numbers each sending of a request, agent to back end. A back end repeats it in
	// its answer, so that a surplus answer to an earlier sending is recognized.
	HeaderSending = "Quartzdock-Sending"
	// HeaderOutcome is on every answer: "answered", "not-run" or "unknown".
	HeaderOutcome = "Quartzdock-Outcome"
	// HeaderReason says why a request was not run or its outcome is unknown.
	HeaderReason = "Quartzdock-Reason"
	// HeaderRevision is the revision of the routing data that the router used.
	HeaderRevision = "Quartzdock-Revision"
	// TrailerDigest is the xxhash64 of the whole body in hexadecimal, computed for
	// each hop.
	TrailerDigest = "Quartzdock-Body-Digest"
)

// Outcome tells the caller whether the back end ran a request.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered means that the back end ran the request and that this is its
	// complete answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the back end certainly did not run the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason gives the cause of OutcomeNotRun or OutcomeUnknown.
type Reason string

// Reasons for OutcomeNotRun, and for OutcomeUnknown where noted, with the HTTP
// status of the answer.
const (
	ReasonNoOwner     Reason = "no-owner"      // 503 and Retry-After
	ReasonShed        Reason = "shed"          // 503 and Retry-After
	ReasonOverLimit   Reason = "over-limit"    // 429 and Retry-After
	ReasonExpired     Reason = "expired"       // 504
	ReasonWrongEpoch  Reason = "wrong-epoch"   // agent to router: 421
	ReasonNoLease     Reason = "no-lease"      // agent to router: 421
	ReasonDraining    Reason = "draining"      // agent to router: 421
	ReasonInvalid     Reason = "invalid"       // 400
	ReasonStale       Reason = "stale-routing" // router lost contact with the controllers: 503
	ReasonUnreachable Reason = "unreachable"   // no connection was made: 503
	ReasonNotFound    Reason = "no-service"    // 404
	ReasonTooLarge    Reason = "too-large"     // 413
	ReasonSlowSender  Reason = "slow-sender"   // 408
	ReasonDuplicate   Reason = "in-progress"   // a request with the same id is running: 409
	ReasonLeaseLost   Reason = "lease-lost"    // unknown: 504
	ReasonInterrupted Reason = "interrupted"   // unknown: 502
	ReasonTimedOut    Reason = "timed-out"     // unknown: 504
	ReasonRecordLost  Reason = "record-lost"   // unknown: 409
	ReasonTruncated   Reason = "truncated"     // unknown: 502
	ReasonAlreadyRun  Reason = "already-run"   // ran before, but the answer is no longer stored: 409
)
