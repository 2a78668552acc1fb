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

// leaseRequestedAt applies a lease that responds to a report sent at the given time.
func (r *grantRig) leaseRequestedAt(requestedAt time.Duration, held, release []fleetwire.Held) {
	r.g.keys.applyLease(&fleetwire.Lease{SentAt: requestedAt, Duration: 8 * time.Second, Instance: "i-1", Held: held, Release: release}, r.epoch)
	time.Sleep(grantCheckInterval)
	synctest.Wait()
}

// reportRelease has a range released and reported, and returns when it was last reported.
func (r *grantRig) reportRelease(t *testing.T) (reportedAt time.Duration) {
	t.Helper()
	time.Sleep(2 * responseValidity)
	r.lease(leasedRange(0, 99), nil)
	r.lease(leasedRange(0, 39), releasable(40, 99))
	reportedAt = steady.Elapsed(r.epoch)
	assert.Equal(t, len(r.g.keys.reportReleases(reportedAt)), 1)
	return reportedAt
}

// A new leader did not know of a move and listed the range as held while a report of its
// release was in transit. The gateway granted the range again; the leader then started the
// same move and accepted the earlier report of the release for it.
func TestLeaseRequestedBeforeReleaseReportDoesNotRegrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		reportedAt := rig.reportRelease(t)
		granted := len(rig.holder.granted())
		rig.leaseRequestedAt(reportedAt-time.Millisecond, leasedRange(0, 99), nil)
		assert.Assert(t, !rig.g.keys.holds("i-1", 45, steady.Reading()))
		for _, order := range rig.holder.granted()[granted:] {
			assert.Assert(t, order.Keys.Last < 40, "range %v is granted again", order.Keys)
		}
		rig.leaseRequestedAt(reportedAt+time.Millisecond, leasedRange(0, 99), nil)
		assert.Assert(t, rig.g.keys.holds("i-1", 45, steady.Reading()), "the leader has processed the release and lists the range again")
	})
}

// A grant without a response may take effect up to a second after it was sent, and holds from
// then on.
func TestUnansweredGrantHoldsFromLatestArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		time.Sleep(5 * time.Second)
		rig.lease(leasedRange(0, 9), nil)
		rig.holder.setError(ErrConnectionEnded)
		time.Sleep(DefaultKeyHold / renewalsPerGrant)
		synctest.Wait()
		sent := rig.g.keys.grants[fencedRange{leasedRange(0, 9)[0].Keys, 7}].sentAt
		rig.holder.setError(ErrNotSent)
		rig.g.registry.markUnreachable("i-1")
		time.Sleep(steady.Until(sent.Add(maxTransitDelay + DefaultKeyHold)))
		synctest.Wait()
		assert.Assert(t, !rig.g.registry.snapshot().Released)
		time.Sleep(steady.Until(sent.Add(maxTransitDelay + keyhold.WithDrift(DefaultKeyHold) + 3*grantCheckInterval)))
		synctest.Wait()
		assert.Assert(t, rig.g.registry.snapshot().Released)
	})
}

// A message that an earlier gateway process sent last may arrive up to a second later.
func TestMessagesOfEarlierProcessMayStillArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		assert.Assert(t, !rig.g.keys.earlierProcessExpiresAt().Before(rig.g.keys.started.Add(keyhold.WithDrift(DefaultKeyHold+maxTransitDelay))))
		assert.Assert(t, !rig.g.keys.earlierProcessExpiresAt().Before(rig.g.keys.started.Add(keyhold.WithDrift(DefaultHeartbeatInterval+responseValidity))))
		time.Sleep(steady.Until(rig.g.keys.earlierProcessExpiresAt()) - time.Millisecond)
		assert.Assert(t, !rig.g.session.buildReport().EarlierOver)
		time.Sleep(time.Millisecond)
		assert.Assert(t, rig.g.session.buildReport().EarlierOver)
	})
}
