// Package grants decides what an agent grants to its back end and knows what
// the back end may hold. It is pure: time is an argument, a reading of the
// agent's monotonic clock, and messages are sent by the caller, one at a time.
//
// The back end serves a shard while it holds a grant of it and the end that the
// last message stated has not come by its own clock (see internal/backendapi).
// So two things must be known at every moment, whatever became of a message:
// which grants the back end may hold (MayHold), and until when it can act on
// any of them (PossibleUntil). A message without answer counts as taken for
// both.
package grants
