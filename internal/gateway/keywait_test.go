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

// awaited returns how long a request waits for a key of i-1, at most a limit.
func (r *keyRig) awaited(key keyspace.Key, limit time.Duration) time.Duration {
	began := steady.Reading()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r.g.keys.await(ctx, "i-1", key)
	return steady.Elapsed(began)
}

// A back end learns of a key with its next heartbeat; who asks for the key before
// waits there, and is not sent to and fro.
func TestARequestWaitsForAKeyThatItsOwnerIsAboutToGet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.lease(held(0, 99), nil)
		go func() {
			time.Sleep(300 * time.Millisecond)
			rig.beat(t, "i-1", nil)
		}()
		assert.Equal(t, rig.awaited(5, time.Second), 300*time.Millisecond)
		assert.Assert(t, rig.g.keys.holds("i-1", 5, steady.Reading()))
		synctest.Wait()
	})
}

func TestARequestWaitsForNoOtherKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.lease(held(0, 99), nil)
		assert.Equal(t, rig.awaited(100, time.Second), time.Duration(0))
		rig.lease(nil, asked(0, 99))
		assert.Equal(t, rig.awaited(5, time.Second), time.Duration(0), "it is being given up")
	})
}

func TestARequestWaitsForItsKeyForABoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.lease(held(0, 99), nil)
		assert.Equal(t, rig.awaited(5, time.Second), time.Second)
	})
}

// owns tells the rig's gateway of two back ends, and which owns the keys.
func (r *keyRig) owns(t *testing.T, index uint64, owner string) {
	advance(t, r.g.views, viewOf(true, fleetwire.Instance{ID: "i-1", Service: "s"}, fleetwire.Instance{ID: "i-2", Service: "s"}))
	advance(t, r.g.views, viewOfOwners(index, owned(owner)))
}

// While an owner gives a key up, who asked for it there waits for news of its
// next owner.
func TestARequestWaitsForTheNextOwnerOfItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.owns(t, 1, "i-1")
		began := steady.Reading()
		until := began.Add(time.Second)
		go func() {
			time.Sleep(50 * time.Millisecond)
			rig.owns(t, 2, "i-1") // news of other keys
			time.Sleep(30 * time.Millisecond)
			rig.owns(t, 3, "i-2")
		}()
		assert.Assert(t, rig.g.awaitOwner(t.Context(), "s", 5, "i-1", notRun(reasonNotOwner), until))
		assert.Equal(t, steady.Elapsed(began), 80*time.Millisecond)
		// Without news it is asked again after a moment, and not beyond its time.
		assert.Assert(t, rig.g.awaitOwner(t.Context(), "s", 5, "i-2", notRun(reasonNotOwner), until))
		assert.Equal(t, steady.Elapsed(began), 80*time.Millisecond+sameOwnerAgain)
		time.Sleep(steady.Until(until))
		assert.Assert(t, !rig.g.awaitOwner(t.Context(), "s", 5, "i-2", notRun(reasonNotOwner), until))
		synctest.Wait()
	})
}
