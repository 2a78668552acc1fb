package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

var errRefused = errors.New("status 409")

// A gateway that was cut off from the controllers for long may get its keys under the same
// lease fence again. A fence that the back end refused before must not be sent again.
func TestAFenceThatWasRefusedIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.holder.setError(errRefused)
		rig.lease(leasedRange(0, 99), nil)
		time.Sleep(maxGrantDelay + 10*time.Second)
		synctest.Wait()
		rig.lease(leasedRange(0, 99), nil)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		orders := rig.holder.granted()
		assert.Assert(t, len(orders) > 2)
		for i, order := range orders[1:] {
			assert.Assert(t, order.Fence > orders[i].Fence, "order %d: fence %d after %d was refused", i+1, order.Fence, orders[i].Fence)
		}
	})
}

// However many grants get no response, the back end never sees a lower fence than before, nor
// one of the next owner.
func TestFencesRiseOverAnyNumberOfUnansweredGrants(t *testing.T) {
	const grants = 1<<16 + 1000
	tracker := newFenceTracker()
	keys := keyspace.Range{First: 0, Last: 99}
	now := steady.Reading()
	before := keyspace.Fence(0)
	for range grants {
		sub := tracker.subFences[7]
		fence := composeFence(7, sub)
		assert.Assert(t, fence > before, "%d after %d", fence, before)
		assert.Assert(t, fence < composeFence(8, 0))
		before = fence
		tracker.addUnanswered(unansweredGrant{keys: keys, owner: 7, subFence: sub, recordedAt: now})
		now = now.Add(grantRetryDelay)
		tracker.prune(now)
	}
}

// pausedHolder applies grants after a delay, as if the gateway had been throttled before it
// sent them.
type pausedHolder struct {
	pause time.Duration
	mutex sync.Mutex
	// holdsUntil is when the last grant ends on the slowest allowed clock.
	holdsUntil time.Time
}

func (h *pausedHolder) Grant(_ context.Context, order GrantOrder) error {
	time.Sleep(h.pause)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.holdsUntil = latest(h.holdsUntil, steady.Reading().Add(time.Duration(float64(order.Hold)*(1+clockDrift))))
	return nil
}

func (h *pausedHolder) Release(context.Context, ReleaseOrder) (string, error) {
	return "", nil
}

// Under a CPU quota a grant may be prepared, and sent only after the rest of a 100 ms period.
// It must still end within the lease.
func TestAGrantThatAPauseHoldsUpEndsWithinTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quotaPeriod = 100 * time.Millisecond
		rig := newGrantRig(t)
		holder := &pausedHolder{pause: quotaPeriod}
		rig.g.config.Keys = holder
		// The lease's end is varied between two renewals.
		for step := range 25 {
			duration := 2*time.Second + time.Duration(step)*50*time.Millisecond
			rig.g.keys.applyLease(&fleetwire.Lease{SentAt: steady.Elapsed(rig.epoch), Duration: duration, Instance: "i-1", Held: leasedRange(0, 99)}, rig.epoch)
			rig.g.keys.mutex.Lock()
			ends := rig.g.keys.leaseUntil
			rig.g.keys.mutex.Unlock()
			time.Sleep(12 * time.Second)
			synctest.Wait()
			holder.mutex.Lock()
			until := holder.holdsUntil
			holder.mutex.Unlock()
			assert.Check(t, !until.After(ends), "lease of %v: held for %v after its end", duration, until.Sub(ends))
		}
	})
}
