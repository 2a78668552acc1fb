package gateway

import (
	"math/rand/v2"
	"sync"

	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// budgetBuckets is the number of buckets in the sliding window of a retry budget.
	budgetBuckets = 20
	// gatewayRatioFraction is the fraction of the configured ratio that one gateway uses. The rest
	// covers retries by other gateways and the calls that retried requests make, which count
	// as retries too.
	gatewayRatioFraction = 0.4
	// maxGatewaySlack is the most retries that a gateway may make in a window in addition to the
	// ratio. All gateways together use fleetSlackFraction of the fleet's slack, whatever their
	// number. The rest is for gateways that know of fewer others and for the calls that
	// retried requests make.
	maxGatewaySlack    = 1.5
	fleetSlackFraction = 0.6
	// rerunFraction is the fraction of a gateway's retries that may be reruns. Each call that a
	// rerun makes again counts as a retry at the called service. If gatewayRatioFraction
	// of that service's ratio is used by its own retries, the rest covers calls of reruns as long
	// as the runs of other services make up to (1-gatewayRatioFraction)/(gatewayRatioFraction x
	// rerunFraction) = 3 calls for each request of the called service.
	rerunFraction = 0.5
)

// retryKind says whether an earlier attempt of the request may have run.
type retryKind uint8

const (
	// resend follows attempts that have not run.
	resend retryKind = iota
	// rerun follows an attempt that has run or may have run, so that its calls to other
	// services are made again.
	rerun
)

// bucketCounts are the counts of one bucket of the window. Reruns are among the retries.
type bucketCounts struct{ requests, retries, reruns float64 }

// serviceBudget counts one service's requests and retries in a sliding window.
type serviceBudget struct {
	buckets [budgetBuckets]bucketCounts
	// lastBucket is the number of the latest bucket; its index in buckets is that number
	// modulo budgetBuckets.
	lastBucket int64
	// roundUp are the fractions that are added to the allowed retries and reruns before they are
	// rounded down, drawn anew for each window.
	roundUp, roundUpReruns float64
}

// retryBudgets limits the retries of this gateway, by service.
type retryBudgets struct {
	config    RetryBudget
	began     steady.Instant
	mutex     sync.Mutex
	byService map[string]*serviceBudget
	// draw returns a uniform number in [0, 1). In a large fleet a gateway's part of a budget is
	// a few retries or less than one. Rounded up or down at random, the parts of all gateways
	// add up to the budget on average; always rounded down they waste most of it.
	draw func() float64
}

func newRetryBudgets(config RetryBudget) *retryBudgets {
	return &retryBudgets{config: config, began: steady.Now(), byService: map[string]*serviceBudget{}, draw: rand.Float64}
}

// countRequest counts a caller's request.
func (b *retryBudgets) countRequest(service string, now steady.Instant) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.currentBucket(service, now).requests++
}

// allowRetry reports whether a request may be retried, and counts the retry if so. The slack is
// shared among all gateways, whose number is given.
func (b *retryBudgets) allowRetry(service string, kind retryKind, gateways int, now steady.Instant) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	bucket := b.currentBucket(service, now)
	var sum bucketCounts
	for _, counts := range b.byService[service].buckets {
		sum.requests += counts.requests
		sum.retries += counts.retries
		sum.reruns += counts.reruns
	}
	slack := min(maxGatewaySlack, b.config.Slack*fleetSlackFraction/float64(max(gateways, 1)))
	allowed := sum.requests*b.config.Ratio*gatewayRatioFraction + slack
	budget := b.byService[service]
	if sum.retries+1 > allowed+budget.roundUp {
		return false
	}
	if kind == rerun {
		if sum.reruns+1 > allowed*rerunFraction+budget.roundUpReruns {
			return false
		}
		bucket.reruns++
	}
	bucket.retries++
	return true
}

// currentBucket returns the counts of the present bucket and clears the buckets that have
// left the window.
func (b *retryBudgets) currentBucket(service string, now steady.Instant) *bucketCounts {
	budget, ok := b.byService[service]
	if !ok {
		budget = &serviceBudget{roundUp: b.draw(), roundUpReruns: b.draw()}
		b.byService[service] = budget
	}
	present := int64(now.Sub(b.began) / (b.config.Window / budgetBuckets))
	for budget.lastBucket < present {
		budget.lastBucket = max(budget.lastBucket, present-budgetBuckets) + 1
		budget.buckets[budget.lastBucket%budgetBuckets] = bucketCounts{}
		if budget.lastBucket%budgetBuckets == 0 {
			budget.roundUp, budget.roundUpReruns = b.draw(), b.draw()
		}
	}
	return &budget.buckets[present%budgetBuckets]
}
