package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// A refusal reports when the key of an unreachable back end may have another owner: if its
// caller retried earlier, the same gateway could only refuse again.
func TestARefusalReportsWhenTheKeysOfAnUnreachableOwnerAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		time.Sleep(3 * time.Second)
		rig.lease(leasedRange(0, 9), nil)
		rig.holder.setError(ErrNotSent)
		rig.g.registry.markUnreachable("i-1")
		request := &forwardRequest{Instance: "i-1", HasKey: true, Key: 4}
		refusal := rig.g.refuseUnadmitted(request, steady.Reading())
		assert.Equal(t, refusal.Reason, reasonOwnerLost)
		assert.Assert(t, refusal.RetryAfter > ownerChangeTime)
		time.Sleep(refusal.RetryAfter - ownerChangeTime + grantCheckInterval)
		synctest.Wait()
		assert.Assert(t, rig.g.registry.snapshot().Released)
		request.HasKey = false
		assert.Equal(t, rig.g.refuseUnadmitted(request, steady.Reading()).Reason, reasonNotAdmitted)
	})
}

// A request waits for the next owner of its key if there will be one before its deadline, and
// is refused at once otherwise.
func TestARequestForAnUnreachableOwnersKeyWaitsOnlyIfTheKeyIsFreeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		rig.setOwner(t, 1, "i-1")
		lost := notRun(reasonOwnerLost)
		lost.RetryAfter = 800 * time.Millisecond
		began := steady.Reading()
		assert.Assert(t, !rig.g.awaitOwner(t.Context(), "s", 5, "i-1", lost, began.Add(700*time.Millisecond)))
		assert.Equal(t, steady.Elapsed(began), time.Duration(0), "the next owner would come after its deadline")
		go func() {
			time.Sleep(500 * time.Millisecond)
			rig.setOwner(t, 2, "i-2")
		}()
		assert.Assert(t, rig.g.awaitOwner(t.Context(), "s", 5, "i-1", lost, began.Add(time.Second)))
		assert.Equal(t, steady.Elapsed(began), 500*time.Millisecond)
		assert.Assert(t, retryAfter(lost) >= lost.RetryAfter)
		synctest.Wait()
	})
}
