package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A route that holds its requests for less than their target: none is begun that would be
// cut off as it runs, while its caller could go elsewhere.
func TestARequestIsDueBeforeItIsCutOff(t *testing.T) {
	route := &routeconfig.Route{TargetLatency: 1500 * time.Millisecond, Timeout: 1200 * time.Millisecond}
	began := steady.Reading()
	c := &call{route: route, firstTry: began, deadline: began.Add(route.Timeout)}
	assert.Equal(t, c.due(), c.deadline)
	e := &egress{gateway: &Gateway{slots: lateGate(12)}}
	request := &forwardRequest{Due: c.due(), Target: route.TargetLatency, Deadline: c.deadline}
	wanted := e.demand(request)
	assert.Assert(t, wanted.Patience+lateService < route.Timeout, "it waits for %v and runs for %v", wanted.Patience, lateService)
	c.deadline = began.Add(time.Minute)
	assert.Equal(t, c.due(), began.Add(route.TargetLatency))
}
