// Package placement decides which back end owns which shard. It is the only
// place where an owner is chosen.
//
// [Decide] is a pure function: observed load, membership and policy go in, an
// ordered list of moves with the reason for each comes out. Equal input gives
// equal output; nothing is kept between calls. [Evaluate] also returns
// findings for the operator, such as a key that outgrows a back end.
//
// Each service is decided alone, in five steps:
//
//  1. Shards without an owner, or whose owner is lost beyond its grace, are
//     assigned at once: they cannot be served until then. Largest load first,
//     each to the least utilised back end (the LPT rule, Graham 1969).
//  2. Shards of back ends that drain are handed over, within the limit on
//     moves at once.
//  3. Shards move from the most to the least utilised back end by benefit per
//     cost until the imbalance falls under the stop threshold. Benefit is the
//     decrease of the sum of squared deviations from the mean utilisation.
//     Cost is the service's weights applied to the keys moved and to the
//     expected pause. Nothing starts below the start threshold (hysteresis).
//  4. Where whole shards are too coarse, the hottest are split, around the
//     reported hot keys if there are any.
//  5. Cold neighbours with the same owner are merged back.
//
// Load is in slots: the average number of busy slots of a back end, that is,
// slot-seconds per second. Utilisation is load over slots.
package placement
