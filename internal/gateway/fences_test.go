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

// A gateway that is cut off from the controllers for long finds its keys under the
// same lease fence again. What the back end refused before must not be sent again.
func TestAFenceThatWasRefusedIsNotSentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		rig.holder.setRefuse(errRefused)
		rig.lease(held(0, 99), nil)
		time.Sleep(openKept + 10*time.Second)
		synctest.Wait()
		rig.lease(held(0, 99), nil)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		orders := rig.holder.granted()
		assert.Assert(t, len(orders) > 2)
		for i, order := range orders[1:] {
			assert.Assert(t, order.Fence > orders[i].Fence, "order %d: fence %d after %d was refused", i+1, order.Fence, orders[i].Fence)
		}
	})
}

// However many grants get no answer, the back end never sees a lower fence than
// before, nor one of the next owner.
func TestFencesRiseOverAnyNumberOfUnansweredGrants(t *testing.T) {
	const grants = 1<<16 + 1000
	ledger := newFenceLedger()
	keys := keyspace.Range{First: 0, Last: 99}
	now := steady.Reading()
	before := keyspace.Fence(0)
	for range grants {
		sub := ledger.used[7]
		fence := compose(7, sub)
		assert.Assert(t, fence > before, "%d after %d", fence, before)
		assert.Assert(t, fence < compose(8, 0))
		before = fence
		ledger.unanswered(openGrant{keys: keys, owner: 7, sub: sub, at: now})
		now = now.Add(regrantAfter)
		ledger.forget(now)
	}
}

// pausedHolder takes grants only after the gateway's processor stood still.
type pausedHolder struct {
	pause time.Duration
	mutex sync.Mutex
	// holdsUntil is when the last grant ends on the slowest clock.
	holdsUntil time.Time
}

func (h *pausedHolder) Grant(_ context.Context, order GrantOrder) error {
	time.Sleep(h.pause)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.holdsUntil = later(h.holdsUntil, steady.Reading().Add(time.Duration(float64(order.Hold)*(1+clockDrift))))
	return nil
}

func (h *pausedHolder) Release(context.Context, ReleaseOrder) (string, error) {
	return "", nil
}

// On a processor with a quota a grant may be decided on, and sent only after the
// rest of a tenth of a second. It must end within the lease all the same.
func TestAGrantThatAPauseHoldsUpEndsWithinTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const quotaPeriod = 100 * time.Millisecond
		rig := newKeyRig(t)
		holder := &pausedHolder{pause: quotaPeriod}
		rig.g.config.Keys = holder
		// The lease's end is tried at many places between two renewals.
		for step := range 25 {
			duration := 2*time.Second + time.Duration(step)*50*time.Millisecond
			rig.g.keys.take(&fleetwire.Lease{SentAt: steady.Elapsed(rig.epoch), Duration: duration, Instance: "i-1", Held: held(0, 99)}, rig.epoch)
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
