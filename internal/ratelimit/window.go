package ratelimit

import "time"

// A back end may get, in any windowLength, excess times the number of requests that its limit
// allows, and slackRequests in addition. The token bucket stays well below that at a constant
// limit. After a limit was lowered, the requests of the last windowLength may already exceed what
// the new one allows.
const (
	windowLength  = 4 * time.Second
	excess        = 1.5
	slackRequests = 5
)

const (
	// spanLength is the precision of a window, and spanCount is the number of spans that cover it
	// wherever it begins.
	spanLength = 100 * time.Millisecond
	spanCount  = int64(windowLength/spanLength) + 1
)

// window counts the requests of the last windowLength. The zero value is empty.
type window struct {
	// base is when the first span began.
	base time.Time
	// counts has the requests of each span, by the span's number modulo spanCount, up to the span
	// with the number last.
	counts [spanCount]int
	last   int64
}

// advance forgets the spans that are older than the window.
func (w *window) advance(now time.Time) {
	if w.base.IsZero() {
		w.base = now
	}
	number := int64(now.Sub(w.base) / spanLength)
	for span := w.last + 1; span <= min(number, w.last+spanCount); span++ {
		w.counts[span%spanCount] = 0
	}
	w.last = max(w.last, number)
}

// add counts a request.
func (w *window) add(now time.Time) {
	w.advance(now)
	w.counts[w.last%spanCount]++
}

// total returns the number of requests in the window.
func (w *window) total() int {
	total := 0
	for _, count := range w.counts {
		total += count
	}
	return total
}

// allows reports whether a number of further requests is within what a limit allows.
func (w *window) allows(perSecond float64, further int, now time.Time) bool {
	w.advance(now)
	return float64(w.total()+further) <= allowance(perSecond)
}

// allowance is how many requests a window may have at a limit.
func allowance(perSecond float64) float64 {
	return excess*perSecond*windowLength.Seconds() + slackRequests
}

// wait returns how long it takes until one more request is within what a limit allows.
func (w *window) wait(perSecond float64, now time.Time) time.Duration {
	w.advance(now)
	counted := w.total() + 1
	if float64(counted) <= allowance(perSecond) {
		return 0
	}
	for span := max(w.last-spanCount+1, 0); span < w.last; span++ {
		counted -= w.counts[span%spanCount]
		if float64(counted) <= allowance(perSecond) {
			return w.leaves(span).Sub(now)
		}
	}
	return w.leaves(w.last).Sub(now)
}

// leaves returns when a span is no longer part of the window.
func (w *window) leaves(span int64) time.Time {
	return w.base.Add(time.Duration(span+spanCount) * spanLength)
}
