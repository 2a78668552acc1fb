// Package agent is the process beside each back end. It holds the back end's
// lease, gives the back end fenced grants, takes requests from routers, lets
// each run only while it owns the request's shard, and bounds what the back
// end is asked to do at once.
//
// # Path of a request
//
// A request carries its shard and the epoch by which the router routed. It is
// admitted while the lease is valid and the shard is owned at that epoch
// (ownership.Holder), waits for one of the back end's slots (admission), is
// sent once (upstream), and its answer is released only if the shard is still
// owned. An answer that outlived the lease becomes "unknown". A non-repeatable
// request passes the record of request ids before it waits
// (requestrecord).
//
// # Control
//
// One goroutine, control, owns the agent's decisions: which shards are served,
// what the back end is granted, moves, and whether the back end is fit. It
// publishes an immutable view for the goroutines that carry requests. Routing
// tables take effect in the holder at once, before they are confirmed to the
// controller; the control goroutine follows.
//
// # Grants
//
// The back end's grants end no later than the agent's lease. The end is stated
// as a reading of the back end's own clock, so that neither a frozen agent nor
// a frozen back end can prolong it. A lease is given up early only once the
// back end has confirmed that its grants ended, or they must have.
//
// # A back end that fails
//
// Health and load endpoints are hints. What counts is what real requests do:
// a run of failures without a success, or requests of which none is answered
// for long. The agent then gives up its lease, so that the shards find another
// owner, and stays away for a time that doubles with each relapse
// (backend.chart).
package agent
