package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyhold"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// The way of granting changes from heartbeats to calls. An answer that offered the keys is
// still on its way as the release is answered, and is taken after that.
func TestAReleaseByCallWaitsForAnswersThatOfferedTheKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newOwnersRig(t, routeconfig.GrantByHeartbeat)
		rig.run(6 * time.Second)
		rig.sequence++
		sent := steady.Reading()
		offer, err := rig.g.Heartbeat(Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: rig.sequence})
		assert.NilError(t, err)
		assert.Assert(t, offer != nil && len(offer.Held) > 0)
		rig.setGrants(routeconfig.GrantByCall, 2)
		rig.silent = true
		rig.g.Deregister("i-1")
		rig.run(700 * time.Millisecond)
		// The answer arrives 0.7 s after the heartbeat was sent.
		rig.holder.set(func() { rig.holder.former.hold(sent, offer.Hold) })
		rig.run(4 * time.Second)
	})
}

// Another life under the same id is heard, and answers the release.
func TestAReleaseThatIsAnsweredWhileAnotherLifeIsHeardProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.lease(held(0, 9), nil)
		rig.hearNext()
		assert.Assert(t, rig.g.keys.yielding)
		over := rig.g.keys.timeOver(steady.Reading())
		assert.Assert(t, !over)
		rig.lease(nil, held(0, 9))
		synctest.Wait()
		assert.Assert(t, !rig.g.keys.timeOver(steady.Reading()))
		assert.Equal(t, len(rig.g.keys.promises(0)), 0, "promised for the word of the other life")
	})
}

// The gateway's process before this one sent a grant to a back end that stands still. This
// one has granted nothing, for the back end has not proved itself.
func TestAGrantOfAnEarlierProcessMayLieUnread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.g.config.Service = "s"
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, WarmupRate: coldRate}}}})
		rig.g.registry.unproved = true
		time.Sleep(5 * time.Second)
		rig.lease(nil, asked(0, 9))
		assert.Equal(t, len(rig.holder.granted()), 0)
		assert.Equal(t, len(rig.g.keys.promises(0)), 0, "a grant of the earlier process may lie unread before it")
	})
}

// The first report of a process that found no leader for a while is built before its first
// view: it does not know yet that its back end gets keys by heartbeat, for longer.
func TestAnEarlierProcessMayHaveOfferedByHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		offered := keyhold.Longest(rig.g.config.HeartbeatInterval + answerVoid)
		time.Sleep(offered - 500*time.Millisecond)
		assert.Assert(t, !rig.g.session.build().EarlierOver, "before the first view: offers last %v", offered)
		rig.setGrants(routeconfig.GrantByHeartbeat, 1)
		assert.Assert(t, !rig.g.session.build().EarlierOver)
	})
}

// The same, where the configuration has changed from heartbeats to calls meanwhile.
func TestAnEarlierProcessMayHaveOfferedBeforeAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		rig.setGrants(routeconfig.GrantByCall, 2)
		time.Sleep(keyhold.Longest(rig.g.config.HeartbeatInterval+answerVoid) - 500*time.Millisecond)
		assert.Assert(t, !rig.g.session.build().EarlierOver)
	})
}

// Nothing listened for a tenth of a second. The back end is well, and its next heartbeat
// comes an interval later; until then nothing looks whether it listens again.
func TestAnOwnerThatRefusedForAMomentKeepsItsKeys(t *testing.T) {
	for _, interval := range []int{40, 43, 65} { // steps of 20 ms: 0.8, 0.86 and 1.3 s
		lost := 0
		for phase := range interval {
			moved := false
			synctest.Test(t, func(t *testing.T) {
				rig := newOwnersRig(t, routeconfig.GrantByCall)
				rig.run(6 * time.Second)
				rig.silent = true
				beats := func(steps int) {
					for range steps {
						rig.step()
						if rig.steps%interval == 0 {
							rig.sendBeat()
						}
					}
				}
				beats(interval)
				for rig.steps%interval != phase {
					beats(1)
				}
				rig.moved = false
				rig.refuses(true)
				beats(5)
				rig.listens()
				beats(250)
				moved = rig.moved
			})
			if moved {
				lost++
			}
		}
		if lost > 0 {
			t.Errorf("heartbeats each %v: its keys went to another one at %d of %d moments", time.Duration(interval)*ownersStep, lost, interval)
		}
	}
}

