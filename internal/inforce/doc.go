// Package inforce tracks the rollout of changes: how old a controller's own
// data is (Freshness), which router or agent has which revision in force, and
// when a revision is in force everywhere (Tracker). It does no I/O and reads no
// clock: time is an argument, a reading of the controller's own monotonic clock.
//
// # In force everywhere
//
// A revision is in force everywhere when no process uses an older one. The leader
// reports this at the earlier of these moments:
//
//   - Every subscriber of every controller has confirmed the revision, or was silent
//     for wire.MaxRoutingStaleness. All controllers must have reported recently, and
//     each must have run for MaxRelianceTime: one that has just started does not
//     know the subscribers that it served before. The leader must have led for
//     MaxRelianceTime: a new one does not know the subscribers of a controller
//     that was lost and removed.
//   - MaxRelianceTime has passed since the revision was committed, and every agent that
//     has a session with the leader, or had one recently, has confirmed it. A router
//     without the revision has no proof of freshness from after the commit, and stops
//     serving without one; an agent without a session no longer has a lease. An agent
//     that renews its lease but doesn't confirm the revision loses the lease after a
//     while (see internal/coordinator).
package inforce
