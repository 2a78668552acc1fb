package gateway

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// leaderless are controllers that a gateway reaches and that do not lead, as those of a
// group whose halves are cut off from each other.
type leaderless struct {
	addresses []string
	// standings by controller; nil says nothing of it, and silent does not answer at all.
	standings []atomic.Pointer[fleetwire.Standing]
	silent    []atomic.Bool
}

func startLeaderless(t *testing.T, count int) *leaderless {
	t.Helper()
	l := &leaderless{standings: make([]atomic.Pointer[fleetwire.Standing], count), silent: make([]atomic.Bool, count)}
	var voters []topology.ReplicaID
	for i := range count {
		voters = append(voters, topology.ReplicaID(i+1))
	}
	for i := range count {
		l.standings[i].Store(&fleetwire.Standing{
			Member: voters[i], Voters: voters, Version: 1, For: configlease.DefaultApplyWithin,
		})
		listener, err := transport.Listen("127.0.0.1:0", endless)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		l.addresses = append(l.addresses, listener.Address())
		go l.serve(listener, i)
	}
	return l
}

func (l *leaderless) serve(listener *transport.Listener, i int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		var hello fleetwire.ToController
		if conn.Receive(&hello) == nil && !l.silent[i].Load() {
			_ = conn.Send(fleetwire.FromController{Redirect: &fleetwire.Redirect{Standing: l.standings[i].Load()}})
		}
		_ = conn.Close()
	}
}

// startLeaderlessGateway starts one whose leader's last word was given just now.
func startLeaderlessGateway(t *testing.T, controllers []string) *silentLeader {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(answerWhole))
	t.Cleanup(backend.Close)
	s := &silentLeader{t: t, caller: freeAddress(t)}
	peer := freeAddress(t)
	var err error
	s.gateway, err = Start(Config{
		Name: "g", Zone: "a", Service: "s", CallerListen: s.caller, PeerListen: peer,
		BackendAddress: backend.Listener.Addr().String(), Headers: testHeaders(), StopWithin: time.Millisecond,
		Controllers: controllers, Budget: RetryBudget{Ratio: 0.2, Slack: 58},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, s.gateway.Stop()) })
	_, err = s.gateway.Heartbeat(Registration{ID: "i-g", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1})
	assert.NilError(t, err)
	view := viewOf(true, s.gateway.registry.snapshot())
	view.Document = &routeconfig.Document{
		Version: 1, Services: []routeconfig.Service{{Name: "s"}}, Routes: []routeconfig.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Second, TargetLatency: time.Second, Attempts: 2,
			Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}},
		}},
	}
	advance(t, s.gateway.views, view)
	s.gateway.peers.follow(s.gateway.views.load())
	terms := configlease.Terms{}.WithDefaults()
	s.gateway.session.vouched.take(&fleetwire.Lease{
		SentAt: s.gateway.session.now(), ConfigurationFor: terms.Validity(), PassedOnFor: terms.ApplyWithin,
	}, s.gateway.session.started)
	return s
}

// The controllers of eight were cut into halves for 6 s, so that nobody led and nothing
// could be accepted. Every gateway reached all eight, and refused all requests from 2.6 s
// after the last word of a leader until the next leader's, "configuration-may-be-old": 16,390
// of them in 4.9 s.
func TestAGatewayServesWhileAMajorityOfControllersHasNothingNewer(t *testing.T) {
	t.Parallel()
	l := startLeaderless(t, 3)
	l.silent[2].Store(true)
	s := startLeaderlessGateway(t, l.addresses)
	for began := steady.Reading(); steady.Elapsed(began) < 2*(configlease.Terms{}).WithDefaults().Validity(); {
		assert.Equal(t, s.status(), http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
}

// What vouches ends where so few controllers answer, or so many may have accepted something
// newer, that another configuration may be in force.
func TestAGatewayRefusesWhereAMajorityMayHaveAcceptedSomethingNewer(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(l *leaderless){
		"a minority answers": func(l *leaderless) { l.silent[0].Store(true); l.silent[1].Store(true) },
		"two have a newer configuration": func(l *leaderless) {
			l.alter(0, func(told *fleetwire.Standing) { told.Version = 2 })
			l.alter(1, func(told *fleetwire.Standing) { told.Version = 2 })
		},
		"two have a newer order to evacuate": func(l *leaderless) {
			l.alter(0, func(told *fleetwire.Standing) { told.EvacuationsIndex = 9 })
			l.alter(1, func(told *fleetwire.Standing) { told.EvacuationsIndex = 9 })
		},
		"two can't tell": func(l *leaderless) { l.standings[0].Store(nil); l.standings[1].Store(nil) },
		"they differ on who votes": func(l *leaderless) {
			l.alter(0, func(told *fleetwire.Standing) { told.Voters = append(slices.Clone(told.Voters), 4) })
			l.alter(1, func(told *fleetwire.Standing) { told.Voters = told.Voters[:2] })
		},
		"one answers for two": func(l *leaderless) {
			l.alter(0, func(told *fleetwire.Standing) { told.Member = 3 })
			l.alter(1, func(told *fleetwire.Standing) { told.Member = 3 })
		},
		"two do not vote": func(l *leaderless) {
			l.alter(0, func(told *fleetwire.Standing) { told.Member = 8 })
			l.alter(1, func(told *fleetwire.Standing) { told.Member = 9 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := startLeaderless(t, 3)
			s := startLeaderlessGateway(t, l.addresses)
			s.awaitStatus(http.StatusOK)
			change(l)
			time.Sleep((configlease.Terms{}).WithDefaults().Validity() + 200*time.Millisecond)
			assert.Equal(t, s.status(), http.StatusServiceUnavailable)
		})
	}
}

func (l *leaderless) alter(i int, change func(*fleetwire.Standing)) {
	altered := *l.standings[i].Load()
	change(&altered)
	l.standings[i].Store(&altered)
}
