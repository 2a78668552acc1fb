package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// If the timeout of a route is shorter than its target, the due time is the deadline.
// Otherwise a request could get a slot so late that it would be cut off while it runs,
// although its caller could have gone elsewhere.
func TestDueTimeIsNotAfterDeadline(t *testing.T) {
	route := &routeconfig.Route{TargetLatency: 1500 * time.Millisecond, Timeout: 1200 * time.Millisecond}
	began := steady.Reading()
	c := &call{route: route, firstAttempt: began, deadline: began.Add(route.Timeout)}
	assert.Equal(t, c.due(), c.deadline)
	e := &egress{gateway: &Gateway{slots: limiterWithServiceTime(12)}}
	request := &forwardRequest{Due: c.due(), Target: route.TargetLatency, Deadline: c.deadline}
	wanted := e.slotDemand(request)
	assert.Assert(t, wanted.InTimeWait+testServiceTime < route.Timeout, "it waits for %v and runs for %v", wanted.InTimeWait, testServiceTime)
	c.deadline = began.Add(time.Minute)
	assert.Equal(t, c.due(), began.Add(route.TargetLatency))
}
