package admission

import (
	"math"
	"time"
)

// RetryBudget limits retries to a share of the traffic, so that retries do not
// amplify an overload. Each first attempt earns Share of a retry; at most Burst
// retries accumulate. The zero value allows none.
type RetryBudget struct {
	// Share is the fraction of first attempts that may be retried, for example 0.1.
	Share float64
	// Burst is the number of retries that can accumulate.
	Burst float64
	saved float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget(share, burst float64) *RetryBudget {
	return &RetryBudget{Share: share, Burst: burst, saved: burst}
}

// Earn counts a first attempt.
func (b *RetryBudget) Earn() {
	b.saved = math.Min(b.saved+b.Share, b.Burst)
}

// Spend takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Backoff computes the wait before a retry, with full jitter: uniform between
// zero and an exponentially growing bound (Brooker, "Exponential Backoff and
// Jitter", 2015).
type Backoff struct {
	// Initial bounds the wait before the first retry.
	Initial time.Duration
	// Maximum bounds every wait.
	Maximum time.Duration
}

// Wait returns the wait before the given retry, counted from 0. The argument
// random is drawn uniformly from [0, 1).
func (b Backoff) Wait(retry int, random float64) time.Duration {
	bound := math.Min(float64(b.Initial)*math.Exp2(float64(retry)), float64(b.Maximum))
	return time.Duration(random * bound)
}
