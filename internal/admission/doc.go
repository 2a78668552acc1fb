// Package admission decides which request may run when more arrive than there
// are slots for: it bounds the running and the waiting requests, schedules the
// waiting ones, and refuses at once those that cannot be served in time.
//
// # Slots and classes
//
// A Queue has a number of slots. Each running request holds one. Requests are
// of three classes (look-up, write, bulk); some slots are reserved for each
// class, so that slow bulk transfers cannot take every slot from look-ups and
// neither of them can starve writes. A class takes a free slot only while
// enough others stay free for the unused reservations of the other classes.
// When bulk asks for slots beyond its reservation, look-ups keep up to 1.5
// times the slots that they used recently.
//
// # Scheduling
//
// Waiting requests stand in a tree of queues. Each level of the tree divides
// the slot time evenly among its children by start-time fair queueing (Goyal,
// Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996): a child carries a
// start tag, a virtual time that grows by the slot time its requests use, and
// the child with the smallest start tag goes first. A request is charged the
// estimated cost of its class when it starts; the difference from its actual
// slot time is corrected when it ends. The levels are the service, the parts of
// the caller's name and the class; docs/decisions/010-queues-and-fairness.md
// compares this policy with others.
//
// # Refusals
//
// A request is refused as soon as it is known that it will not be served:
//
//   - when it is offered and the estimated wait and service time exceed the
//     time left until its deadline;
//   - when the queue is full: the newest request of the longest queue is shed,
//     which need not be the one just offered;
//   - when its latest start time passes.
//
// The estimates are moving averages of the slot time per class. They are not
// consulted while nothing waits and a slot is free, so that an estimate that is
// too high cannot refuse every request.
//
// The package reads no clock and starts no goroutine: callers pass the time, a
// monotonic reading. Subpackage gate makes a Queue safe for concurrent use.
package admission
