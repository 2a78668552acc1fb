package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyhold"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// The configuration changes from grants by heartbeat to grants by call. A response that offered
// the keys is still in flight when the release is confirmed, and is applied after that.
func TestAReleaseByCallWaitsForResponsesThatOfferedTheKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHandoverRig(t, routeconfig.GrantByHeartbeat)
		rig.run(6 * time.Second)
		rig.sequence++
		sent := steady.Reading()
		offer, err := rig.g.Heartbeat(context.Background(), Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: rig.sequence})
		assert.NilError(t, err)
		assert.Assert(t, offer != nil && len(offer.Held) > 0)
		rig.setGrants(routeconfig.GrantByCall, 2)
		rig.silent = true
		recordDeparture(rig.g, "i-1")
		assert.NilError(t, rig.g.Deregister(context.Background(), "i-1"))
		rig.run(700 * time.Millisecond)
		// The response arrives 0.7 s after the heartbeat was sent.
		rig.holder.set(func() { rig.holder.former.hold(sent, offer.Hold) })
		rig.run(4 * time.Second)
	})
}

// Another incarnation under the same id has sent a heartbeat, and responds to the release.
func TestAReleaseThatIsConfirmedWhileAnotherIncarnationWaitsDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.lease(leasedRange(0, 9), nil)
		rig.nextHeartbeat()
		assert.Assert(t, rig.g.keys.grantsStopped)
		over := rig.g.keys.allGrantsExpired(steady.Reading())
		assert.Assert(t, !over)
		rig.lease(nil, leasedRange(0, 9))
		synctest.Wait()
		assert.Assert(t, !rig.g.keys.allGrantsExpired(steady.Reading()))
		assert.Equal(t, len(rig.g.keys.reportReleases(0)), 0, "reported as released because of the other incarnation's response")
	})
}

// The previous gateway process sent a grant to a back end that is stalled. This process has
// granted nothing, because the back end is not verified.
func TestKeysAreNotReleasedWhileAGrantOfAnEarlierProcessMayBeUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.g.config.Service = "s"
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, WarmupRate: coldRate}}}})
		rig.g.registry.unverified = true
		time.Sleep(5 * time.Second)
		rig.lease(nil, releasable(0, 9))
		assert.Equal(t, len(rig.holder.granted()), 0)
		assert.Equal(t, len(rig.g.keys.reportReleases(0)), 0, "a grant of the earlier process may be unread at the back end")
	})
}

// The first report of a process that found no leader for a while is built before its first
// view: the process does not know yet that its back end gets keys by heartbeat, whose grants
// last longer.
func TestAnEarlierProcessMayHaveOfferedByHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		offered := keyhold.WithDrift(rig.g.config.HeartbeatInterval + responseValidity)
		time.Sleep(offered - 500*time.Millisecond)
		assert.Assert(t, !rig.g.session.buildReport().EarlierOver, "before the first view: offers last %v", offered)
		rig.setGrants(routeconfig.GrantByHeartbeat, 1)
		assert.Assert(t, !rig.g.session.buildReport().EarlierOver)
	})
}

// The same, if the configuration has changed from heartbeats to calls in the meantime.
func TestAnEarlierProcessMayHaveOfferedBeforeAChangeOfConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.setGrants(routeconfig.GrantByCall, 2)
		time.Sleep(keyhold.WithDrift(rig.g.config.HeartbeatInterval+responseValidity) - 500*time.Millisecond)
		assert.Assert(t, !rig.g.session.buildReport().EarlierOver)
	})
}

