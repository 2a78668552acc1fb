package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// answered is the answer to a heartbeat and how long it took.
type answered struct {
	offer *KeyOffer
	after time.Duration
}

// beatAside sends a heartbeat whose answer is waited for aside.
func (r *keyRig) beatAside(t *testing.T, held []HeldRange) <-chan answered {
	r.sequence++
	sequence, began, done := r.sequence, steady.Reading(), make(chan answered, 1)
	go func() { done <- answered{r.beatWith(t, "i-1", sequence, held, nil), steady.Elapsed(began)} }()
	synctest.Wait()
	return done
}

// settledRig is a rig whose back end holds what its lease lists.
func settledRig(t *testing.T) *keyRig {
	rig := newHeartbeatRig(t)
	time.Sleep(2 * answerVoid)
	rig.lease(held(0, 99), nil)
	rig.beat(t, "i-1", nil)
	return rig
}

const soon = 150 * time.Millisecond

// An owner that is asked for keys lets them go half an interval earlier.
func TestAnAnswerTellsOfARangeToBeGivenUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := settledRig(t)
		done := rig.beatAside(t, heldAs(0, 99, compose(7, 0)))
		rig.lease(held(0, 39), asked(40, 99))
		told := <-done
		assert.Assert(t, told.after <= soon, "%v", told.after)
		assert.DeepEqual(t, told.offer.Held, []OfferedRange{{Keys: keyspace.Range{First: 0, Last: 39}, Fence: compose(7, 0)}})
		assert.Assert(t, !rig.g.keys.holds("i-1", 50, steady.Reading()))
	})
}

// The next owner serves half an interval earlier.
func TestAnAnswerTellsOfANewRangeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := settledRig(t)
		done := rig.beatAside(t, heldAs(0, 99, compose(7, 0)))
		rig.lease(append(held(0, 99), held(200, 299)...), nil)
		told := <-done
		assert.Assert(t, told.after <= soon, "%v", told.after)
		assert.Equal(t, len(told.offer.Held), 2)
		assert.Assert(t, rig.g.keys.holds("i-1", 250, steady.Reading()))
	})
}

// What the heartbeat itself shows is answered at once: keys not taken yet, or not to be held.
func TestAHeartbeatThatDiffersFromTheLeaseIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := settledRig(t)
		for name, named := range map[string][]HeldRange{
			"lacks keys":        heldAs(0, 49, compose(7, 0)),
			"names others":      append(heldAs(0, 99, compose(7, 0)), heldAs(200, 299, compose(7, 0))...),
			"an earlier fence":  heldAs(0, 99, compose(6, 0)),
			"holds nothing yet": nil,
		} {
			told := <-rig.beatAside(t, named)
			assert.Equal(t, told.after, time.Duration(0), name)
			assert.Assert(t, told.offer != nil, name)
		}
	})
}

// Without news an answer leaves well before the back end stops waiting for it, and counts
// from the arrival of its heartbeat.
func TestAnAnswerWithoutNewsLeavesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := settledRig(t)
		arrived := steady.Reading()
		told := <-rig.beatAside(t, heldAs(0, 99, compose(7, 0)))
		assert.Equal(t, told.after, DefaultAnswerHold)
		rig.g.keys.mutex.Lock()
		sent := rig.g.keys.grants[heldKey{keyspace.Range{First: 0, Last: 99}, 7}]
		assert.Equal(t, sent.until, arrived.Add(told.offer.Hold))
		assert.Equal(t, sent.offeredAt, arrived)
		rig.g.keys.mutex.Unlock()
	})
}

// Keys must not lapse for the sake of news: after a heartbeat that was lost the next one is
// answered at once.
func TestAnAnswerThatRenewsLateIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := settledRig(t)
		told := <-rig.beatAside(t, heldAs(0, 99, compose(7, 0)))
		time.Sleep(told.offer.Hold - DefaultAnswerHold - renewalReserve)
		rig.g.keys.take(&fleetwire.Lease{SentAt: steady.Elapsed(rig.epoch), Duration: 8 * time.Second, Instance: "i-1", Held: held(0, 99)}, rig.epoch)
		late := <-rig.beatAside(t, heldAs(0, 99, compose(7, 0)))
		assert.Assert(t, late.offer != nil)
		assert.Equal(t, late.after, time.Duration(0))
	})
}

// A back end that leaves has its word acknowledged whatever happens here meanwhile.
func TestTheHeartbeatOfOneThatLeavesIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := settledRig(t)
		began := steady.Reading()
		_, err := rig.g.Heartbeat(Registration{
			ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceDraining, Sequence: 100, Held: heldAs(0, 99, compose(7, 0)),
		})
		assert.NilError(t, err)
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
	})
}

// Of two heartbeats that are answered at the same time, the earlier one renews nothing.
func TestAnAnswerIsGivenUpForALaterHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := settledRig(t)
		first := rig.beatAside(t, heldAs(0, 99, compose(7, 0)))
		time.Sleep(soon)
		second := rig.beatAside(t, heldAs(0, 99, compose(7, 0)))
		told := <-first
		assert.Equal(t, told.after, soon)
		assert.Assert(t, told.offer == nil)
		assert.Assert(t, (<-second).offer != nil)
	})
}
