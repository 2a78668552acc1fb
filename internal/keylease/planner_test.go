package keylease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const service = "keyed"

// leader is a planner and the state to which its batches are applied.
type leader struct {
	state   *fleetstate.State
	planner *keylease.Planner
	index   uint64
	now     time.Duration
	// withholdEarlierOver keeps gateways from confirming that earlier incarnations hold no
	// keys.
	withholdEarlierOver bool
}

func newLeader() *leader {
	l := &leader{state: fleetstate.New(), now: time.Second}
	document := &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: service, Keyed: true}}}
	l.apply(&fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Document: document}})
	l.elect()
	return l
}

func (l *leader) apply(command *fleetstate.Command) {
	data, err := command.Encode()
	if err != nil {
		panic(err)
	}
	l.index++
	l.state.Apply(l.index, data)
}

// elect begins a new term with a new planner, which knows only the replicated state.
func (l *leader) elect() {
	l.planner = keylease.New(keylease.Config{}, l.state, l.now, l.now)
}

// advance lets time pass and applies the next batch.
func (l *leader) advance(step time.Duration) {
	l.now += step
	if batch := l.planner.Tick(l.now); batch != nil {
		l.apply(&fleetstate.Command{Ownership: batch})
		l.planner.BatchDone()
	}
}

func instance(node int, incarnation int) *fleetwire.Instance {
	return &fleetwire.Instance{
		ID: fmt.Sprintf("i-%d-%d", node, incarnation), Service: service, Node: fmt.Sprintf("node-%d", node),
		Slots: 4, State: fleetwire.InstanceReady, Sequence: uint64(incarnation + 1),
	}
}

func (l *leader) report(reported *fleetwire.Instance, released ...fleetwire.Released) *fleetwire.Lease {
	return l.reportFrom(1, reported, released...)
}

// reportFrom reports from a gateway process.
func (l *leader) reportFrom(boot uint64, reported *fleetwire.Instance, released ...fleetwire.Released) *fleetwire.Lease {
	return l.planner.Report(&fleetwire.Report{Boot: boot, Instance: reported, Released: released, EarlierOver: !l.withholdEarlierOver}, l.now)
}

// releasesOf confirms all releases that a lease asks for, each with a handover.
func releasesOf(asked []fleetwire.Held, handover string) []fleetwire.Released {
	var releases []fleetwire.Released
	for _, held := range asked {
		releases = append(releases, fleetwire.Released{Keys: held.Keys, Fence: held.Fence, Handover: handover})
	}
	return releases
}

// A restarted gateway does not know what its previous process sent to the back end,
// which may still accept a grant of that process.
func TestRestartedGatewayGetsItsKeysUnderNewFence(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	before := l.state.Owners(service).OwnedBy("i-0-0")
	lease := l.reportFrom(2, instance(0, 0))
	assert.Equal(t, len(lease.Held), 0, "not under the old fence")
	l.advance(25 * time.Millisecond)
	lease = l.reportFrom(2, instance(0, 0))
	assert.Equal(t, len(lease.Held), 1)
	assert.Equal(t, lease.Held[0].Keys, before[0].Range)
	assert.Assert(t, lease.Held[0].Fence > before[0].Fence)
	assert.Assert(t, l.planner.TakeNodesToReport()["node-0"])
}

func TestFirstOwnersShareKeysEvenly(t *testing.T) {
	l := newLeader()
	for range 60 {
		for node := range 4 {
			l.report(instance(node, 0))
		}
		l.advance(100 * time.Millisecond)
	}
	for node := range 4 {
		lease := l.report(instance(node, 0))
		assert.Equal(t, len(lease.Held), 1)
		assert.Equal(t, lease.Held[0].Keys.Size(), (int(keyspace.LastKey)+1)/4)
	}
}

