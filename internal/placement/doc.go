// Package placement decides which back end owns which shard. Owners are chosen
// nowhere else.
//
// [Decide] is a pure function of the observed load, the membership and the
// policy. It returns an ordered list of moves with the reason for each. Equal
// input gives equal output; no state is kept between calls. [Evaluate] also
// returns findings for the operator, such as a key with more load than a back
// end can serve.
//
// Each service is decided independently, in five steps:
//
//  1. Shards without an owner, or whose owner is lost and its restart grace
//     period over, are assigned at once, as they are unavailable until then.
//     Shards are taken by decreasing load, each to the least utilised back end
//     (the LPT rule, Graham 1969).
//  2. Shards of back ends that are being drained are handed over, within the
//     limit on concurrent moves.
//  3. Shards move from the most to the least utilised back end, in order of
//     benefit per cost, until the imbalance falls below the stop threshold.
//     Benefit is the decrease of the sum of squared deviations from the mean
//     utilisation. Cost is the service's weights applied to the keys moved and
//     to the expected pause. No move begins below the start threshold
//     (hysteresis).
//  4. Where whole shards are too coarse to balance with, the hottest are split,
//     around the reported hot keys if there are any.
//  5. Cold neighbours with the same owner are merged again.
//
// Load is measured in slots: the average number of busy slots of a back end,
// that is, slot-seconds per second. Utilisation is load divided by slots.
package placement
