package gateway

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"gotest.tools/v3/assert"
)

// newSilenceRig returns a rig whose back end has crashed: nothing listens at its address.
func newSilenceRig(t *testing.T, grants routeconfig.GrantMode) *grantRig {
	rig := newGrantRig(t)
	rig.setGrants(grants, 1)
	rig.holder.setError(errors.New("no answer"))
	rig.g.config.BackendAddress = freeAddress(t)
	go rig.g.watchSilence(t.Context())
	return rig
}

// A back end that gets its keys by heartbeat is never called if there are no requests for its
// keys, and no request reaches it once its keys have expired.
func TestTheEndOfABackEndIsNoticedWithoutARequest(t *testing.T) {
	for _, grants := range []routeconfig.GrantMode{routeconfig.GrantByCall, routeconfig.GrantByHeartbeat} {
		synctest.Test(t, func(t *testing.T) {
			rig := newSilenceRig(t, grants)
			rig.lease(leasedRange(0, 99), nil)
			time.Sleep(3 * DefaultHeartbeatInterval)
			synctest.Wait()
			assert.Equal(t, rig.g.registry.snapshot().State, fleetwire.InstanceGone)
			byCall := grants == routeconfig.GrantByCall
			assert.Assert(t, !byCall || !rig.g.registry.snapshot().Released, "unanswered grants may be unread at the back end")
			time.Sleep(maxGrantDelay)
			synctest.Wait()
			assert.Assert(t, rig.g.registry.snapshot().Released, "every grant that it may hold has expired")
		})
	}
}

// A back end that is stalled sends no heartbeats but has not crashed, and one that can't reach
// the gateway may still accept grants by call.
func TestABackEndIsSilentUntilAHeartbeatOrAConfirmedGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.setGrants(routeconfig.GrantByCall, 1)
		for range silentAfterIntervals {
			assert.Assert(t, !rig.g.session.buildReport().Silent)
			rig.g.registry.countInterval()
		}
		assert.Assert(t, rig.g.session.buildReport().Silent)
		rig.lease(leasedRange(0, 99), nil)
		assert.Assert(t, !rig.g.session.buildReport().Silent, "it has confirmed a grant")
		rig.holder.setError(errors.New("no answer"))
		for range silentAfterIntervals {
			rig.g.registry.countInterval()
		}
		assert.Assert(t, rig.g.session.buildReport().Silent)
		rig.heartbeat(t, "i-1", nil)
		assert.Assert(t, !rig.g.session.buildReport().Silent, "its heartbeat has arrived")
	})
}
