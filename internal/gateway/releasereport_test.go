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

// leaseRequestedAt applies a lease that answers a report sent at the given time.
func (r *keyRig) leaseRequestedAt(requestedAt time.Duration, held, release []fleetwire.Held) {
	r.g.keys.take(&fleetwire.Lease{SentAt: requestedAt, Duration: 8 * time.Second, Instance: "i-1", Held: held, Release: release}, r.epoch)
	time.Sleep(keysInterval)
	synctest.Wait()
}

// reportRelease has a range released and reported, and returns when it was last reported.
func (r *keyRig) reportRelease(t *testing.T) (reportedAt time.Duration) {
	t.Helper()
	time.Sleep(2 * answerVoid)
	r.lease(held(0, 99), nil)
	r.lease(held(0, 39), asked(40, 99))
	reportedAt = steady.Elapsed(r.epoch)
	assert.Equal(t, len(r.g.keys.promises(reportedAt)), 1)
	return reportedAt
}

// A new leader did not know of a move and listed the range as held while a report of its
// release was in transit. The gateway granted the range again; the leader then started the
// same move and accepted the earlier report of the release for it.
func TestLeaseRequestedBeforeReleaseReportDoesNotRegrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		reportedAt := rig.reportRelease(t)
		granted := len(rig.holder.granted())
		rig.leaseRequestedAt(reportedAt-time.Millisecond, held(0, 99), nil)
		assert.Assert(t, !rig.g.keys.holds("i-1", 45, steady.Reading()))
		for _, order := range rig.holder.granted()[granted:] {
			assert.Assert(t, order.Keys.Last < 40, "range %v is granted again", order.Keys)
		}
		rig.leaseRequestedAt(reportedAt+time.Millisecond, held(0, 99), nil)
		assert.Assert(t, rig.g.keys.holds("i-1", 45, steady.Reading()), "the leader has processed the release and lists the range again")
	})
}

// A grant without a response may take effect up to a second after it was sent, and holds from
// then on.
func TestUnansweredGrantHoldsFromLatestArrival(t *testing.T) {
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

// A message that an earlier process of the gateway sent last may arrive up to a second later.
func TestMessagesOfEarlierProcessMayStillArrive(t *testing.T) {
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
