package loadtable

import (
	"math"
	"time"
)

// average is an exponential moving average over irregular intervals, without
// the bias to zero of its first samples.
type average struct {
	sum, weight float64
}

// add takes a value that held for an interval.
func (a *average) add(value float64, interval, window time.Duration) {
	kept := math.Exp(-interval.Seconds() / window.Seconds())
	a.sum = a.sum*kept + value*(1-kept)
	a.weight = a.weight*kept + (1 - kept)
}

// value returns the average, or 0 without samples.
func (a *average) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

func (a *average) scale(share float64) { a.sum *= share }

// join makes the average that of the sum of both.
func (a *average) join(other average) {
	joined := a.value() + other.value()
	a.weight = math.Max(a.weight, other.weight)
	a.sum = joined * a.weight
}

// cost is the mean slot time per request.
type cost struct {
	requests, busy average
}

// add takes the requests completed and the slot-seconds used in an interval.
func (c *cost) add(requests, busy float64, interval time.Duration) {
	c.requests.add(requests/interval.Seconds(), interval, slowWindow)
	c.busy.add(busy/interval.Seconds(), interval, slowWindow)
}

// perRequest returns slot-seconds per request. The prior's mean cost is mixed
// in, more so the fewer requests were seen.
func (c *cost) perRequest(prior *cost) float64 {
	expected := 0.0
	if rate := prior.requests.value(); rate > 0 {
		expected = prior.busy.value() / rate
	}
	seen := c.requests.value() * 2 * slowWindow.Seconds()
	used := c.busy.value() * 2 * slowWindow.Seconds()
	return (used + priorRequests*expected) / (seen + priorRequests)
}

func (c *cost) scale(share float64) {
	c.requests.scale(share)
	c.busy.scale(share)
}

func (c *cost) join(other cost) {
	c.requests.join(other.requests)
	c.busy.join(other.busy)
}
