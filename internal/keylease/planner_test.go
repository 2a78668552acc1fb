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

// leader is a planner over a state, with the log in between.
type leader struct {
	state   *fleetstate.State
	planner *keylease.Planner
	index   uint64
	now     time.Duration
	// earlierHold says that gateways don't vouch for it that earlier lives hold nothing.
	earlierHold bool
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

// elect begins a new term; all that the leader alone knew is forgotten.
func (l *leader) elect() {
	l.planner = keylease.New(keylease.Config{}, l.state, l.now, l.now)
}

// advance lets time pass and puts batches through the log.
func (l *leader) advance(step time.Duration) {
	l.now += step
	if batch := l.planner.Tick(l.now); batch != nil {
		l.apply(&fleetstate.Command{Ownership: batch})
		l.planner.BatchDone()
	}
}

func instance(node int, life int) *fleetwire.Instance {
	return &fleetwire.Instance{
		ID: fmt.Sprintf("i-%d-%d", node, life), Service: service, Node: fmt.Sprintf("node-%d", node),
		Slots: 4, State: fleetwire.InstanceReady, Sequence: uint64(life + 1),
	}
}

func (l *leader) report(told *fleetwire.Instance, released ...fleetwire.Released) *fleetwire.Lease {
	return l.reportFrom(1, told, released...)
}

// reportFrom reports from a process of the gateway.
func (l *leader) reportFrom(boot uint64, told *fleetwire.Instance, released ...fleetwire.Released) *fleetwire.Lease {
	return l.planner.Report(&fleetwire.Report{Boot: boot, Instance: told, Released: released, EarlierOver: !l.earlierHold}, l.now)
}

// promisesOf gives up what a lease asks for, each range with a handover.
func promisesOf(asked []fleetwire.Held, handover string) []fleetwire.Released {
	var promises []fleetwire.Released
	for _, held := range asked {
		promises = append(promises, fleetwire.Released{Keys: held.Keys, Fence: held.Fence, Handover: handover})
	}
	return promises
}

// A gateway that was restarted does not know what its last process sent to the
// back end; a grant of that may still be taken.
func TestARestartedGatewayGetsItsKeysUnderANewFence(t *testing.T) {
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
	assert.Assert(t, l.planner.Concerned()["node-0"])
}

func TestFirstOwnersShareTheKeys(t *testing.T) {
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

func TestKeysOfASilentOwnerMoveOnlyAfterItsLease(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	lastHeard := l.now
	for l.state.Owners(service).OwnedBy("i-0-0") != nil {
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	assert.Assert(t, l.now-lastHeard >= keylease.DefaultLeaseDuration-100*time.Millisecond, "%s", l.now-lastHeard)
}

func TestANewLeaderWaitsForItsPredecessorsLeases(t *testing.T) {
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

// The next life of a back end gets the keys of the last one once its gateway vouches for it
// that nothing is held any more, also from a leader that never heard of the last one.
func TestTheNextLifeAtTheSameGatewayGetsTheKeysOnceTheLastOneHoldsNone(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	before := l.state.Owners(service).OwnedBy("i-0-0")
	l.elect()
	l.earlierHold = true
	l.report(instance(0, 1))
	l.report(instance(1, 0))
	l.advance(100 * time.Millisecond)
	assert.Equal(t, len(l.state.Owners(service).OwnedBy("i-0-1")), 0)
	l.earlierHold = false
	l.report(instance(0, 1))
	l.report(instance(1, 0))
	l.advance(100 * time.Millisecond)
	after := l.state.Owners(service).OwnedBy("i-0-1")
	assert.Equal(t, len(after), 1)
	assert.Equal(t, after[0].Range, before[0].Range)
	assert.Assert(t, after[0].Fence > before[0].Fence)
}

func TestADrainingOwnerHandsItsKeysOver(t *testing.T) {
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
	promises := promisesOf(lease.Release, "left")
	l.report(leaving, promises...)
	l.advance(25 * time.Millisecond)
	for _, owned := range l.state.Owners(service).OwnedBy("i-1-0") {
		assert.Assert(t, owned.Handover == "left" || owned.Handover == "")
	}
	assert.Equal(t, len(l.state.Owners(service).OwnedBy("i-0-0")), 0)
}

// A hot range leaves a busy owner as one range with few keys.
func TestAHotRangeMovesToAnIdleOwner(t *testing.T) {
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

// reportHot reports an owner whose slots a hot range fills, and that gives up
// what it is asked for.
func (l *leader) reportHot(told *fleetwire.Instance, hot keyspace.Key) {
	var load []fleetwire.KeyLoad
	for bucket := range uint32(4) {
		load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(hot) + bucket, BusyMicros: 90_000})
	}
	lease := l.planner.Report(&fleetwire.Report{Boot: 1, Instance: told, Load: load}, l.now)
	promises := promisesOf(lease.Release, "")
	l.report(told, promises...)
}

// A back end that has just started is slow for some seconds, but an owner
// without room refuses: its keys must not wait for the new one to be warm.
func TestAFullOwnerGivesKeysToABackEndThatHasJustCome(t *testing.T) {
	l := newLeader()
	for range 60 {
		l.reportHot(instance(0, 0), 4096)
		l.advance(100 * time.Millisecond)
	}
	came := l.now
	for len(l.state.Owners(service).OwnedBy("i-1-0")) == 0 && l.now < came+10*time.Second {
		l.reportHot(instance(0, 0), 4096)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	assert.Assert(t, l.now <= came+time.Second, "got keys after %v", l.now-came)
}

// gatewayModel is what a gateway believes after its last lease.
type gatewayModel struct {
	life  int
	held  []fleetwire.Held
	until time.Duration
	asked []fleetwire.Held
}

// TestNoKeyHasTwoHolders draws silences, restarts, drains, promises, elections
// and lost batches, and compares what any two gateways may serve.
func TestNoKeyHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const nodes = 3
		l := newLeader()
		gateways := make([]gatewayModel, nodes)
		for range 150 {
			l.now += time.Duration(rapid.IntRange(10, 900).Draw(t, "pause")) * time.Millisecond
			node := rapid.IntRange(0, nodes-1).Draw(t, "node")
			g := &gateways[node]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // the back end starts anew and holds nothing
				g.life++
				g.held, g.asked = nil, nil
			case 1:
				l.elect()
			case 2: // a batch is lost with its leader
				if l.planner.Tick(l.now) != nil {
					l.elect()
				}
			default:
				promises := promisesOf(g.asked, "")
				told := instance(node, g.life)
				if rapid.IntRange(0, 20).Draw(t, "drain") == 0 {
					told.State = fleetwire.InstanceDraining
					told.Sequence += 1000
				}
				lease := l.report(told, promises...)
				// The gateway counts from the sending and stops what is asked for.
				g.held, g.asked, g.until = lease.Held, lease.Release, l.now+lease.Duration
			}
			l.advance(0)
			check(t, l.now, gateways)
		}
	})
}

func check(t *rapid.T, now time.Duration, gateways []gatewayModel) {
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

// After others have left, one owner may hold many small ranges and be asked for
// much more than it has slots. A new back end must still get a part.
func TestANewBackEndGetsKeysOfAnOwnerWithManySmallRanges(t *testing.T) {
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
		promises := promisesOf(lease.Release, "")
		l.report(instance(0, 0), promises...)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	moved := 0
	for _, owned := range l.state.Owners(service).OwnedBy("i-1-0") {
		moved += owned.Size()
	}
	assert.Assert(t, moved > 8192, "%d keys", moved)
}

// A back end that stands still behind a gateway that is well keeps its lease; its
// keys go to others once they are surely free, and it gets none until it is heard.
func TestKeysOfASilentBackEndMoveAndNoneComeToIt(t *testing.T) {
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
	assert.Assert(t, len(lease.Release) > 0, "its gateway is asked for them")
	assert.Assert(t, l.state.Owners(service).OwnedBy("i-0-0") != nil, "not free yet")
	silent.Released = promisesOf(lease.Release, "")
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
