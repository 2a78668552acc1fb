package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

// waitTime returns how long a request waits for a key of i-1, at most a limit.
func (r *grantRig) waitTime(key keyspace.Key, limit time.Duration) time.Duration {
	began := steady.Reading()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.g.keys.awaitKey(ctx, "i-1", key)
	return steady.Elapsed(began)
}

// A back end learns of a key with its next heartbeat. A request that arrives before waits
// there, instead of being redirected back and forth.
func TestARequestWaitsForAKeyThatItsOwnerIsAboutToGet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.lease(leasedRange(0, 99), nil)
		go func() {
			time.Sleep(300 * time.Millisecond)
			rig.heartbeat(t, "i-1", nil)
		}()
		assert.Equal(t, rig.waitTime(5, time.Second), 300*time.Millisecond)
		assert.Assert(t, rig.g.keys.holds("i-1", 5, steady.Reading()))
		synctest.Wait()
	})
}

func TestARequestWaitsForNoOtherKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.lease(leasedRange(0, 99), nil)
		assert.Equal(t, rig.waitTime(100, time.Second), time.Duration(0))
		rig.lease(nil, releasable(0, 99))
		assert.Equal(t, rig.waitTime(5, time.Second), time.Duration(0), "it is being released")
	})
}

func TestARequestWaitsForItsKeyForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.lease(leasedRange(0, 99), nil)
		assert.Equal(t, rig.waitTime(5, time.Second), time.Second)
	})
}

// setOwner gives the rig's gateway a view of two back ends, of which one owns the keys.
func (r *grantRig) setOwner(t *testing.T, index uint64, owner string) {
	advance(t, r.g.views, viewOf(true, fleetwire.Instance{ID: "i-1", Service: "s"}, fleetwire.Instance{ID: "i-2", Service: "s"}))
	advance(t, r.g.views, viewOfOwners(index, allKeysOf(owner)))
}

// While an owner releases a key, a request for it waits for the next owner.
func TestARequestWaitsForTheNextOwnerOfItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.setOwner(t, 1, "i-1")
		began := steady.Reading()
		until := began.Add(time.Second)
		go func() {
			time.Sleep(50 * time.Millisecond)
			rig.setOwner(t, 2, "i-1") // a change that does not concern the key
			time.Sleep(30 * time.Millisecond)
			rig.setOwner(t, 3, "i-2")
		}()
		assert.Assert(t, rig.g.awaitOwner(t.Context(), "s", 5, "i-1", notRun(reasonNotOwner), until))
		assert.Equal(t, steady.Elapsed(began), 80*time.Millisecond)
		// Without a change it is asked again after sameOwnerRetryInterval, but not beyond the
		// request's deadline.
		assert.Assert(t, rig.g.awaitOwner(t.Context(), "s", 5, "i-2", notRun(reasonNotOwner), until))
		assert.Equal(t, steady.Elapsed(began), 80*time.Millisecond+sameOwnerRetryInterval)
		time.Sleep(steady.Until(until))
		assert.Assert(t, !rig.g.awaitOwner(t.Context(), "s", 5, "i-2", notRun(reasonNotOwner), until))
		synctest.Wait()
	})
}
