package wire

// Headers of the request path. Those with prefix Quartzdock- that a caller
// sends are dropped at the router unless named "caller may send".
const (
	// HeaderRequestID is the caller's id of a request, a UUIDv7 (RFC 9562); a
	// resend carries the same id. Caller may send. Required where a request is
	// non-repeatable. "Idempotency-Key" is taken in its place.
	HeaderRequestID = "Quartzdock-Request-Id"
	// HeaderNonRepeatable "true" marks a request as non-repeatable. Caller may
	// send.
	HeaderNonRepeatable = "Quartzdock-Non-Repeatable"
	// HeaderCaller names the caller for fair queueing. Caller may send.
	HeaderCaller = "Quartzdock-Caller"
	// HeaderDeadline is the time left in milliseconds. Caller may send.
	HeaderDeadline = "Quartzdock-Deadline-Ms"
	// HeaderClass is "lookup" or "bulk".
	HeaderClass = "Quartzdock-Class"
	// HeaderShard is "service/shard" in decimal, router to agent to back end.
	HeaderShard = "Quartzdock-Shard"
	// HeaderEpoch is the shard's epoch in decimal, router to agent to back end.
	HeaderEpoch = "Quartzdock-Epoch"
	// HeaderKey is the position of the key in hexadecimal, router to agent, where
	// a shard is named; the agent finds hot keys by it.
	HeaderKey = "Quartzdock-Key"
	// HeaderOutcome is on every answer: "answered", "not-run" or "unknown".
	HeaderOutcome = "Quartzdock-Outcome"
	// HeaderReason says why a request was not run or its outcome is unknown.
	HeaderReason = "Quartzdock-Reason"
	// HeaderRevision is the revision by which the router routed.
	HeaderRevision = "Quartzdock-Revision"
	// TrailerDigest is the xxhash64 in hexadecimal of the whole body, per hop.
	TrailerDigest = "Quartzdock-Body-Digest"
)

// Outcome is what became of a request, as told to the caller.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered: the back end ran it and this is its whole answer.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun: it is proved that the back end did not run it.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: it may or may not have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason refines OutcomeNotRun and OutcomeUnknown.
type Reason string

// Reasons that a request was not run, with the status that carries each.
const (
	ReasonNoOwner      Reason = "no-owner"      // 503 and Retry-After
	ReasonShed         Reason = "shed"          // 503 and Retry-After
	ReasonOverLimit    Reason = "over-limit"    // 429 and Retry-After
	ReasonExpired      Reason = "expired"       // 504
	ReasonWrongEpoch   Reason = "wrong-epoch"   // agent to router: 421
	ReasonNoLease      Reason = "no-lease"      // agent to router: 421
	ReasonDraining     Reason = "draining"      // agent to router: 421
	ReasonInvalid      Reason = "invalid"       // 400
	ReasonStale        Reason = "stale-routing" // router cut off: 503
	ReasonUnreachable  Reason = "unreachable"   // no connection was made: 503
	ReasonNotFound     Reason = "no-service"    // 404
	ReasonTooLarge     Reason = "too-large"     // 413
	ReasonSlowSender   Reason = "slow-sender"   // 408
	ReasonDuplicate    Reason = "in-progress"   // same id is running: 409
	ReasonLeaseLost    Reason = "lease-lost"    // unknown: 504
	ReasonInterrupted  Reason = "interrupted"   // unknown: 502
	ReasonTimedOut     Reason = "timed-out"     // unknown: 504
	ReasonRecordLost   Reason = "record-lost"   // unknown: 409
	ReasonTruncated    Reason = "truncated"     // unknown: 502
	ReasonAlreadyTaken Reason = "already-run"   // known to have run, answer gone: 409
)
