package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyhold"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// leaseAskedAt gives the rig a lease that answers the report of a moment.
func (r *keyRig) leaseAskedAt(at time.Duration, held, release []fleetwire.Held) {
	r.g.keys.take(&fleetwire.Lease{SentAt: at, Duration: 8 * time.Second, Instance: "i-1", Held: held, Release: release}, r.epoch)
	time.Sleep(keysInterval)
	synctest.Wait()
}

// promise has a range given up and told, and returns when it was told last.
func (r *keyRig) promise(t *testing.T) (told time.Duration) {
	t.Helper()
	time.Sleep(2 * answerVoid)
	r.lease(held(0, 99), nil)
	r.lease(held(0, 39), asked(40, 99))
	told = steady.Elapsed(r.epoch)
	assert.Equal(t, len(r.g.keys.promises(told)), 1)
	return told
}

// The next leader knew no move and listed the range as held, while a report with the promise
// of its release was on its way. The gateway granted the range again; the leader began the same
// move, and took the promise for it.
func TestALeaseThatWasAskedForBeforeAPromiseWasToldGivesNothingOfIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		told := rig.promise(t)
		granted := len(rig.holder.granted())
		rig.leaseAskedAt(told-time.Millisecond, held(0, 99), nil)
		assert.Assert(t, !rig.g.keys.holds("i-1", 45, steady.Reading()))
		for _, order := range rig.holder.granted()[granted:] {
			assert.Assert(t, order.Keys.Last < 40, "%v is granted", order.Keys)
		}
		rig.leaseAskedAt(told+time.Millisecond, held(0, 99), nil)
		assert.Assert(t, rig.g.keys.holds("i-1", 45, steady.Reading()), "the leader has taken the promise, and still gives it")
	})
}

// A grant without an answer may be carried out up to a second after it was sent, and holds
// from then.
func TestAGrantWithoutAnswerHoldsFromItsLatestArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		time.Sleep(5 * time.Second)
		rig.lease(held(0, 9), nil)
		rig.holder.setRefuse(ErrConnectionEnded)
		time.Sleep(DefaultKeyHold / renewals)
		synctest.Wait()
		sent := rig.g.keys.grants[heldKey{held(0, 9)[0].Keys, 7}].sentAt
		rig.holder.setRefuse(ErrNotSent)
		rig.g.registry.lost("i-1")
		time.Sleep(steady.Until(sent.Add(transit + DefaultKeyHold)))
		synctest.Wait()
		assert.Assert(t, !rig.g.registry.snapshot().Released)
		time.Sleep(steady.Until(sent.Add(transit + keyhold.Longest(DefaultKeyHold) + 3*keysInterval)))
		synctest.Wait()
		assert.Assert(t, rig.g.registry.snapshot().Released)
	})
}

// What the process of the gateway before this one sent last may arrive a second later.
func TestWhatAnEarlierProcessSentMayStillArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		assert.Assert(t, !rig.g.keys.earlierProcessUntil().Before(rig.g.keys.started.Add(keyhold.Longest(DefaultKeyHold+transit))))
		assert.Assert(t, !rig.g.keys.earlierProcessUntil().Before(rig.g.keys.started.Add(keyhold.Longest(DefaultHeartbeatInterval+answerVoid))))
		time.Sleep(steady.Until(rig.g.keys.earlierProcessUntil()) - time.Millisecond)
		assert.Assert(t, !rig.g.session.build().EarlierOver)
		time.Sleep(time.Millisecond)
		assert.Assert(t, rig.g.session.build().EarlierOver)
	})
}
