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

// leaderlessControllers are reachable controllers of which none leads, as in a group that a
// network partition has split in halves.
type leaderlessControllers struct {
	addresses []string
	// logStates are those that each controller reports; nil if it cannot determine it. A silent
	// controller does not respond at all.
	logStates []atomic.Pointer[fleetwire.OperatorState]
	silent    []atomic.Bool
}

func startLeaderlessControllers(t *testing.T, count int) *leaderlessControllers {
	t.Helper()
	l := &leaderlessControllers{logStates: make([]atomic.Pointer[fleetwire.OperatorState], count), silent: make([]atomic.Bool, count)}
	var voters []topology.ReplicaID
	for i := range count {
		voters = append(voters, topology.ReplicaID(i+1))
	}
	for i := range count {
		l.logStates[i].Store(&fleetwire.OperatorState{
			Member: voters[i], Voters: voters, Version: 1, For: configlease.DefaultApplyWithin,
		})
		listener, err := transport.Listen("127.0.0.1:0", noTimeouts)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		l.addresses = append(l.addresses, listener.Address())
		go l.serve(listener, i)
	}
	return l
}

func (l *leaderlessControllers) serve(listener *transport.Listener, i int) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		var hello fleetwire.ToController
		if conn.Receive(&hello) == nil && !l.silent[i].Load() {
			_ = conn.Send(fleetwire.FromController{Redirect: &fleetwire.Redirect{Standing: l.logStates[i].Load()}})
		}
		_ = conn.Close()
	}
}

// startLeaderlessGateway starts a gateway whose lease has just been granted by a leader.
func startLeaderlessGateway(t *testing.T, controllers []string) *leaderTest {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(serveComplete))
	t.Cleanup(backend.Close)
	s := &leaderTest{t: t, caller: freeAddress(t)}
	peer := freeAddress(t)
	var err error
	s.gateway, err = Start(Config{
		Name: "g", Zone: "a", Service: "s", CallerListen: s.caller, PeerListen: peer,
		BackendAddress: backend.Listener.Addr().String(), Headers: testHeaders(), StopWithin: time.Millisecond,
		Controllers: controllers, Budget: RetryBudget{Ratio: 0.2, Slack: 58},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { requireIdleStop(t, s.gateway) })
	_, err = s.gateway.Heartbeat(t.Context(), Registration{ID: "i-g", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1})
	assert.NilError(t, err)
	view := viewOf(true, s.gateway.registry.snapshot())
	view.Document = &routeconfig.Document{
		Version: 1, Services: []routeconfig.Service{{Name: "s"}}, Routes: []routeconfig.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Second, TargetLatency: time.Second, Attempts: 2,
			Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}},
		}},
	}
	advance(t, s.gateway.views, view)
	s.gateway.peers.pruneConnections(s.gateway.views.load())
	terms := configlease.Terms{}.WithDefaults()
	s.gateway.session.configurationLease.take(&fleetwire.Lease{
		SentAt: s.gateway.session.now(), ConfigurationFor: terms.Validity(), PassedOnFor: terms.ApplyWithin,
	}, s.gateway.session.started)
	return s
}

// A network partition split eight controllers in halves for 6 s, so that none of them led and
// nothing could be accepted. Although every gateway reached all eight, all gateways refused
// every request with "configuration-may-be-old" from 2.6 s after the last message of the old
// leader until the first one of the next: 16,390 requests in 4.9 s.
func TestMajorityWithoutNewerStateExtendsLease(t *testing.T) {
	t.Parallel()
	l := startLeaderlessControllers(t, 3)
	l.silent[2].Store(true)
	s := startLeaderlessGateway(t, l.addresses)
	for began := steady.Reading(); steady.Elapsed(began) < 2*(configlease.Terms{}).WithDefaults().Validity(); {
		assert.Equal(t, s.requestStatus(), http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
}

// The lease must not be extended if too few controllers respond, or if so many may have
// accepted something newer that another configuration may be in force.
func TestLeaseExpiresIfMajorityMayHaveNewerState(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(l *leaderlessControllers){
		"a minority responds": func(l *leaderlessControllers) { l.silent[0].Store(true); l.silent[1].Store(true) },
		"two have a newer configuration": func(l *leaderlessControllers) {
			l.alterState(0, func(state *fleetwire.OperatorState) { state.Version = 2 })
			l.alterState(1, func(state *fleetwire.OperatorState) { state.Version = 2 })
		},
		"two have a newer evacuation order": func(l *leaderlessControllers) {
			l.alterState(0, func(state *fleetwire.OperatorState) { state.EvacuationsIndex = 9 })
			l.alterState(1, func(state *fleetwire.OperatorState) { state.EvacuationsIndex = 9 })
		},
		"two report no state": func(l *leaderlessControllers) { l.logStates[0].Store(nil); l.logStates[1].Store(nil) },
		"they disagree about the voters": func(l *leaderlessControllers) {
			l.alterState(0, func(state *fleetwire.OperatorState) { state.Voters = append(slices.Clone(state.Voters), 4) })
			l.alterState(1, func(state *fleetwire.OperatorState) { state.Voters = state.Voters[:2] })
		},
		"two report the same member": func(l *leaderlessControllers) {
			l.alterState(0, func(state *fleetwire.OperatorState) { state.Member = 3 })
			l.alterState(1, func(state *fleetwire.OperatorState) { state.Member = 3 })
		},
		"two are not voters": func(l *leaderlessControllers) {
			l.alterState(0, func(state *fleetwire.OperatorState) { state.Member = 8 })
			l.alterState(1, func(state *fleetwire.OperatorState) { state.Member = 9 })
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := startLeaderlessControllers(t, 3)
			s := startLeaderlessGateway(t, l.addresses)
			s.awaitStatus(http.StatusOK)
			change(l)
			time.Sleep((configlease.Terms{}).WithDefaults().Validity() + 200*time.Millisecond)
			assert.Equal(t, s.requestStatus(), http.StatusServiceUnavailable)
		})
	}
}

func (l *leaderlessControllers) alterState(i int, change func(*fleetwire.OperatorState)) {
	altered := *l.logStates[i].Load()
	change(&altered)
	l.logStates[i].Store(&altered)
}
