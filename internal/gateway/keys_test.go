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

// fakeHolder is a back end that records the grants and releases it receives.
type fakeHolder struct {
	mutex    sync.Mutex
	grants   []GrantOrder
	releases []keyspace.Range
	// failWith is the error that each call returns.
	failWith error
}

func (h *fakeHolder) Grant(_ context.Context, order GrantOrder) error {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.grants = append(h.grants, order)
	return h.failWith
}

func (h *fakeHolder) Release(_ context.Context, order ReleaseOrder) (string, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.releases = append(h.releases, order.Keys)
	return "handed", h.failWith
}

func (h *fakeHolder) setError(err error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.failWith = err
}

func (h *fakeHolder) released() []keyspace.Range {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]keyspace.Range{}, h.releases...)
}

func (h *fakeHolder) granted() []GrantOrder {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return append([]GrantOrder{}, h.grants...)
}

// grantRig is a grant manager with a registered back end.
type grantRig struct {
	holder *fakeHolder
	g      *Gateway
	epoch  time.Time
	// sequence is that of the last heartbeat.
	sequence uint64
}

func newGrantRig(t *testing.T) *grantRig {
	// Probes and grants that the manager started may end after it.
	t.Cleanup(func() { time.Sleep(grantTimeout) })
	rig := &grantRig{holder: &fakeHolder{}, epoch: steady.Reading(), sequence: 1}
	rig.g = &Gateway{config: Config{Keys: rig.holder}.withDefaults()}
	rig.g.metrics = newGatewayMetrics(rig.g.config.Registry)
	rig.g.views = newViewStore()
	rig.g.registry = newRegistry(func() {})
	rig.g.session = newSessionClient(rig.g)
	rig.g.quotas = newQuotaKeeper(rig.g)
	rig.g.keys = newGrantManager(rig.g)
	rig.g.keyLoad = newKeyLoad()
	rig.g.slots = newSlotLimiter()
	rig.g.departures, rig.g.sessionEnd = newDepartureKeeper(), t.Context()
	rig.g.registry.heartbeat(Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}, time.Second, steady.Reading())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		rig.g.keys.run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return rig
}

// lease applies a lease of ranges that was requested just now.
func (r *grantRig) lease(held, release []fleetwire.Held) {
	r.g.keys.applyLease(&fleetwire.Lease{
		SentAt: steady.Elapsed(r.epoch), Duration: 8 * time.Second, Instance: "i-1", Held: held, Release: release,
	}, r.epoch)
	time.Sleep(grantCheckInterval)
	synctest.Wait()
}

func leasedRange(first, last keyspace.Key) []fleetwire.Held {
	return []fleetwire.Held{{Keys: keyspace.Range{First: first, Last: last}, Fence: 7}}
}

// releasable is a range to be released for which a superseding grant is allowed.
func releasable(first, last keyspace.Key) []fleetwire.Held {
	all := leasedRange(first, last)
	all[0].MayCover = true
	return all
}

func TestKeysAreServedOnlyWhileGrantedAndLeased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		assert.Assert(t, !rig.g.keys.holds("i-1", 5, steady.Reading()))
		rig.lease(leasedRange(0, 99), nil)
		assert.Assert(t, rig.g.keys.holds("i-1", 5, steady.Reading()))
		assert.Assert(t, !rig.g.keys.holds("i-1", 100, steady.Reading()))
		// No further report gets a response: the lease and every grant end within it.
		time.Sleep(8 * time.Second)
		assert.Assert(t, !rig.g.keys.holds("i-1", 5, steady.Reading()))
		for _, order := range rig.holder.granted() {
			assert.Assert(t, order.Hold <= DefaultKeyHold)
		}
	})
}

func TestAnUnconfirmedGrantServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.holder.failWith = errors.New("no answer")
		rig.lease(leasedRange(0, 99), nil)
		assert.Assert(t, !rig.g.keys.holds("i-1", 5, steady.Reading()))
	})
}

// A leader that requested the release of a range may lose its leadership before the move is in
// the log. Its successor lists the range again, although the back end has released it.
func TestAReleasedRangeIsGrantedAgainBeforeItIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		time.Sleep(2 * responseValidity) // an earlier process may have offered by heartbeat
		rig.lease(leasedRange(0, 99), nil)
		rest := append(leasedRange(0, 39), leasedRange(50, 99)...)
		rig.lease(rest, releasable(40, 49))
		assert.Assert(t, !rig.g.keys.holds("i-1", 45, steady.Reading()))
		assert.Assert(t, rig.g.keys.holds("i-1", 5, steady.Reading()))
		assert.Equal(t, len(rig.g.keys.reportReleases(0)), 1)
		rig.holder.setError(errors.New("no answer"))
		before := len(rig.holder.granted())
		rig.lease(leasedRange(0, 99), nil)
		assert.Assert(t, !rig.g.keys.holds("i-1", 45, steady.Reading()), "the old grant does not cover the released range")
		assert.Assert(t, len(rig.holder.granted()) > before, "it is granted again at once")
	})
}

// An unanswered grant may be applied seconds later, when its keys already have another owner.
// By then the back end must have seen a higher fence on them.
func TestKeysWithAnUnansweredGrantAreCoveredBeforeTheyAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.lease(leasedRange(0, 99), nil)
		rig.holder.setError(errors.New("no answer"))
		time.Sleep(DefaultKeyHold/renewalsPerGrant + grantCheckInterval)
		synctest.Wait()
		rig.lease(leasedRange(0, 39), releasable(40, 99))
		assert.Equal(t, len(rig.holder.released()), 0, "not released while a grant may still be applied")
		unanswered := rig.holder.granted()
		late := unanswered[len(unanswered)-1]
		rig.holder.setError(nil)
		time.Sleep(time.Second)
		synctest.Wait()
		assert.Equal(t, len(rig.holder.released()), 1)
		assert.Equal(t, len(rig.g.keys.reportReleases(0)), 1)
		covered := false
		for _, order := range rig.holder.granted()[len(unanswered):] {
			covered = covered || order.Keys.Contains(keyspace.Range{First: 40, Last: 99}) && order.Fence > late.Fence
		}
		assert.Assert(t, covered, "a higher fence was confirmed for all of them")
		assert.Assert(t, composeFence(8, 0) > rig.holder.granted()[len(rig.holder.granted())-1].Fence, "the next owner's is higher still")
	})
}

// While there is no contact with a leader, a back end may end and its next incarnation start
// at the same address. The keys leased to the former one must not be granted to the next.
func TestTheNextIncarnationIsNotGrantedTheKeysOfTheLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.lease(leasedRange(0, 99), nil)
		assert.Assert(t, rig.g.keys.holds("i-1", 5, steady.Reading()))
		before := len(rig.holder.granted())
		rig.g.registry.markUnreachable("i-1")
		rig.g.registry.heartbeat(Registration{ID: "i-2", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}, time.Second, steady.Reading())
		rig.g.keys.signal()
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(rig.holder.granted()), before, "granted to another incarnation")
		assert.Assert(t, !rig.g.keys.holds("i-2", 5, steady.Reading()))
	})
}
