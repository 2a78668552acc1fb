package agent

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Defaults of FitnessConfig.
const (
	DefaultFailuresInARow = 10
	DefaultFailureSpan    = 250 * time.Millisecond
	DefaultStalledAtLeast = 3
	DefaultStallFactor    = 8
	DefaultStallMinimum   = time.Second
	DefaultStallMaximum   = 10 * time.Second
	DefaultRestFirst      = 2 * time.Second
	DefaultRestLimit      = time.Minute
	// sameSourceFactor multiplies FailuresInARow where all failures were on one
	// shard or of one caller: the fault may be in these requests, and would
	// follow them to the next owner.
	sameSourceFactor = 10
	// patienceFactor times the average answer time, and patienceMinimum, must
	// have been waited for a missed deadline to count as a failure.
	patienceFactor  = 2
	patienceMinimum = 50 * time.Millisecond
	// averageWeight is the weight of a new sample in the moving average of
	// answer times.
	averageWeight = 0.1
)

// FitnessConfig says when a back end counts as failed by what its real
// requests do. Zero fields take the defaults.
type FitnessConfig struct {
	// FailuresInARow and FailureSpan: so many failures without a success
	// between them, over at least the span.
	FailuresInARow int
	FailureSpan    time.Duration
	// StalledAtLeast look-ups wait and none was answered for StallFactor times
	// the average answer time, kept between StallMinimum and StallMaximum.
	StalledAtLeast int
	StallFactor    int
	StallMinimum   time.Duration
	StallMaximum   time.Duration
	// RestFirst is how long the agent stays away after the first failure; it
	// doubles with each relapse up to RestLimit, and starts anew after RestLimit
	// without one.
	RestFirst time.Duration
	RestLimit time.Duration
}

func (config FitnessConfig) withDefaults() FitnessConfig {
	setDefault(&config.FailuresInARow, DefaultFailuresInARow)
	setDefault(&config.FailureSpan, DefaultFailureSpan)
	setDefault(&config.StalledAtLeast, DefaultStalledAtLeast)
	setDefault(&config.StallFactor, DefaultStallFactor)
	setDefault(&config.StallMinimum, DefaultStallMinimum)
	setDefault(&config.StallMaximum, DefaultStallMaximum)
	setDefault(&config.RestFirst, DefaultRestFirst)
	setDefault(&config.RestLimit, DefaultRestLimit)
	return config
}

// fitness judges the back end. Requests report to it from any goroutine.
type fitness struct {
	config FitnessConfig

	mutex        sync.Mutex
	failures     int
	firstFailure time.Duration
	// first had the first failure; otherShard and otherCaller say that another
	// shard and another caller had one too.
	first                   failureSource
	otherShard, otherCaller bool
	// waiting look-ups, and since when none of them was answered.
	waiting       int
	quietSince    time.Duration
	averageAnswer time.Duration
	counts        fitnessCounts
}

// failureSource is whose request failed.
type failureSource struct {
	shard  topology.ShardID
	caller string
}

// fitnessCounts are totals since the last report.
type fitnessCounts struct{ completed, failed uint32 }

func newFitness(config FitnessConfig) *fitness {
	return &fitness{config: config}
}

// sent notes that a look-up waits for its answer.
func (fitness *fitness) sent(now time.Duration) {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	if fitness.waiting == 0 {
		fitness.quietSince = now
	}
	fitness.waiting++
}

// settled notes that a look-up waits no more, for whatever reason.
func (fitness *fitness) settled() {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.waiting--
}

// succeeded notes a whole answer that is no server error.
func (fitness *fitness) succeeded(now, took time.Duration) {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.failures = 0
	fitness.quietSince = now
	fitness.counts.completed++
	change := averageWeight * float64(took-fitness.averageAnswer)
	fitness.averageAnswer += time.Duration(change)
}

// failed notes a server error, a broken or missing answer, or that the back end
// shed a request although it was asked for no more than its slots.
func (fitness *fitness) failed(now time.Duration, source failureSource) {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	if fitness.failures == 0 {
		fitness.firstFailure = now
		fitness.first = source
		fitness.otherShard, fitness.otherCaller = false, false
	}
	fitness.otherShard = fitness.otherShard || source.shard != fitness.first.shard
	fitness.otherCaller = fitness.otherCaller || source.caller != fitness.first.caller
	fitness.failures++
	fitness.counts.failed++
}

// timedOut notes an answer that did not come before the deadline. Deadlines
// that ordinary answers would not have met either are no failure.
func (fitness *fitness) timedOut(now, waited time.Duration, source failureSource) {
	fitness.mutex.Lock()
	patient := waited >= max(patienceFactor*fitness.averageAnswer, patienceMinimum)
	fitness.mutex.Unlock()
	if patient {
		fitness.failed(now, source)
	}
}

// reset forgets failures when the agent returns after a rest.
func (fitness *fitness) reset(now time.Duration) {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.failures = 0
	fitness.quietSince = now
}

// hasFailures reports whether requests failed since the last takeCounts.
func (fitness *fitness) hasFailures() bool {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	return fitness.counts.failed > 0
}

// takeCounts returns and resets the totals.
func (fitness *fitness) takeCounts() fitnessCounts {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	counts := fitness.counts
	fitness.counts = fitnessCounts{}
	return counts
}

// verdict returns why the back end counts as failed, or "".
func (fitness *fitness) verdict(now time.Duration) string {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	needed := fitness.config.FailuresInARow
	if !fitness.otherShard || !fitness.otherCaller {
		needed *= sameSourceFactor
	}
	failing := fitness.failures >= needed &&
		now-fitness.firstFailure >= fitness.config.FailureSpan
	if failing {
		return "requests fail"
	}
	if fitness.stalled(now) {
		return "requests are not answered"
	}
	return ""
}

// stalled says that look-ups wait and none is answered. The caller holds the
// mutex.
func (fitness *fitness) stalled(now time.Duration) bool {
	return fitness.waiting >= fitness.config.StalledAtLeast &&
		now-fitness.quietSince >= fitness.stallLimit()
}

// giveUp counts the look-ups that still wait as failed: a back end that
// swallows requests must not look idle to the controller.
func (fitness *fitness) giveUp() {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.counts.failed += uint32(fitness.waiting)
}

func (fitness *fitness) stallLimit() time.Duration {
	limit := time.Duration(fitness.config.StallFactor) * fitness.averageAnswer
	return min(max(limit, fitness.config.StallMinimum), fitness.config.StallMaximum)
}

// rest is how long the agent stays away, growing with each relapse.
type rest struct {
	config   FitnessConfig
	next     time.Duration
	lastFail time.Duration
	until    time.Duration
}

// begin starts a rest.
func (rest *rest) begin(now time.Duration) {
	if rest.next == 0 || now-rest.lastFail > 2*rest.config.RestLimit {
		rest.next = rest.config.RestFirst
	}
	rest.lastFail = now
	rest.until = now + rest.next
	rest.next = min(2*rest.next, rest.config.RestLimit)
}
