package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// heartbeatResult is the response to a heartbeat and how long it took.
type heartbeatResult struct {
	offer *KeyOffer
	after time.Duration
}

// heartbeatAsync sends a heartbeat and waits for its response in the background.
func (r *grantRig) heartbeatAsync(t *testing.T, held []HeldRange) <-chan heartbeatResult {
	r.sequence++
	sequence, began, done := r.sequence, steady.Reading(), make(chan heartbeatResult, 1)
	go func() { done <- heartbeatResult{r.heartbeatWith(t, "i-1", sequence, held, nil), steady.Elapsed(began)} }()
	synctest.Wait()
	return done
}

// newRigInSync returns a rig whose back end holds what its lease lists.
func newRigInSync(t *testing.T) *grantRig {
	rig := newHeartbeatRig(t)
	time.Sleep(2 * responseValidity)
	rig.lease(leasedRange(0, 99), nil)
	rig.heartbeat(t, "i-1", nil)
	return rig
}

const promptly = 150 * time.Millisecond

// An owner that has to release keys does so half an interval earlier.
func TestARangeToBeReleasedGetsAResponseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRigInSync(t)
		done := rig.heartbeatAsync(t, heldUnderFence(0, 99, composeFence(7, 0)))
		rig.lease(leasedRange(0, 39), releasable(40, 99))
		result := <-done
		assert.Assert(t, result.after <= promptly, "%v", result.after)
		assert.DeepEqual(t, result.offer.Held, []OfferedRange{{Keys: keyspace.Range{First: 0, Last: 39}, Fence: composeFence(7, 0)}})
		assert.Assert(t, !rig.g.keys.holds("i-1", 50, steady.Reading()))
	})
}

// The next owner serves its keys half an interval earlier.
func TestANewRangeGetsAResponseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRigInSync(t)
		done := rig.heartbeatAsync(t, heldUnderFence(0, 99, composeFence(7, 0)))
		rig.lease(append(leasedRange(0, 99), leasedRange(200, 299)...), nil)
		result := <-done
		assert.Assert(t, result.after <= promptly, "%v", result.after)
		assert.Equal(t, len(result.offer.Held), 2)
		assert.Assert(t, rig.g.keys.holds("i-1", 250, steady.Reading()))
	})
}

// A heartbeat that itself differs from the lease gets a response at once: keys that are not
// accepted yet, or not to be held.
func TestAHeartbeatThatDiffersFromTheLeaseGetsAResponseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRigInSync(t)
		for name, named := range map[string][]HeldRange{
			"lacks keys":        heldUnderFence(0, 49, composeFence(7, 0)),
			"names others":      append(heldUnderFence(0, 99, composeFence(7, 0)), heldUnderFence(200, 299, composeFence(7, 0))...),
			"an earlier fence":  heldUnderFence(0, 99, composeFence(6, 0)),
			"holds nothing yet": nil,
		} {
			result := <-rig.heartbeatAsync(t, named)
			assert.Equal(t, result.after, time.Duration(0), name)
			assert.Assert(t, result.offer != nil, name)
		}
	})
}

// Without changes a response is sent well before the back end stops waiting for it, and its
// duration counts from the arrival of the heartbeat.
func TestAResponseWithoutChangesIsSentInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRigInSync(t)
		arrived := steady.Reading()
		result := <-rig.heartbeatAsync(t, heldUnderFence(0, 99, composeFence(7, 0)))
		assert.Equal(t, result.after, DefaultResponseDelay)
		rig.g.keys.mutex.Lock()
		sent := rig.g.keys.grants[fencedRange{keyspace.Range{First: 0, Last: 99}, 7}]
		assert.Equal(t, sent.heldUntil, arrived.Add(result.offer.Hold))
		assert.Equal(t, sent.offeredAt, arrived)
		rig.g.keys.mutex.Unlock()
	})
}

// Keys must not expire because a response waits for changes: after a lost heartbeat the next
// one gets a response at once.
func TestARenewalThatIsDueIsNotDelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRigInSync(t)
		result := <-rig.heartbeatAsync(t, heldUnderFence(0, 99, composeFence(7, 0)))
		time.Sleep(result.offer.Hold - DefaultResponseDelay - minRemainingAtResponse)
		rig.g.keys.applyLease(&fleetwire.Lease{SentAt: steady.Elapsed(rig.epoch), Duration: 8 * time.Second, Instance: "i-1", Held: leasedRange(0, 99)}, rig.epoch)
		late := <-rig.heartbeatAsync(t, heldUnderFence(0, 99, composeFence(7, 0)))
		assert.Assert(t, late.offer != nil)
		assert.Equal(t, late.after, time.Duration(0))
	})
}

// The heartbeat of a back end whose departure is recorded is acknowledged whatever else happens in
// the gateway.
func TestTheHeartbeatOfADrainingBackEndGetsAResponseAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRigInSync(t)
		recordDeparture(rig.g, "i-1")
		began := steady.Reading()
		_, err := rig.g.Heartbeat(context.Background(), Registration{
			ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceDraining, Sequence: 100, Held: heldUnderFence(0, 99, composeFence(7, 0)),
		})
		assert.NilError(t, err)
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
	})
}

// If two heartbeats wait for their responses at the same time, the earlier one renews nothing.
func TestAResponseIsEmptyOnceALaterHeartbeatArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newRigInSync(t)
		first := rig.heartbeatAsync(t, heldUnderFence(0, 99, composeFence(7, 0)))
		time.Sleep(promptly)
		second := rig.heartbeatAsync(t, heldUnderFence(0, 99, composeFence(7, 0)))
		result := <-first
		assert.Equal(t, result.after, promptly)
		assert.Assert(t, result.offer == nil)
		assert.Assert(t, (<-second).offer != nil)
	})
}
