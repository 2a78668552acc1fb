package placement

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Defaults of a service's placement policy, used where a field is zero.
const (
	DefaultMinimumResidence = 10 * time.Second
	DefaultMovesPerMinute   = 120
	// DefaultMovesPerBackend raises DefaultMovesPerMinute for services with many
	// back ends.
	DefaultMovesPerBackend = 60
	DefaultMovesAtOnce     = 4
	DefaultRestartGrace    = 10 * time.Second
)

// Thresholds of the load balance.
const (
	// startImbalance is the imbalance above which load moves begin.
	startImbalance = 1.08
	// stopImbalance is the imbalance at which they end.
	stopImbalance = 1.03
	// minimumGain is the least decrease, relative to the mean, of the greater
	// utilisation of its two ends that makes a move worth while.
	minimumGain = 0.01
	// minimumWorth is the least decrease of the relative variance of
	// utilisation per weighed share of the keys that makes a move worth while.
	minimumWorth = 0.06
	// intolerable is the relative utilisation from which any move that helps is
	// worth while.
	intolerable = 1.20
	// nearTolerance is the difference in relative utilisation within which
	// destinations count as equal, so that the nearer is preferred.
	nearTolerance = 0.05
	// maximumFailureShare excludes a back end as a destination.
	maximumFailureShare = 0.5
	// markLead is how long before a marked period its load is counted.
	markLead = 5 * time.Second
	// churnExchange is how long the whole service would have to be unavailable
	// to cost as much as moving all its keys once, at equal weights.
	churnExchange = 5 * time.Second
	// pauseWeight is how much one hand-over costs, in average shards moved, at
	// equal weights.
	pauseWeight = 0.25
	// loadSettle is how long a shard stays where it is after a change of its
	// load was noticed: until then its load is underestimated or overestimated.
	loadSettle = 1500 * time.Millisecond
	// emptyShare is the utilisation, relative to the mean, under which a back
	// end counts as empty.
	emptyShare = 0.5
	// joinSettle is how long load moves wait after a back end joined, so that
	// joins at about the same time are handled as one.
	joinSettle = 300 * time.Millisecond
)

// WithDefaults returns the policy with zero fields replaced by defaults.
func WithDefaults(policy topology.PlacementPolicy) topology.PlacementPolicy {
	if policy.Weights == (topology.PlacementWeights{}) {
		policy.Weights = topology.PlacementWeights{Imbalance: 1, Churn: 1, Unavailable: 1}
	}
	if policy.MinimumResidence == 0 {
		policy.MinimumResidence = DefaultMinimumResidence
	}
	if policy.MovesPerMinute == 0 {
		policy.MovesPerMinute = DefaultMovesPerMinute
	}
	if policy.MovesAtOnce == 0 {
		policy.MovesAtOnce = DefaultMovesAtOnce
	}
	if policy.RestartGrace == 0 {
		policy.RestartGrace = DefaultRestartGrace
	}
	return policy
}

// EffectiveGrace returns how long the shards of a back end that announced a
// restart wait for it. It is the time at which the unavailable time weighs as
// much as moving the keys (the break-even rule of ski rental, Karlin et al.
// 1988), but never more than the policy's RestartGrace.
func EffectiveGrace(policy topology.PlacementPolicy) time.Duration {
	policy = WithDefaults(policy)
	if policy.Weights.Unavailable <= 0 {
		return policy.RestartGrace
	}
	ratio := policy.Weights.Churn / policy.Weights.Unavailable
	breakEven := time.Duration(float64(churnExchange) * ratio)
	return min(breakEven, policy.RestartGrace)
}

// WaitsForRestart says whether the shards of a back end that announced a
// restart wait for it. Otherwise it is emptied first, because waiting would cost
// more than moving its keys away; its agent then stops once it owns nothing.
func WaitsForRestart(policy topology.PlacementPolicy) bool {
	return EffectiveGrace(policy) >= assumedRestart
}

// assumedRestart is how long a planned restart is expected to take.
const assumedRestart = 2 * time.Second
