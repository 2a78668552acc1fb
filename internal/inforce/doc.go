// Package inforce works out how far a change has come: how old a controller's
// own knowledge is (Freshness), which router or agent has which revision in
// force, and when a revision is in force everywhere (Tracker). It is pure: time
// is an argument, a reading of the controller's own monotonic clock.
//
// # In force everywhere
//
// A revision is in force everywhere when no process serves by an older one.
// The leader says so as soon as it knows, which is at the earlier of these:
//
//   - Every subscriber of every controller has confirmed it, or was silent for
//     wire.StopRelyingAfter. All controllers must have reported just now, and
//     each must have run for RelyingBound: one that has just started does not
//     know the subscribers that it served before. The leader must have led for
//     RelyingBound: a new one does not know the subscribers of a controller
//     that was lost and removed.
//   - RelyingBound has passed since it was committed, and every agent that has a
//     session with the leader, or had one just now, has confirmed it. A router
//     without it has no proof of freshness from a later moment than the commit,
//     and without one it stops serving; an agent without a session has no lease
//     any more. One that renews its lease but confirms nothing loses that after
//     a while (see internal/coordinator).
package inforce