// It is heard and reached again at each moment around that at which its keys are told free.
func TestAnOwnerIsReachedAgainAtAnyMoment(t *testing.T) {
	for _, grants := range []routeconfig.GrantMode{routeconfig.GrantByCall, routeconfig.GrantByHeartbeat} {
		for wait := range 80 {
			synctest.Test(t, func(t *testing.T) {
				rig := newOwnersRig(t, grants)
				rig.run(6 * time.Second)
				rig.refuses(true)
				rig.silent = true
				rig.run(time.Duration(wait) * 2 * ownersStep)
				rig.listens()
				rig.silent = false
				rig.sendBeat()
				rig.run(4 * time.Second)
				assert.Equal(t, rig.g.registry.snapshot().State, fleetwire.InstanceReady)
			})
		}
	}
}

// The rig's own word that the keys have another owner must not be set before they have the
// first one: the table of the incident asks for it, and runUntilMoved waits for it.
func TestTheRigDoesNotTakeKeysForMovedFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newOwnersRig(t, routeconfig.GrantByCall)
		rig.run(6 * time.Second)
		assert.Assert(t, rig.ownedBy("i-1") > 0)
		assert.Assert(t, !rig.moved)
	})
}

// The way of granting changes from calls to heartbeats as a grant is on its way: the process
// stands still before it sends it.
func TestAPromiseByHeartbeatWaitsForAGrantOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		holder := &addressHolder{former: &heldProcess{}}
		holder.setStall(3 * time.Second)
		defer time.Sleep(4 * time.Second) // what is on its way ends
		rig.g.config.Keys = holder
		rig.lease(held(0, 9), nil)
		rig.setGrants(routeconfig.GrantByHeartbeat, 1)
		rig.lease(nil, held(0, 9))
		rig.beat(t, "i-1", nil)
		time.Sleep(1300 * time.Millisecond)
		rig.beat(t, "i-1", nil)
		rig.lease(nil, held(0, 9))
		assert.Assert(t, rig.g.keys.grants[heldKey{held(0, 9)[0].Keys, 7}].bound.Sending())
		assert.Equal(t, len(rig.g.keys.promises(0)), 0, "a grant is on its way")
	})
}

// Nothing listened at its address for a moment, and a heartbeat of an earlier life comes late.
// The back end is well and heard each 1.3 s: it must be the present one again.
func TestALateHeartbeatWhileOneCannotBeReachedDoesNotEndIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		rig.g.registry.interval = 1300 * time.Millisecond
		rig.g.registry.yields = rig.g.keys.yield
		rig.setGrants(routeconfig.GrantByCall, 1)
		time.Sleep(2 * time.Second)
		rig.beat(t, "i-1", nil)
		rig.lease(held(0, 9), nil)
		rig.g.registry.lost("i-1")
		rig.g.registry.lookAgain = rig.g.registry.reached // it listens again
		rig.beatWith(t, "i-0", 40, nil, nil)
		time.Sleep(1200 * time.Millisecond)
		for range 10 {
			rig.beat(t, "i-1", nil)
			time.Sleep(1300 * time.Millisecond)
		}
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
	})
}

// The keeper's process stands still for a moment after it read the clock. A lease that was
// asked for since, and before the keys were told free, gives nothing.
func TestALeaseAskedForBeforeTheKeysWereToldFreeGivesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		rig.setGrants(routeconfig.GrantByCall, 1)
		time.Sleep(2 * time.Second)
		rig.lease(held(0, 9), nil)
		rig.holder.setRefuse(ErrNotSent)
		time.Sleep(DefaultKeyHold + 300*time.Millisecond)
		time.Sleep(keysInterval / 10)
		read := steady.Reading()
		time.Sleep(time.Millisecond)
		asked := steady.Elapsed(rig.epoch)
		assert.Equal(t, rig.g.session.build().Instance.State, fleetwire.InstanceReady)
		time.Sleep(time.Millisecond)
		rig.g.registry.lost("i-1")
		rig.g.keys.work(t.Context(), read)
		assert.Assert(t, rig.g.registry.snapshot().Released)
		rig.g.keys.take(&fleetwire.Lease{SentAt: asked, Duration: 8 * time.Second, Instance: "i-1", Held: held(0, 9)}, rig.epoch)
		assert.Equal(t, rig.g.keys.rangesHeld(), 0)
	})
}

