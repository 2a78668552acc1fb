// Package overload decides which requests a back end gets when there are more than it can
// serve: which ones wait, in which order, which are refused at once, and when these should
// be retried. It does no I/O and reads no clock: state, inputs and readings of the clock go
// in, decisions come out; the caller waits, sends, logs and locks.
//
//   - SlotQueue (slots.go, late.go, cold.go): the slots of a back end and the requests that
//     wait for them.
//   - RetryDetector (retries.go): how long ago a caller that retries made its first attempt.
//   - Refusals (refusals.go): when a refused request should be retried.
//   - Link (link.go): the machine's network link and the large responses that are sent over it.
//
// No type is safe for concurrent use.
package overload
