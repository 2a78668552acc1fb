package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// While a machine is suspended its monotonic clock, which Go uses to compare times, stops, but
// leases granted by other processes expire by their clocks. After such a suspension a gateway
// took its leases for valid: it routed by a configuration that might have been replaced, and
// kept granting keys that the leader had assigned to another back end. Before the clock
// counted suspensions, these tests got 200 instead of 503, and a lease with 8 s left that had
// expired.

const (
	// The suspension is longer than the lease, so that the lease has expired when it ends.
	shortLease     = 2 * time.Second
	longSuspension = 5 * time.Second
)

func TestSuspensionExpiresConfigurationLease(t *testing.T) {
	hops, runs := startCountingHops(t)
	hops.near.session.configurationLease.current.Store(nil)
	hops.near.extendLease(shortLease)
	status, _ := hops.sendRequest(t, "r1")
	assert.Equal(t, status, http.StatusOK)
	steady.SimulateSuspension(longSuspension)
	status, body := hops.sendRequest(t, "r2")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, string(reasonStaleConfiguration))
	assert.Equal(t, runs.Load(), int32(1))
	assert.Assert(t, !hops.near.Ready())
}

func TestSuspensionExpiresKeyLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		const lease = 8 * time.Second
		keys := keyspace.Range{First: 0, Last: keyspace.LastKey}
		rig.g.keys.applyLease(&fleetwire.Lease{
			SentAt: rig.g.session.now(), Duration: lease, Instance: "i-1", Held: []fleetwire.Held{{Keys: keys, Fence: 4}},
		}, rig.g.session.started)
		time.Sleep(time.Second)
		granted := len(rig.holder.granted())
		assert.Assert(t, granted > 0)
		steady.SimulateSuspension(2 * lease)
		time.Sleep(time.Second)
		assert.Equal(t, len(rig.holder.granted()), granted, "granted again after the lease had expired")
	})
}
