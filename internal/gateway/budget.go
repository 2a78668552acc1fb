package gateway

import (
	"sync"

	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// budgetParts divides the window of a retry budget.
	budgetParts = 20
	// ownShare of the ratio is what one gateway uses: other gateways' requests
	// may repeat too, and calls of repeated runs count as repeats.
	ownShare = 0.4
	// ownSlack is how many repeats a gateway may make in a window beside, at most:
	// all gateways together make slackShare of the fleet's slack, whatever their
	// number. The rest is for gateways that know fewer others, and for the calls of
	// repeated runs.
	ownSlack   = 1.5
	slackShare = 0.6
)

// budgetCounts are what one part of the window has.
type budgetCounts struct{ requests, repeats float64 }

// serviceBudget counts one service's requests and repeats in a sliding window.
type serviceBudget struct {
	parts [budgetParts]budgetCounts
	// last is the number of the latest part.
	last int64
}

// retryBudgets bounds the repeats of this gateway, by service.
type retryBudgets struct {
	config    RetryBudget
	began     steady.Instant
	mutex     sync.Mutex
	byService map[string]*serviceBudget
}

func newRetryBudgets(config RetryBudget) *retryBudgets {
	return &retryBudgets{config: config, began: steady.Now(), byService: map[string]*serviceBudget{}}
}

// request counts a request of a caller.
func (b *retryBudgets) request(service string, now steady.Instant) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.part(service, now).requests++
}

// repeat counts a repeat and reports true, or refuses it. The slack is shared with
// all gateways, of which a number is known.
func (b *retryBudgets) repeat(service string, gateways int, now steady.Instant) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	part := b.part(service, now)
	var sum budgetCounts
	for _, counts := range b.byService[service].parts {
		sum.requests += counts.requests
		sum.repeats += counts.repeats
	}
	slack := min(ownSlack, b.config.Slack*slackShare/float64(max(gateways, 1)))
	if sum.repeats+1 > sum.requests*b.config.Ratio*ownShare+slack {
		return false
	}
	part.repeats++
	return true
}

// part returns the counts of the present part and empties those that are over.
func (b *retryBudgets) part(service string, now steady.Instant) *budgetCounts {
	budget, ok := b.byService[service]
	if !ok {
		budget = &serviceBudget{}
		b.byService[service] = budget
	}
	present := int64(now.Sub(b.began) / (b.config.Window / budgetParts))
	for budget.last < present {
		budget.last = max(budget.last, present-budgetParts) + 1
		budget.parts[budget.last%budgetParts] = budgetCounts{}
	}
	return &budget.parts[present%budgetParts]
}