// A range that is to be given up may be covered under the leases that allow it. Later leases
// are longer and do not. A cover that its process began before their end and sends after it
// must not leave: the leader has given the range away then.
func TestACoverThatWasBegunInTimeDoesNotLeaveTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		rig.setGrants(routeconfig.GrantByCall, 1)
		time.Sleep(2 * time.Second)
		rig.lease(held(0, 9), nil)
		rig.holder.setRefuse(errNoAnswer)
		time.Sleep(time.Second)
		rig.lease(nil, asked(0, 9))
		key := heldKey{held(0, 9)[0].Keys, 7}
		until := rig.g.keys.releases[key].coverUntil
		for !steady.Reading().After(until.Add(time.Second)) {
			rig.lease(nil, held(0, 9))
			time.Sleep(keysInterval)
		}
		rig.g.keys.mutex.Lock()
		sent := rig.g.keys.grants[key]
		if sent == nil {
			sent = &grant{Held: held(0, 9)[0]}
		}
		sent.bound.Send(leastHold) // as cover has done before the end
		rig.g.keys.mutex.Unlock()
		_, ok := rig.g.keys.prepare("i-1", sent, grantTerms{longest: leastHold, until: until})
		assert.Assert(t, !ok, "sent %v after the last lease that allows it", steady.Elapsed(until))
	})
}

// Nothing listened for a moment, and then another life does, which is heard. What accepts
// connections is that one: the former one must not be taken for there again by it, and granted
// keys for another while.
func TestALifeIsNotReachedAgainByTheNextOnesListener(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newOwnersRig(t, routeconfig.GrantByCall)
		rig.run(6 * time.Second)
		rig.refuses(true)
		rig.silent = true
		rig.run(300 * time.Millisecond)
		rig.holder.set(func() { rig.holder.next = &heldProcess{} })
		rig.g.registry.heartbeat(Registration{ID: "i-5", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}, time.Second, steady.Reading())
		rig.listens()
		rig.run(300 * time.Millisecond)
		assert.Equal(t, rig.g.registry.snapshot().State, fleetwire.InstanceGone)
		rig.run(DefaultKeyHold)
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-5")
	})
}

// A gateway has restarted beside a back end that can't be reached and stands still. A grant of
// its earlier process may lie unread before it, also where no lease has listed a range to this
// one.
func TestOneThatNeverAnsweredThisProcessIsNotToldFreeByTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.g.registry.lost("i-1")
		rig.lease(nil, nil)
		time.Sleep(openKept - 2*keysInterval)
		synctest.Wait()
		assert.Assert(t, !rig.g.registry.snapshot().Released)
		time.Sleep(4 * keysInterval)
		synctest.Wait()
		assert.Assert(t, rig.g.registry.snapshot().Released)
	})
}

// Another back end answers at the address and refuses what is meant for the present one. Its
// listener is no sign of that: taken for one, the two words alternated ten times a second, and
// each went to every gateway of the fleet.
func TestOneWhoseAddressAnotherHasIsNotReachedThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newOwnersRig(t, routeconfig.GrantByCall)
		rig.run(6 * time.Second)
		rig.silent = true
		rig.holder.set(func() { rig.holder.next, rig.holder.nextID = &heldProcess{}, "i-9" })
		changes := 0
		rig.g.registry.changed = func() { changes++ }
		rig.run(3 * time.Second)
		assert.Equal(t, changes, 1, "it can't be reached")
		assert.Assert(t, rig.moved)
	})
}
