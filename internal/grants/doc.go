// Package grants decides what an agent grants to its back end and tracks what
// the back end may hold. It does no I/O and reads no clock: time is an argument, a
// reading of the agent's monotonic clock, and messages are sent by the caller, one
// at a time.
//
// The back end serves a shard while it holds a grant of it, until the expiry stated in the last
// message is reached by its own clock (see internal/backendapi). So two things must be known at
// every moment, whatever happened to a message: which grants the back end may hold (MayHold),
// and until when it can act on any of them (PossibleUntil). For both, a message without a
// response counts as accepted.
package grants
