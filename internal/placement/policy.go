package placement

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Defaults of a service's placement policy, used where a field is zero.
const (
	DefaultMinimumResidence = 10 * time.Second
	DefaultMovesPerMinute   = 120
	// DefaultMovesPerBackend times the number of back ends is the default limit on
	// moves per minute if that is more than DefaultMovesPerMinute.
	DefaultMovesPerBackend = 60
	DefaultMovesAtOnce     = 4
	DefaultRestartGrace    = 10 * time.Second
)

// Thresholds of load balancing. Imbalance is the greatest utilisation divided by
// the mean; relative utilisation is utilisation divided by the mean.
const (
	// startImbalance is the imbalance above which load moves begin.
	startImbalance = 1.08
	// stopImbalance is the imbalance at which load moves stop.
	stopImbalance = 1.03
	// minimumGain is the least decrease of the greater relative utilisation of
	// source and destination that justifies a move.
	minimumGain = 0.01
	// minimumScore is the least decrease of the relative variance of utilisation,
	// per weighted share of the keys moved, that justifies a move.
	minimumScore = 0.06
	// overloadThreshold is the relative utilisation of the source from which any
	// move with the minimum gain is justified, whatever its score.
	overloadThreshold = 1.20
	// nearTolerance is the difference in relative utilisation within which
	// destinations count as equal, so that the one in the near zone is preferred.
	nearTolerance = 0.05
	// maximumFailureShare is the share of failed requests above which a back end
	// is no destination for moves.
	maximumFailureShare = 0.5
	// announcedShiftLead is how long before the start of an announced load shift
	// its load is taken into account.
	announcedShiftLead = 5 * time.Second
	// churnBreakEven is how long the whole service would have to be unavailable
	// to cost as much as moving all its keys once, at equal weights.
	churnBreakEven = 5 * time.Second
	// pauseWeight is the cost of the pause of one handover at equal weights, as a
	// multiple of the cost of moving the keys of an average shard.
	pauseWeight = 0.25
	// loadSettleTime is how long a shard is not moved for its load after a change
	// of the load was noticed: until then the load is underestimated or
	// overestimated.
	loadSettleTime = 1500 * time.Millisecond
	// emptyThreshold is the relative utilisation under which a back end counts as
	// almost empty.
	emptyThreshold = 0.5
	// joinSettleTime is how long load moves wait after a back end joined, so that
	// joins at about the same time are balanced together.
	joinSettleTime = 300 * time.Millisecond
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

// EffectiveGrace returns the restart grace period: how long the shards of a back
// end that announced a restart wait for its return. It is the time after which
// being unavailable has cost as much as moving the keys (the break-even rule of
// the ski rental problem, Karlin et al. 1988), but at most the policy's
// RestartGrace.
func EffectiveGrace(policy topology.PlacementPolicy) time.Duration {
	policy = WithDefaults(policy)
	if policy.Weights.Unavailable <= 0 {
		return policy.RestartGrace
	}
	ratio := policy.Weights.Churn / policy.Weights.Unavailable
	breakEven := time.Duration(float64(churnBreakEven) * ratio)
	return min(breakEven, policy.RestartGrace)
}

// WaitsForRestart reports whether the shards of a back end that announced a
// restart wait for its return. Otherwise they are moved away first, because
// waiting would cost more than moving the keys; its agent then stops once the
// back end owns no shards.
func WaitsForRestart(policy topology.PlacementPolicy) bool {
	return EffectiveGrace(policy) >= expectedRestartTime
}

// expectedRestartTime is how long a planned restart is expected to take.
const expectedRestartTime = 2 * time.Second