func TestKeysOfSilentOwnerMoveOnlyAfterItsLease(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	lastReported := l.now
	for l.state.Owners(service).OwnedBy("i-0-0") != nil {
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	assert.Assert(t, l.now-lastReported >= keylease.DefaultLeaseDuration-100*time.Millisecond, "%s", l.now-lastReported)
}

func TestNewLeaderWaitsForLeasesOfItsPredecessor(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	l.elect()
	elected := l.now
	for l.state.Owners(service).OwnedBy("i-0-0") != nil {
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	assert.Assert(t, l.now-elected >= keylease.DefaultLeaseDuration, "%s", l.now-elected)
}

// The next incarnation of a back end gets the keys of the previous one once its gateway
// confirms that these are no longer held, even from a leader to which the previous one was
// never reported.
func TestNextIncarnationGetsKeysOnceEarlierOnesHoldNone(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	before := l.state.Owners(service).OwnedBy("i-0-0")
	l.elect()
	l.withholdEarlierOver = true
	l.report(instance(0, 1))
	l.report(instance(1, 0))
	l.advance(100 * time.Millisecond)
	assert.Equal(t, len(l.state.Owners(service).OwnedBy("i-0-1")), 0)
	l.withholdEarlierOver = false
	l.report(instance(0, 1))
	l.report(instance(1, 0))
	l.advance(100 * time.Millisecond)
	after := l.state.Owners(service).OwnedBy("i-0-1")
	assert.Equal(t, len(after), 1)
	assert.Equal(t, after[0].Range, before[0].Range)
	assert.Assert(t, after[0].Fence > before[0].Fence)
}

func TestDrainingOwnerHandsKeysOver(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	leaving := instance(0, 0)
	leaving.State, leaving.Sequence = fleetwire.InstanceDraining, 9
	l.report(leaving)
	l.advance(25 * time.Millisecond)
	lease := l.report(leaving)
	assert.Equal(t, len(lease.Held), 0)
	assert.Assert(t, len(lease.Release) > 0)
	releases := releasesOf(lease.Release, "left")
	l.report(leaving, releases...)
	l.advance(25 * time.Millisecond)
	for _, owned := range l.state.Owners(service).OwnedBy("i-1-0") {
		assert.Assert(t, owned.Handover == "left" || owned.Handover == "")
	}
	assert.Equal(t, len(l.state.Owners(service).OwnedBy("i-0-0")), 0)
}

// A hot range moves away from a busy owner as one range with few keys.
func TestHotRangeMovesToIdleOwner(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	hot := l.state.Owners(service).OwnedBy("i-0-0")[0].First
	moved := func() bool { return l.state.Owners(service).Find(hot+8).Owner == "i-1-0" }
	for step := 0; step < 100 && !moved(); step++ {
		l.reportHot(instance(0, 0), hot)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	assert.Assert(t, moved())
	assert.Assert(t, len(l.state.Owners(service).All()) <= 4, "few ranges: %v", l.state.Owners(service).All())
}

// reportHot reports an owner whose slots are filled by a hot range, and that releases
// what it is asked for.
func (l *leader) reportHot(reported *fleetwire.Instance, hot keyspace.Key) {
	var load []fleetwire.KeyLoad
	for bucket := range uint32(4) {
		load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(hot) + bucket, BusyMicros: 90_000})
	}
	lease := l.planner.Report(&fleetwire.Report{Boot: 1, Instance: reported, Load: load}, l.now)
	releases := releasesOf(lease.Release, "")
	l.report(reported, releases...)
}

// A back end that has just started is slow for some seconds. But a full owner refuses
// requests, so its keys must not wait until the new one is warm.
func TestFullOwnerGivesKeysToNewBackEnd(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.reportHot(instance(0, 0), 4096)
		l.advance(100 * time.Millisecond)
	}
	started := l.now
	for len(l.state.Owners(service).OwnedBy("i-1-0")) == 0 && l.now < started+10*time.Second {
		l.reportHot(instance(0, 0), 4096)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	assert.Assert(t, l.now <= started+time.Second, "got keys after %v", l.now-started)
}

// gatewayState is what a gateway knows from its last lease.
type gatewayState struct {
	incarnation int
	held        []fleetwire.Held
	until       time.Duration
	asked       []fleetwire.Held
}

// TestNoKeyHasTwoHolders draws pauses, restarts, drains, releases, elections and lost
// batches, and checks that no two gateways may serve the same key.
func TestNoKeyHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		l := newLeader()
		gateways := make([]gatewayState, nodes)
		for range 150 {
			l.now += time.Duration(rapid.IntRange(10, 900).Draw(t, "pause")) * time.Millisecond
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			g := &gateways[node]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // the back end restarts and holds no keys
				g.incarnation++
				g.held, g.asked = nil, nil
			case 1:
				l.elect()
			case 2: // a batch is lost with its leader
				if l.planner.Tick(l.now) != nil {
					l.elect()
				}
			default:
				releases := releasesOf(g.asked, "")
				reported := instance(node, g.incarnation)
				if rapid.IntRange(0, 20).Draw(t, "drain") == 0 {
					reported.State = fleetwire.InstanceDraining
					reported.Sequence += 1000
				}
				lease := l.report(reported, releases...)
				// The gateway counts the lease from when it sent its report, and stops serving
				// the ranges to be released.
				g.held, g.asked, g.until = lease.Held, lease.Release, l.now+lease.Duration
			}
			l.advance(0)
			checkNoOverlap(t, l.now, gateways)
		}
	})
}

