// Package requestrecord keeps, for each shard that an agent owns, which
// non-repeatable requests it let through to its back end, so that each runs at
// most once however often callers and routers send it.
//
// An id is admitted by an entry that is synced to the journal before the
// request leaves for the back end. From then on the same id is answered from
// the entry: with the kept answer, or that it is running, or that its outcome
// is not known. Only proof that the back end did not run it (Abandon) makes
// the id free again.
//
// Ledger holds the rules, free of clock, goroutine and I/O, so that a simulator
// can drive one for each emulated agent. Record is a Ledger with a journal.
//
// # Completeness
//
// A record is a set of entries and a floor, a time. The invariant is: every id
// whose time stamp is not below the floor and that any owner of the shard ever
// admitted has an entry. An id without an entry is therefore new when its
// stamp is at or above the floor; below the floor it may have run, and is
// refused with RecordLost.
//
// The record is exact for the epoch it was kept under. An agent that begins to
// serve at the next epoch continues a record that it kept itself or was sent
// by the previous owner, floor and all: no owner can have been in between.
// Otherwise the record of the previous owners is lost, and the floor becomes
// the agent's wall clock plus ClockBound. That keeps the invariant because
//
//   - an owner admits an id only once its own wall clock has reached the id's
//     stamp, waiting out stamps that lie ahead (at most ClockBound, beyond which
//     they are refused), so stamp <= clock of the previous owner at admission;
//   - the previous owner's last admission came before this moment, because its
//     lease had ended or its fence is refused by now;
//   - any two owners' clocks differ by at most ClockBound. This is assumed, and
//     the only assumption about clocks that this package makes.
//
// Dropping an entry, by age or count, raises the floor above its stamp.
//
// A record is sent on only after the owner has promised, in its journal, never
// again to admit at that epoch, so what was sent is final whether or not the
// sender survives. A transfer that breaks off is not taken; the new owner then
// serves with a raised floor. A transfer that is complete but arrives after the
// new owner has begun still holds true facts: its entries are added, and the
// floor falls back to the transferred one. The design note is
// docs/decisions/007-request-record.md.
package requestrecord
