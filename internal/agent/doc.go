// Package agent implements the process that runs beside each back end. It holds
// the back end's lease, sends the back end fenced grants, and accepts requests
// from routers. It forwards a request only while the back end owns the
// request's shard, and bounds how many the back end processes at once.
//
// # Path of a request
//
// A request carries its shard and the epoch of the router's routing table. It is
// admitted while the lease is valid and the shard is owned at that epoch
// (ownership.Holder), waits for one of the back end's slots (admission), is
// sent once (upstream), and its answer is released to the router only if the
// shard is still owned. Otherwise the router gets the outcome "unknown". A
// non-repeatable request is looked up in the record of request ids before it
// waits (requestrecord).
//
// # Control
//
// One goroutine (controlLoop) makes the agent's decisions: which shards are
// served, what the back end is granted, how shards move, and whether the back
// end is fit. It publishes an immutable view for the goroutines that handle
// requests. A routing table takes effect in the holder at once, before it is
// confirmed to the controller; the control goroutine applies the rest later.
//
// # Grants
//
// The back end's grants end no later than the agent's lease. Their end is given
// as a reading of the back end's own clock, so that neither a suspended agent
// nor a suspended back end can extend it. A lease is released early only once
// the back end has confirmed that its grants ended, or they have expired.
//
// # Failing back ends
//
// The health and load endpoints are hints only. A back end counts as failed by
// the results of its requests: a series of failures without a success, or
// several waiting requests of which none is answered for a long time. The agent
// then releases its lease, so that the shards get another owner, and requests
// none during a backoff that doubles with each failure (backend.chart).
package agent
