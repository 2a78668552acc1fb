package overload

import "time"

// Under overload most requests that come have been refused before: each refused caller
// comes again, and there are more tries than callers. Served in the order of their
// arrival, what a back end can do goes to callers that are late already, and those
// that could have been in time are refused, to come back late themselves: with two
// repeats for each caller two answers of three are late. A request's due time has to
// count from its caller's first try.
//
// HTTP has no field for that, but callers state how long they will wait. At its first
// try a caller states one of a few round times, those that its program was given; at a
// later one it states what is left of it, which is some odd number. So a stated time
// that is common on a route is that of a first try, and one that is not is the next
// longer common one less what has passed.

const (
	// trackedDeadlines is how many stated times are counted for each route: several
	// programs, and odd ones that take each other's places.
	trackedDeadlines = 16
	// commonShare is the least part of a route's requests that state a common time, and
	// commonCount the least number. Where callers come back three times each and a
	// quarter of the tries are first ones, four programs are told apart.
	commonShare = 0.05
	commonCount = 8
	// rememberedTries is how many requests a route's counts go back over: after that
	// many the counts are halved.
	rememberedTries = 1024
)

// FirstTries finds out how long ago a caller tried first, by what the callers of the
// same route state as their waiting times. The zero value knows nothing, and takes each
// request for a first try.
type FirstTries struct {
	// counts are those of the most frequent stated times (Misra and Gries, 1982).
	counts map[time.Duration]float64
	total  float64
}

// Age counts a request that states for how long its caller waits, and returns how long
// ago the caller tried first.
func (f *FirstTries) Age(stated time.Duration) time.Duration {
	f.count(stated)
	if f.common(stated) {
		return 0
	}
	var first time.Duration
	for known := range f.counts {
		if known > stated && f.common(known) && (first == 0 || known < first) {
			first = known
		}
	}
	return max(first-stated, 0)
}

// common says that a stated time is that of first tries.
func (f *FirstTries) common(stated time.Duration) bool {
	count := f.counts[stated]
	return count >= commonCount && count >= commonShare*f.total
}

// count adds a stated time to the counts.
func (f *FirstTries) count(stated time.Duration) {
	if f.counts == nil {
		f.counts = make(map[time.Duration]float64, trackedDeadlines)
	}
	f.total++
	if f.total >= rememberedTries {
		f.scale()
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

// scale halves what was counted.
func (f *FirstTries) scale() {
	const half = 0.5
	f.total *= half
	for known := range f.counts {
		f.counts[known] *= half
	}
}
