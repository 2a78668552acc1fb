package plannedstop_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/plannedstop"
)

// During a stop, work that may outlast it is rejected, to the nanosecond, and so is work
// without a deadline.
func TestAdmitsOnlyWorkThatEndsBeforeTheStop(t *testing.T) {
	start := time.Now()
	latest := start.Add(5*time.Second - plannedstop.ResponseMargin)
	var admission plannedstop.Admission
	assert.Assert(t, !admission.Stopping())
	assert.Assert(t, admission.Admits(start.Add(time.Hour)), "no stop has begun")
	assert.Assert(t, admission.Admits(time.Time{}))

	assert.Equal(t, admission.Remaining(start), time.Duration(0))
	admission.Begin(start.Add(5 * time.Second))
	assert.Assert(t, admission.Stopping())
	assert.Equal(t, admission.Remaining(start.Add(time.Second)), 4*time.Second)
	assert.Equal(t, admission.Remaining(start.Add(time.Minute)), time.Duration(0))
	assert.Assert(t, admission.Admits(latest))
	assert.Assert(t, !admission.Admits(latest.Add(1)))
	assert.Assert(t, !admission.Admits(time.Time{}))
}

// A second signal or stop request doesn't move the end, because work has already been
// admitted by the first one.
func TestFirstEndOfAStopIsFinal(t *testing.T) {
	start := time.Now()
	var admission plannedstop.Admission
	admission.Begin(start.Add(5 * time.Second))
	admission.Begin(start.Add(time.Second))
	assert.Assert(t, admission.Admits(start.Add(4*time.Second)))
	admission.Begin(start.Add(time.Minute))
	assert.Assert(t, !admission.Admits(start.Add(10*time.Second)))
}
