// Package routing provides the routing table, which maps a key's position in
// the hash space to its shard and the back end that owns the shard, at one
// revision of the control state.
//
// A Table is immutable, so any goroutine may read it without a lock; the
// process publishes the newest one in an atomic.Pointer. Apply builds the next
// table from a delta and copies only what the delta changes (copy-on-write with
// structural sharing, as in Driscoll et al., "Making Data Structures
// Persistent", 1989).
//
// # Layout
//
// The shards of a service are ordered by the start of their range. Three
// arrays describe them:
//
//   - starts: the first position of each shard,
//   - index: for each value of the leading bits of a position, the first shard
//     that can hold such a position (a radix index over starts),
//   - pages: the shards themselves, pageSize to a page.
//
// A lookup reads one entry of index, searches the few starts between two
// entries and reads one shard. A change of owner, phase or epoch copies the
// page of the shard and the list of pages; starts and index are shared between
// all tables until a split or a merge changes the ranges.
//
// The package uses no clock, goroutine or I/O.
package routing
