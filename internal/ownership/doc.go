// Package ownership decides which back end may serve a shard. It implements both
// sides of a lease: LeaseTable at the leading controller (the grantor) and
// Holder at the agent of a back end. No function reads a clock: the time is
// passed as a reading of the caller's own monotonic clock.
//
// # Why no key has two owners
//
// A back end may serve a shard at an epoch while three things hold: its lease
// is valid, its routing data name it as the owner at that epoch, and it has not
// released the shard. The control state gives a shard to another back end, at a
// higher epoch, only after one of these:
//
//   - The owner released it (wire.Released): it never serves at its epoch again.
//   - The owner's lease ended at the grantor. At the holder it ended earlier: the
//     holder counts from when it sent its renewal, which is before the grantor
//     received it, and shortens the lease by the bound of clock drift (Gray and
//     Cheriton, "Leases", SOSP 1989).
//
// A lease covers a back end and not its shards, so a back end that lost a shard
// must learn of the loss before it renews. The grantor refuses a renewal while
// the holder's confirmed revision is older than the revision at which a shard
// was last taken from it, and while such a change is being replicated through
// the log.
//
// A new leader does not know which leases earlier leaders granted. They granted
// none after their leader leases ended, which was before the election, and the
// voters know by when (consensus.Status.EarlierLeasesEnd). No lease counts as
// expired until the longest lease duration that any leader announced has passed
// since then. Until then a process that has just started gets no lease either,
// because an earlier process of its back end may still hold one.
//
// Back ends refuse epochs lower than the highest they have seen, so that a
// delayed request does no harm (fencing).
package ownership
