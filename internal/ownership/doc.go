// Package ownership decides who may serve a shard. It has both sides of a
// lease: LeaseTable at the controller that leads (the grantor) and Holder at
// the agent beside a back end. Nothing here reads a clock: time is an argument,
// a reading of the caller's own monotonic clock.
//
// # Why no key has two owners
//
// A back end may serve a shard at an epoch while three things hold: its lease
// is valid, its routing data name it as the owner at that epoch, and it has not
// promised to stop. The control state gives a shard to another back end, at a
// higher epoch, only after one of these:
//
//   - The owner promised (wire.Released) never to serve at its epoch again.
//   - The owner's lease ended at the grantor. The holder's ended earlier: it
//     counts from when it sent its renewal, which is before the grantor received
//     it, and stops early by the bound of clock drift (Gray and Cheriton,
//     "Leases", SOSP 1989).
//
// A lease is per back end and says nothing of shards, so a back end that lost a
// shard and then renews must know of the loss first. The grantor refuses a
// renewal while the holder's confirmed revision is older than the revision at
// which a shard was last taken from it, and while such a change is on its way
// through the log.
//
// A new leader does not know which leases its predecessors granted. They granted
// none after their leader leases ended, which was before the election, and the
// voters know by when (consensus.Status.EarlierLeasesEnd). Nothing counts as
// expired until the longest lease duration that any leader announced has passed
// since then. Until then a process that has just started gets no lease either:
// an earlier process of its back end may still hold one.
//
// Back ends refuse epochs lower than the highest they have seen, so that a
// request which was held up anywhere does no harm later (fencing).
package ownership
