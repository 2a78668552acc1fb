// Package admission decides which request may run when more arrive than there
// are slots for: it bounds what runs and what waits, orders what waits, and
// refuses at once what cannot be served in time.
//
// # Slots and classes
//
// A Queue has a number of slots. Each running request holds one. Requests are
// of three classes (look-up, write, bulk); some slots are reserved for each
// class, so that slow bulk transfers cannot take every slot from look-ups and
// neither of them can starve writes. A class takes a free slot only while
// enough others stay free for what is reserved and not yet used by the other
// classes. Against bulk, look-ups keep more: half as much again as they used
// of late.
//
// # Order
//
// Waiting requests stand in a tree of queues. Each level of the tree divides
// the slot time evenly among its children by start-time fair queueing (Goyal,
// Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996): a child carries a
// virtual start time that grows by the slot time its requests use, and the
// child with the least one goes first. A request is charged the estimate of
// its class when it starts and the difference to what it used when it ends.
// The levels are the service, the parts of the caller's name and the class;
// docs/decisions/010-queues-and-fairness.md compares them with others.
//
// # Refusals
//
// A request is refused as soon as it is known that it will not be served:
//
//   - when it is offered and the estimated wait and service time exceed what is
//     left until its deadline;
//   - when the queue is full: the newest request of the longest queue goes,
//     which need not be the one just offered;
//   - when the latest moment passes at which it could have started.
//
// The estimates are moving averages of the slot time per class. While a slot
// is free they are not asked, so a wrong estimate cannot refuse everything.
//
// The package is pure: time is an argument, a monotonic reading.
// Subpackage gate drives a Queue from many goroutines.
package admission
