package loadtable

import (
	"math"
	"time"
)

// average is an exponential moving average over irregular intervals. It divides
// by the sum of the weights, so that it isn't biased to zero while there are
// few samples.
type average struct {
	sum, weight float64
}

// add adds a value that held for an interval.
func (a *average) add(value float64, interval, window time.Duration) {
	decay := math.Exp(-interval.Seconds() / window.Seconds())
	a.sum = a.sum*decay + value*(1-decay)
	a.weight = a.weight*decay + (1 - decay)
}

// value returns the average, or 0 without samples.
func (a *average) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

// scale multiplies the average by a factor.
func (a *average) scale(factor float64) { a.sum *= factor }

// merge turns the average into that of the sum of both quantities.
func (a *average) merge(other average) {
	merged := a.value() + other.value()
	a.weight = math.Max(a.weight, other.weight)
	a.sum = merged * a.weight
}

// cost is the mean slot time per request.
type cost struct {
	requests, busy average
}

// add adds the requests completed and the slot-seconds used in an interval.
func (c *cost) add(requests, busy float64, interval time.Duration) {
	c.requests.add(requests/interval.Seconds(), interval, slowWindow)
	c.busy.add(busy/interval.Seconds(), interval, slowWindow)
}

// perRequest returns slot-seconds per request, weighted with the prior's mean
// cost: the fewer requests were seen, the more the prior counts.
func (c *cost) perRequest(prior *cost) float64 {
	expected := 0.0
	if rate := prior.requests.value(); rate > 0 {
		expected = prior.busy.value() / rate
	}
	seen := c.requests.value() * 2 * slowWindow.Seconds()
	used := c.busy.value() * 2 * slowWindow.Seconds()
	return (used + priorRequests*expected) / (seen + priorRequests)
}

// scale multiplies both averages by a factor.
func (c *cost) scale(factor float64) {
	c.requests.scale(factor)
	c.busy.scale(factor)
}

// merge adds the requests and slot time of another cost.
func (c *cost) merge(other cost) {
	c.requests.merge(other.requests)
	c.busy.merge(other.busy)
}
