// Package overload decides which work a back end is given when more is asked for than
// it can do: who waits, in which order, who is refused at once, and when those come
// back. It is pure: state, inputs and readings of the clock go in, decisions come out;
// the caller waits, sends, logs and locks.
//
//   - SlotQueue (slots.go, late.go): the slots of a back end and the requests that wait
//     for them.
//   - FirstTries (firsttry.go): how long ago a caller that comes back tried first.
//   - Refusals (comeback.go): when who was refused should come back.
//   - Link (link.go): the machine's link and the large answers that go over it.
//
// No type is safe for concurrent use.
package overload
