// Package requestrecord records, for each shard that an agent owns, which
// non-repeatable requests it passed to its back end, so that each runs at most
// once however often callers and routers send it.
//
// A request is admitted under its id by an entry that is synced to the journal
// before the request is sent to the back end. From then on, repeats of the id
// are answered from the entry: with the kept answer, that the request is running,
// or that its outcome is unknown. Only proof that the back end did not run the
// request (Abandon) makes the id available again.
//
// Ledger implements the rules without clock, goroutines or I/O, so that a
// simulator can drive one for each simulated agent. Record is a Ledger with a
// journal.
//
// # Completeness
//
// A record is a set of entries and a floor, a point in time. Invariant: every id
// that any owner of the shard ever admitted and whose time stamp is at or above
// the floor has an entry. An id without an entry is therefore new if its stamp is
// at or above the floor. Below the floor its request may have run, and it is
// refused with RecordLost.
//
// The record is exact for the epoch in which it was kept. An agent that begins to
// serve at the next epoch continues a record that it kept itself or received from
// the previous owner, including the floor: there can have been no owner in
// between. Otherwise the record of the previous owners is lost, and the floor
// becomes the agent's wall clock plus ClockBound. This keeps the invariant
// because
//
//   - an owner admits an id only once its own wall clock has reached the id's
//     stamp: it waits for stamps up to ClockBound ahead and refuses later ones.
//     So at admission, stamp <= clock of the previous owner;
//   - the previous owner's last admission precedes the takeover, because its
//     lease has ended or its fencing token is refused by then;
//   - any two owners' clocks differ by at most ClockBound. This is the only
//     assumption about clocks that this package makes.
//
// Dropping an entry because of its age, the number of entries or the size of the
// kept bodies raises the floor above its stamp.
//
// A record is transferred only after the owner has promised, by a synced journal
// entry, never to admit at that epoch again, so the transferred record is final
// whether or not the sender survives. An incomplete transfer is discarded; the
// new owner then serves with a raised floor. A complete transfer that arrives
// after the new owner has begun is still valid: its entries are added, and, where
// the new owner's own record has no gap, the floor is lowered to the transferred
// one. The design note is docs/decisions/007-request-record.md.
package requestrecord
