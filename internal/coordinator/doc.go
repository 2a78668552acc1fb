// Package coordinator makes the leader's decisions: whose lease is renewed, who
// recovers the shards of a lost back end, and how planned moves go on. It is
// pure: events and readings of the clock go in, batches of ownership changes
// come out, and the caller puts them through the log.
//
// At most one batch is in flight. While a batch that takes shards from a back
// end without its promise is on its way through the log, that back end's lease
// is not renewed; afterwards it is renewed only to a holder that has the
// batch's revision in force (see internal/ownership).
//
// A planned move goes: begin_move (the target's agent warms its back end),
// Warmed, release (the owner's agent stops admission, ends running work and
// sends the record of request ids), Released, complete_move. It is given up
// where the target is lost or a limit of time is exceeded.
package coordinator