func checkNoOverlap(t *rapid.T, now time.Duration, gateways []gatewayState) {
	for a := range gateways {
		for b := range gateways[:a] {
			if now >= gateways[a].until || now >= gateways[b].until {
				continue
			}
			for _, one := range gateways[a].held {
				for _, other := range gateways[b].held {
					if one.Keys.Overlaps(other.Keys) {
						t.Fatalf("at %s nodes %d and %d both hold %v and %v", now, a, b, one, other)
					}
				}
			}
		}
	}
}

// After other back ends have gone, one owner may hold many small ranges with a load far
// above its slots. A new back end must still get some of them.
func TestNewBackEndGetsKeysOfOwnerWithManySmallRanges(t *testing.T) {
	l := newLeader()
	const ranges = 32
	var batch fleetstate.ChangeOwnership
	for i := range keyspace.Key(ranges) {
		size := (keyspace.LastKey + 1) / ranges
		keys := keyspace.Range{First: i * size, Last: (i+1)*size - 1}
		batch.Changes = append(batch.Changes, fleetstate.OwnershipChange{Service: service, Keys: keys, To: "i-0-0", Node: "node-0", Boot: 1})
		l.apply(&fleetstate.Command{Ownership: &batch})
		batch.Changes = nil
	}
	for range 100 {
		var load []fleetwire.KeyLoad
		for bucket := uint32(0); bucket < 4096; bucket += 64 {
			load = append(load, fleetwire.KeyLoad{Bucket: bucket, BusyMicros: 60_000})
		}
		lease := l.planner.Report(&fleetwire.Report{Boot: 1, Instance: instance(0, 0), Load: load}, l.now)
		releases := releasesOf(lease.Release, "")
		l.report(instance(0, 0), releases...)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	moved := 0
	for _, owned := range l.state.Owners(service).OwnedBy("i-1-0") {
		moved += owned.Size()
	}
	assert.Assert(t, moved > 8192, "%d keys", moved)
}

// A back end that hangs while its local gateway works keeps its lease. Its keys move once they
// are released, and it gets none until it responds again.
func TestSilentBackEndLosesKeysAndGetsNone(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	silent := &fleetwire.Report{Boot: 1, Instance: instance(0, 0), Silent: true}
	var before keyspace.Fence
	for _, owned := range l.state.Owners(service).OwnedBy("i-0-0") {
		before = owned.Fence
	}
	l.planner.Report(silent, l.now)
	l.advance(100 * time.Millisecond)
	lease := l.planner.Report(silent, l.now)
	assert.Equal(t, len(lease.Held), 0)
	assert.Assert(t, len(lease.Release) > 0, "its gateway is asked to release the keys")
	assert.Assert(t, l.state.Owners(service).OwnedBy("i-0-0") != nil, "not free yet")
	silent.Released = releasesOf(lease.Release, "")
	for range 100 {
		l.planner.Report(silent, l.now)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	assert.Assert(t, l.state.Owners(service).OwnedBy("i-0-0") == nil)
	for _, owned := range l.state.Owners(service).OwnedBy("i-1-0") {
		if owned.First == 0 {
			assert.Assert(t, owned.Fence > before)
		}
	}
}
