package overload

import "time"

// Under overload most arriving requests have been refused before: each refused caller retries,
// so that there are more attempts than callers. If requests were served in the order of
// arrival, the capacity of a back end would go to callers that are late already, and those that
// could have been in time would be refused, to retry when they are late as well: with two
// retries for each caller, two of three responses are late. A request's due time has to count
// from its caller's first attempt.
//
// HTTP has no field for that, but callers state how long they will wait. At its first
// attempt a caller states one of a few round times, those that its program is configured
// with; at a retry it states what is left of it, which is some odd number. So a stated time
// that is common on a route is that of a first attempt, and one that is not is the next
// longer common one less the time that has passed.

const (
	// trackedDeadlines is how many stated times are counted for each route: those of
	// several programs, and odd ones that displace each other.
	trackedDeadlines = 16
	// minCommonShare is the smallest share of a route's requests, and minCommonCount the
	// smallest number, that makes a stated time a common one. If callers retry three times
	// each, so that a quarter of the attempts are first ones, four programs can be
	// distinguished.
	minCommonShare = 0.05
	minCommonCount = 8
	// countWindow is the number of requests after which a route's counts are halved.
	countWindow = 1024
)

// RetryDetector estimates how long ago a caller made its first attempt, from the waiting times
// that the callers of the same route state. The zero value has no counts and treats each
// request as a first attempt.
type RetryDetector struct {
	// counts has the counts of the most frequent stated times (Misra and Gries, 1982).
	counts map[time.Duration]float64
	total  float64
}

// Age counts a request whose caller states how long it will wait, and returns how long ago
// the caller made its first attempt.
func (f *RetryDetector) Age(stated time.Duration) time.Duration {
	f.count(stated)
	if f.isCommon(stated) {
		return 0
	}
	var first time.Duration
	for known := range f.counts {
		if known > stated && f.isCommon(known) && (first == 0 || known < first) {
			first = known
		}
	}
	return max(first-stated, 0)
}

// isCommon reports whether a stated time is that of first attempts.
func (f *RetryDetector) isCommon(stated time.Duration) bool {
	count := f.counts[stated]
	return count >= minCommonCount && count >= minCommonShare*f.total
}

// count adds a stated time to the counts.
func (f *RetryDetector) count(stated time.Duration) {
	if f.counts == nil {
		f.counts = make(map[time.Duration]float64, trackedDeadlines)
	}
	f.total++
	if f.total >= countWindow {
		f.halve()
	}
	if _, known := f.counts[stated]; known || len(f.counts) < trackedDeadlines {
		f.counts[stated]++
		return
	}
	for known := range f.counts {
		f.counts[known]--
		if f.counts[known] <= 0 {
			delete(f.counts, known)
		}
	}
}

// halve halves all counts.
func (f *RetryDetector) halve() {
	const half = 0.5
	f.total *= half
	for known := range f.counts {
		f.counts[known] *= half
	}
}
