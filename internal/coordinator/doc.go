// Package coordinator makes the leader's decisions: which leases are renewed,
// which back ends take over the shards of a lost one, and how planned moves
// proceed. It does no input or output: its inputs are events and clock readings,
// its outputs are batches of ownership changes, which the caller proposes to the
// replicated log.
//
// At most one batch is in flight. A batch revokes a back end where it takes
// shards from it that the back end has not released. Until such a batch is
// applied, the lease of the revoked back end is not renewed; afterwards it is
// renewed only to a holder that has applied the batch's revision (see
// internal/ownership).
//
// A planned move goes through these steps: begin_move (the target's agent warms
// up its back end), Warmed, release (the owner's agent stops admission, finishes
// running requests and sends the record of request ids), Released,
// complete_move. It is cancelled if the target is lost or a timeout expires.
package coordinator