// The back end did not listen for 100 ms. It is healthy, and its next heartbeat arrives an
// interval later; until then the gateway must check by itself whether it listens again.
func TestAnOwnerThatRefusedConnectionsForAMomentKeepsItsKeys(t *testing.T) {
	for _, interval := range []int{40, 43, 65} { // steps of 20 ms: 0.8, 0.86 and 1.3 s
		lost := 0
		for phase := range interval {
			moved := false
			synctest.Test(t, func(t *testing.T) {
				rig := newHandoverRig(t, routeconfig.GrantByCall)
				rig.run(6 * time.Second)
				rig.silent = true
				runSteps := func(steps int) {
					for range steps {
						rig.step()
						if rig.steps%interval == 0 {
							rig.sendHeartbeat()
						}
					}
				}
				runSteps(interval)
				for rig.steps%interval != phase {
					runSteps(1)
				}
				rig.moved = false
				rig.setRefusing(true)
				runSteps(5)
				rig.listen()
				runSteps(250)
				moved = rig.moved
			})
			if moved {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("heartbeats each %v: its keys went to another back end at %d of %d moments", time.Duration(interval)*handoverStep, lost, interval)
		}
	}
}

// The back end listens and sends heartbeats again at each moment around the one at which its
// keys are reported free.
func TestAnOwnerBecomesReachableAgainAtAnyMoment(t *testing.T) {
	for _, grants := range []routeconfig.GrantMode{routeconfig.GrantByCall, routeconfig.GrantByHeartbeat} {
		for wait := range 80 {
			synctest.Test(t, func(t *testing.T) {
				rig := newHandoverRig(t, grants)
				rig.run(6 * time.Second)
				rig.setRefusing(true)
				rig.silent = true
				rig.run(time.Duration(wait) * 2 * handoverStep)
				rig.listen()
				rig.silent = false
				rig.sendHeartbeat()
				rig.run(4 * time.Second)
				assert.Equal(t, rig.g.registry.snapshot().State, fleetwire.InstanceReady)
			})
		}
	}
}

// The rig's flag that the keys have another owner must not be set before they have the first
// one: TestKeysHaveANextOwnerOnlyOnceTheFormerOneHoldsNone checks it, and runUntilMoved waits
// for it.
func TestTheRigDoesNotConsiderKeysMovedFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHandoverRig(t, routeconfig.GrantByCall)
		rig.run(6 * time.Second)
		assert.Assert(t, rig.ownedBy("i-1") > 0)
		assert.Assert(t, !rig.moved)
	})
}

// The configuration changes from grants by call to grants by heartbeat while a grant is in
// flight: the process is stalled before it sends it.
func TestAReleaseByHeartbeatWaitsForAGrantInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		holder := &addressBackend{former: &backendProcess{}}
		holder.setStall(3 * time.Second)
		defer time.Sleep(4 * time.Second) // until the grant in flight has ended
		rig.g.config.Keys = holder
		rig.lease(leasedRange(0, 9), nil)
		rig.setGrants(routeconfig.GrantByHeartbeat, 1)
		rig.lease(nil, leasedRange(0, 9))
		rig.heartbeat(t, "i-1", nil)
		time.Sleep(1300 * time.Millisecond)
		rig.heartbeat(t, "i-1", nil)
		rig.lease(nil, leasedRange(0, 9))
		assert.Assert(t, rig.g.keys.grants[fencedRange{leasedRange(0, 9)[0].Keys, 7}].bound.InFlight())
		assert.Equal(t, len(rig.g.keys.reportReleases(0)), 0, "a grant is in flight")
	})
}

// The back end did not listen for a moment, and a heartbeat of an earlier incarnation arrives
// late. The back end is healthy and sends a heartbeat each 1.3 s: it must become reachable
// again.
func TestALateHeartbeatDoesNotEndAnUnreachableIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.g.registry.heartbeatInterval = 1300 * time.Millisecond
		rig.g.registry.stopGrants = rig.g.keys.stopGrants
		rig.setGrants(routeconfig.GrantByCall, 1)
		time.Sleep(2 * time.Second)
		rig.heartbeat(t, "i-1", nil)
		rig.lease(leasedRange(0, 9), nil)
		rig.g.registry.markUnreachable("i-1")
		rig.g.registry.reprobe = rig.g.registry.markReachable // it listens again
		rig.heartbeatWith(t, "i-0", 40, nil, nil)
		time.Sleep(1200 * time.Millisecond)
		for range 10 {
			rig.heartbeat(t, "i-1", nil)
			time.Sleep(1300 * time.Millisecond)
		}
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
	})
}

