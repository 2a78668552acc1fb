package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// extendLease extends the lease on the gateway's configuration for a time, as a response of the
// leader does.
func (g *Gateway) extendLease(duration time.Duration) {
	g.session.configurationLease.take(&fleetwire.Lease{SentAt: g.session.now(), ConfigurationFor: duration}, g.session.started)
}

// A lease counts from the time of the request, by the gateway's own clock, which may run slower
// than the leader's. A late or duplicate response does not extend it.
func TestLeaseCountsFromTheRequest(t *testing.T) {
	epoch := steady.Reading()
	leaseFor := func(sentAt time.Duration) *fleetwire.Lease {
		return &fleetwire.Lease{SentAt: sentAt, ConfigurationFor: 10 * time.Second}
	}
	v := &configurationLease{}
	assert.Assert(t, !v.valid(epoch), "no lease was granted yet")
	v.take(leaseFor(time.Second), epoch)
	assert.Assert(t, v.valid(epoch.Add(10*time.Second)))
	assert.Assert(t, !v.valid(epoch.Add(11*time.Second-time.Duration(clockDrift*float64(10*time.Second)))))
	v.take(leaseFor(3*time.Second), epoch)
	v.take(leaseFor(2*time.Second), epoch)
	assert.Equal(t, v.currentAsOf(), epoch.Add(3*time.Second))
	assert.Assert(t, v.valid(epoch.Add(12*time.Second)))
	assert.Assert(t, v.remaining(epoch.Add(14*time.Second)) < 0)
}

// An evacuation order that did not arrive may be as old as the last confirmed state, so the
// back end must get nothing once EvacuateWithin has passed since then, whichever process
// hangs.
func TestBackEndIsRefusedRequestsIfEvacuationMayBeMissed(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.config.EvacuateWithin = 5 * time.Second
	g.session.configurationLease.current.Store(nil)
	assert.Assert(t, g.mayBeEvacuated(steady.Reading()))
	g.extendLease(time.Hour)
	assert.Assert(t, !g.mayBeEvacuated(steady.Reading()))
	assert.Assert(t, g.mayBeEvacuated(steady.Reading().Add(g.config.EvacuateWithin-1)))
}
