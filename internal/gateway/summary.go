package gateway

import (
	"context"
	"sync/atomic"
	"time"
)

// summaryInterval is how often a gateway logs a summary of its attempts.
const summaryInterval = time.Second

// attemptCounters counts attempts at the local back end since the last summary.
type attemptCounters struct {
	answered, failed, refusedByGateway, refusedByBackend, unknown atomic.Int64
	// waitMicros and runMicros are the total times for which attempts waited for a slot and
	// used it.
	waitMicros, runMicros atomic.Int64
}

// record counts the result of an attempt.
func (t *attemptCounters) record(result *forwardResult, waited, used time.Duration) {
	t.waitMicros.Add(waited.Microseconds())
	t.runMicros.Add(used.Microseconds())
	switch {
	case result.Outcome == outcomeAnswered && result.Status < 500:
		t.answered.Add(1)
	case result.Outcome == outcomeAnswered:
		t.failed.Add(1)
	case result.Outcome == outcomeUnknown:
		t.unknown.Add(1)
	case result.Sent:
		t.refusedByBackend.Add(1)
	default:
		t.refusedByGateway.Add(1)
	}
}

// summarize logs a summary for each interval with at least one attempt.
func (g *Gateway) summarize(ctx context.Context) {
	runEvery(ctx, summaryInterval, g.writeSummary)
}

func (g *Gateway) writeSummary() {
	t := &g.attemptCounters
	answered, failed, unknown := t.answered.Swap(0), t.failed.Swap(0), t.unknown.Swap(0)
	refusedByGateway, refusedByBackend := t.refusedByGateway.Swap(0), t.refusedByBackend.Swap(0)
	waited, used := t.waitMicros.Swap(0), t.runMicros.Swap(0)
	ran := answered + failed + unknown
	if ran+refusedByGateway+refusedByBackend == 0 {
		return
	}
	load := g.slots.load()
	const microsPerMilli = 1000
	g.config.Log.Info("back end in the last second", "service", g.config.Service, "answered", answered, "failed", failed,
		"unknown", unknown, "refused_here", refusedByGateway, "refused_there", refusedByBackend,
		"wait_ms", waited/max(ran+refusedByGateway+refusedByBackend, 1)/microsPerMilli, "run_ms", used/max(ran, 1)/microsPerMilli,
		"running", load.running, "waiting", load.waiting, "slots", load.slots,
		"rate_limit", g.rateLimitGauge(), "long_ms", load.serviceTime.Milliseconds(), "short_ms", load.shortServiceTime.Milliseconds())
}
