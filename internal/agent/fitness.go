package agent

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Defaults of FitnessConfig.
const (
	DefaultConsecutiveFailures = 10
	DefaultFailureSpan         = 250 * time.Millisecond
	DefaultStalledRequests     = 3
	DefaultStallFactor         = 8
	DefaultStallMinimum        = time.Second
	DefaultStallMaximum        = 10 * time.Second
	DefaultBackoffInitial      = 2 * time.Second
	DefaultBackoffMaximum      = time.Minute
	// sameSourceFactor multiplies ConsecutiveFailures if all failures were on
	// one shard or of one caller: the fault may be in these requests, and would
	// move with them to the next owner.
	sameSourceFactor = 10
	// A missed deadline counts as a failure only after a wait of timeoutFactor
	// times the average answer time and of at least timeoutMinimum.
	timeoutFactor  = 2
	timeoutMinimum = 50 * time.Millisecond
	// averageWeight is the weight of a new sample in the exponential moving
	// average of answer times.
	averageWeight = 0.1
)

// FitnessConfig configures when a back end counts as failed by the results of
// its requests. Zero fields take the defaults.
type FitnessConfig struct {
	// A back end has failed after ConsecutiveFailures failures without a
	// success between them, over at least FailureSpan.
	ConsecutiveFailures int
	FailureSpan         time.Duration
	// It has also failed if at least StalledRequests look-ups wait and none was
	// answered for StallFactor times the average answer time, kept between
	// StallMinimum and StallMaximum.
	StalledRequests int
	StallFactor     int
	StallMinimum    time.Duration
	StallMaximum    time.Duration
	// BackoffInitial is how long the agent goes without a lease after the first
	// failure. It doubles with each further failure up to BackoffMaximum, and
	// is reset after twice BackoffMaximum without one.
	BackoffInitial time.Duration
	BackoffMaximum time.Duration
}

func (config FitnessConfig) withDefaults() FitnessConfig {
	setDefault(&config.ConsecutiveFailures, DefaultConsecutiveFailures)
	setDefault(&config.FailureSpan, DefaultFailureSpan)
	setDefault(&config.StalledRequests, DefaultStalledRequests)
	setDefault(&config.StallFactor, DefaultStallFactor)
	setDefault(&config.StallMinimum, DefaultStallMinimum)
	setDefault(&config.StallMaximum, DefaultStallMaximum)
	setDefault(&config.BackoffInitial, DefaultBackoffInitial)
	setDefault(&config.BackoffMaximum, DefaultBackoffMaximum)
	return config
}

// fitness decides from the results of requests whether the back end has failed.
// Its methods are safe for concurrent use.
type fitness struct {
	config FitnessConfig

	mutex        sync.Mutex
	failures     int
	firstFailure time.Duration
	// first is the source of the first failure. otherShard and otherCaller are
	// set once there were failures on another shard and of another caller.
	first                   failureSource
	otherShard, otherCaller bool
	// waiting is the number of look-ups that wait for an answer,
	// unansweredSince the time from which none was answered.
	waiting         int
	unansweredSince time.Duration
	averageAnswer   time.Duration
	counts          fitnessCounts
}

// failureSource identifies whose request failed.
type failureSource struct {
	shard  topology.ShardID
	caller string
}

// fitnessCounts counts results since the last report.
type fitnessCounts struct{ completed, failed uint32 }

func newFitness(config FitnessConfig) *fitness {
	return &fitness{config: config}
}

// lookupSent records that a look-up waits for its answer.
func (fitness *fitness) lookupSent(now time.Duration) {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	if fitness.waiting == 0 {
		fitness.unansweredSince = now
	}
	fitness.waiting++
}

// lookupDone records that a look-up no longer waits, for whatever reason.
func (fitness *fitness) lookupDone() {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.waiting--
}

// succeeded records a complete answer that is not a server error.
func (fitness *fitness) succeeded(now, took time.Duration) {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.failures = 0
	fitness.unansweredSince = now
	fitness.counts.completed++
	change := averageWeight * float64(took-fitness.averageAnswer)
	fitness.averageAnswer += time.Duration(change)
}

// failed records a server error, a truncated or missing answer, or that
// the back end shed a request although no more than its slots were in use.
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

// timedOut records that an answer did not arrive before the deadline. It
// is no failure if an ordinary answer would have missed the deadline too.
func (fitness *fitness) timedOut(now, waited time.Duration, source failureSource) {
	fitness.mutex.Lock()
	countsAsFailure := waited >= max(timeoutFactor*fitness.averageAnswer, timeoutMinimum)
	fitness.mutex.Unlock()
	if countsAsFailure {
		fitness.failed(now, source)
	}
}

// reset forgets failures when the agent returns after a backoff.
func (fitness *fitness) reset(now time.Duration) {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.failures = 0
	fitness.unansweredSince = now
}

// hasFailures reports whether requests failed since the last takeCounts.
func (fitness *fitness) hasFailures() bool {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	return fitness.counts.failed > 0
}

// takeCounts returns the counts and resets them.
func (fitness *fitness) takeCounts() fitnessCounts {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	counts := fitness.counts
	fitness.counts = fitnessCounts{}
	return counts
}

// failureReason returns why the back end counts as failed, or "" if it does
// not.
func (fitness *fitness) failureReason(now time.Duration) string {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	needed := fitness.config.ConsecutiveFailures
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

// stalled reports whether look-ups wait and none has been answered for the
// stall limit. The caller holds the mutex.
func (fitness *fitness) stalled(now time.Duration) bool {
	return fitness.waiting >= fitness.config.StalledRequests &&
		now-fitness.unansweredSince >= fitness.stallLimit()
}

// countWaitingAsFailed counts the look-ups that still wait as failed: a back
// end that accepts requests and never answers must not look idle to the
// controller.
func (fitness *fitness) countWaitingAsFailed() {
	fitness.mutex.Lock()
	defer fitness.mutex.Unlock()
	fitness.counts.failed += uint32(fitness.waiting)
}

func (fitness *fitness) stallLimit() time.Duration {
	limit := time.Duration(fitness.config.StallFactor) * fitness.averageAnswer
	return min(max(limit, fitness.config.StallMinimum), fitness.config.StallMaximum)
}

// backoff computes how long the agent goes without a lease after the back end
// failed.
type backoff struct {
	config      FitnessConfig
	nextDelay   time.Duration
	lastFailure time.Duration
	until       time.Duration
}

// start begins a backoff and doubles the next one.
func (b *backoff) start(now time.Duration) {
	if b.nextDelay == 0 || now-b.lastFailure > 2*b.config.BackoffMaximum {
		b.nextDelay = b.config.BackoffInitial
	}
	b.lastFailure = now
	b.until = now + b.nextDelay
	b.nextDelay = min(2*b.nextDelay, b.config.BackoffMaximum)
}