// The gateway process is stalled for a moment after it read the clock. A lease that was
// requested since, but before the keys were reported free, must be ignored.
func TestALeaseRequestedBeforeTheKeysWereReportedFreeIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.setGrants(routeconfig.GrantByCall, 1)
		time.Sleep(2 * time.Second)
		rig.lease(leasedRange(0, 9), nil)
		rig.holder.setError(ErrNotSent)
		time.Sleep(DefaultKeyHold + 300*time.Millisecond)
		time.Sleep(grantCheckInterval / 10)
		read := steady.Reading()
		time.Sleep(time.Millisecond)
		asked := steady.Elapsed(rig.epoch)
		assert.Equal(t, rig.g.session.buildReport().Instance.State, fleetwire.InstanceReady)
		time.Sleep(time.Millisecond)
		rig.g.registry.markUnreachable("i-1")
		rig.g.keys.step(t.Context(), read)
		assert.Assert(t, rig.g.registry.snapshot().Released)
		rig.g.keys.applyLease(&fleetwire.Lease{SentAt: asked, Duration: 8 * time.Second, Instance: "i-1", Held: leasedRange(0, 9)}, rig.epoch)
		assert.Equal(t, rig.g.keys.leasedRangeCount(), 0)
	})
}

// Some leases allow a superseding grant of a range to be released. Later leases last longer and
// do not. A superseding grant that was started before the last such lease expired must not be
// sent after its expiry: by then the leader has reassigned the range.
func TestASupersedingGrantIsNotSentAfterTheLastLeaseThatAllowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.setGrants(routeconfig.GrantByCall, 1)
		time.Sleep(2 * time.Second)
		rig.lease(leasedRange(0, 9), nil)
		rig.holder.setError(errInvalidResponse)
		time.Sleep(time.Second)
		rig.lease(nil, releasable(0, 9))
		key := fencedRange{leasedRange(0, 9)[0].Keys, 7}
		until := rig.g.keys.releases[key].supersedeUntil
		for !steady.Reading().After(until.Add(time.Second)) {
			rig.lease(nil, leasedRange(0, 9))
			time.Sleep(grantCheckInterval)
		}
		rig.g.keys.mutex.Lock()
		sent := rig.g.keys.grants[key]
		if sent == nil {
			sent = &grant{Held: leasedRange(0, 9)[0]}
		}
		sent.bound.Send(minGrantDuration) // as supersede has done before the end
		rig.g.keys.mutex.Unlock()
		_, ok := rig.g.keys.prepareGrant("i-1", sent, grantLimits{maxDuration: minGrantDuration, endsBefore: until})
		assert.Assert(t, !ok, "sent %v after the last lease that allows it", steady.Elapsed(until))
	})
}

// The back end does not listen for a moment; then another incarnation, which has sent a
// heartbeat, does. The former one must not be considered reachable again because of that
// listener, and be granted keys for longer.
func TestAnIncarnationIsNotReachableThroughItsSuccessorsListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHandoverRig(t, routeconfig.GrantByCall)
		rig.run(6 * time.Second)
		rig.setRefusing(true)
		rig.silent = true
		rig.run(300 * time.Millisecond)
		rig.holder.set(func() { rig.holder.next = &backendProcess{} })
		rig.g.registry.heartbeat(Registration{ID: "i-5", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}, time.Second, steady.Reading())
		rig.listen()
		rig.run(300 * time.Millisecond)
		assert.Equal(t, rig.g.registry.snapshot().State, fleetwire.InstanceGone)
		rig.run(DefaultKeyHold)
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-5")
	})
}

// A gateway has restarted while its back end is unreachable and stalled. A grant of the
// earlier process may be queued, unread, at the back end, even if no lease has listed a range
// to this process.
func TestKeysOfABackEndThatNeverRespondedToThisProcessAreNotFreeByExpiryAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.g.registry.markUnreachable("i-1")
		rig.lease(nil, nil)
		time.Sleep(maxGrantDelay - 2*grantCheckInterval)
		synctest.Wait()
		assert.Assert(t, !rig.g.registry.snapshot().Released)
		time.Sleep(4 * grantCheckInterval)
		synctest.Wait()
		assert.Assert(t, rig.g.registry.snapshot().Released)
	})
}

// Another back end responds at the address and refuses orders for the current one. Its listener
// does not show that the current one is reachable: when it was taken for that, the two states
// alternated ten times a second, and each change was sent to every gateway of the fleet.
func TestABackEndWhoseAddressAnotherOneUsesIsNotReachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHandoverRig(t, routeconfig.GrantByCall)
		rig.run(6 * time.Second)
		rig.silent = true
		rig.holder.set(func() { rig.holder.next, rig.holder.nextID = &backendProcess{}, "i-9" })
		changes := 0
		rig.g.registry.onChange = func() { changes++ }
		rig.run(3 * time.Second)
		assert.Equal(t, changes, 1, "reported as unreachable once")
		assert.Assert(t, rig.moved)
	})
}
