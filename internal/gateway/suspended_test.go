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

// A machine was suspended for seconds. Its monotonic clock, by which Go compares times, stood
// still, while the leases that others had given its gateway ran out by theirs. The gateway
// found them as fresh as before: it served by a configuration that may have been replaced, and
// went on granting keys that the leader had given to another back end. Seen in these tests
// before the clock counted such time: 200 in place of 503, and 8 s left of a lease that had
// ended.

const (
	// shortWord and longSuspension: what was vouched for is over after the suspension.
	shortWord      = 2 * time.Second
	longSuspension = 5 * time.Second
)

func TestAGatewayThatWasSuspendedServesNothingByAnOldConfiguration(t *testing.T) {
	hops, runs := startCountedHops(t)
	hops.near.session.vouched.present.Store(nil)
	hops.near.vouch(shortWord)
	status, _ := hops.visit(t, "r1")
	assert.Equal(t, status, http.StatusOK)
	steady.RehearseSuspension(longSuspension)
	status, body := hops.visit(t, "r2")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, string(reasonOutdated))
	assert.Equal(t, runs.Load(), int32(1))
	assert.Assert(t, !hops.near.Ready())
}

func TestAGatewayThatWasSuspendedGrantsNothingByAnOldLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		const lease = 8 * time.Second
		keys := keyspace.Range{First: 0, Last: keyspace.LastKey}
		rig.g.keys.take(&fleetwire.Lease{
			SentAt: rig.g.session.now(), Duration: lease, Instance: "i-1", Held: []fleetwire.Held{{Keys: keys, Fence: 4}},
		}, rig.g.session.started)
		time.Sleep(time.Second)
		granted := len(rig.holder.granted())
		assert.Assert(t, granted > 0)
		steady.RehearseSuspension(2 * lease)
		time.Sleep(time.Second)
		assert.Equal(t, len(rig.holder.granted()), granted, "granted again after the lease had ended")
	})
}
