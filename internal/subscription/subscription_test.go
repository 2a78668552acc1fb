package subscription

import (
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// stubController serves each session with a given function and records each
// Hello.
type stubController struct {
	listener *transport.Listener
	mutex    sync.Mutex
	hellos   []wire.Hello
	conns    []*transport.Conn
	group    sync.WaitGroup
}

// peer is the controller's end of one session; number counts sessions from 0.
type peer struct {
	*transport.Conn
	hello  wire.Hello
	number int
}

func (p peer) send(t *testing.T, messages ...wire.FromController) {
	t.Helper()
	for _, message := range messages {
		assert.Check(t, p.Send(message) == nil)
	}
}

// drain receives until the client closes the connection.
func (p peer) drain() {
	for {
		var message wire.ToController
		if p.Receive(&message) != nil {
			return
		}
	}
}

// acknowledge answers each Renew until the client closes the connection.
func (p peer) acknowledge(revision topology.Revision) {
	for {
		var message wire.ToController
		if p.Receive(&message) != nil {
			return
		}
		if renew := message.Renew; renew != nil {
			_ = p.Send(wire.FromController{RenewAck: &wire.RenewAck{
				Sequence: renew.Sequence, SentAt: renew.SentAt, Granted: time.Second, Revision: revision,
			}})
		}
	}
}

func startStub(t *testing.T, serve func(p peer)) *stubController {
	t.Helper()
	listener, err := transport.Listen("127.0.0.1:0", transport.Options{})
	assert.NilError(t, err)
	s := &stubController{listener: listener}
	s.group.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.group.Go(func() { s.session(conn, serve) })
		}
	})
	t.Cleanup(s.stop)
	return s
}

func (s *stubController) session(conn *transport.Conn, serve func(p peer)) {
	defer conn.Close()
	var message wire.ToController
	if conn.Receive(&message) != nil || message.Hello == nil {
		return
	}
	s.mutex.Lock()
	number := len(s.hellos)
	s.hellos = append(s.hellos, *message.Hello)
	s.conns = append(s.conns, conn)
	s.mutex.Unlock()
	serve(peer{conn, *message.Hello, number})
}

func (s *stubController) stop() {
	_ = s.listener.Close()
	s.mutex.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mutex.Unlock()
	s.group.Wait()
}

// applied returns the applied revision of each Hello.
func (s *stubController) applied() []topology.Revision {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var revisions []topology.Revision
	for _, hello := range s.hellos {
		revisions = append(revisions, hello.Applied)
	}
	return revisions
}

// leaseRecorder is a LeaseHolder that records the send time of each grant.
type leaseRecorder struct {
	mutex  sync.Mutex
	sentAt []time.Duration
}

func (l *leaseRecorder) Granted(sentAt, _ time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sentAt = append(l.sentAt, sentAt)
}

func (l *leaseRecorder) count() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.sentAt)
}

func startClient(t *testing.T, config Config) *Client {
	t.Helper()
	if config.Role == 0 {
		config.Role = topology.RoleRouter
	}
	config.Name = "client"
	config.Seed = 1
	config.BackOffFirst, config.BackOffLimit = time.Millisecond, 5*time.Millisecond
	c, err := Start(config)
	assert.NilError(t, err)
	t.Cleanup(c.Stop)
	return c
}

func routerWelcome() wire.FromController {
	return wire.FromController{Welcome: &wire.Welcome{}}
}

func agentWelcome() wire.FromController {
	return wire.FromController{Welcome: &wire.Welcome{Backend: 4, Leader: true, RenewInterval: time.Millisecond}}
}

func snapshot(revision topology.Revision) wire.FromController {
	return wire.FromController{Snapshot: &wire.RoutingSnapshot{Revision: revision}}
}

func delta(from, to topology.Revision) wire.FromController {
	return wire.FromController{Delta: &wire.RoutingDelta{From: from, To: to}}
}

func alive(revision topology.Revision, contact time.Duration) wire.FromController {
	return wire.FromController{Alive: &wire.Alive{Revision: revision, LeaderContact: contact}}
}

// nextPing waits for the router's next Ping.
func (p peer) nextPing() wire.Ping {
	for {
		var message wire.ToController
		if p.Receive(&message) != nil {
			return wire.Ping{}
		}
		if message.Ping != nil {
			return *message.Ping
		}
	}
}

func answer(ping wire.Ping, revision topology.Revision, contact time.Duration) wire.FromController {
	return wire.FromController{Alive: &wire.Alive{
		Revision: revision, LeaderContact: contact, Answers: true, PingSentAt: ping.SentAt,
	}}
}

// answerPing answers the router's next Ping.
func (p peer) answerPing(t *testing.T, revision topology.Revision, contact time.Duration) {
	t.Helper()
	p.send(t, answer(p.nextPing(), revision, contact))
}

// eventually waits until the condition holds and fails the test after 10 seconds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

func atRevision(c *Client, revision topology.Revision) func() bool {
	return func() bool { return c.Table() != nil && c.Table().Revision() == revision }
}

func TestRouterAppliesSnapshotAndDeltasInOrderAndConfirms(t *testing.T) {
	confirmed := make(chan topology.Revision, 10)
	stub := startStub(t, func(p peer) {
		p.send(t, routerWelcome(), snapshot(5), delta(5, 6), delta(6, 9))
		for {
			var message wire.ToController
			if p.Receive(&message) != nil {
				return
			}
			if message.Applied != nil {
				confirmed <- message.Applied.Revision
			}
		}
	})
	var seen []topology.Revision
	c := startClient(t, Config{Controllers: []string{stub.listener.Address()}, OnTable: func(table *routing.Table) {
		seen = append(seen, table.Revision())
	}})
	eventually(t, "revision 9", atRevision(c, 9))
	for last := topology.Revision(0); last != 9; {
		next := <-confirmed
		assert.Assert(t, next > last, "%d confirmed after %d", next, last)
		last = next
	}
	c.Stop()
	assert.DeepEqual(t, seen, []topology.Revision{5, 6, 9})
	assert.Equal(t, c.Statistics().Deltas, uint64(2))
}

func TestAgentFollowsRedirectAndLeaseStartsAtSendTime(t *testing.T) {
	leader := startStub(t, func(p peer) {
		p.send(t, agentWelcome(), snapshot(1))
		p.acknowledge(1)
	})
	follower := startStub(t, func(p peer) {
		p.send(t, wire.FromController{Welcome: &wire.Welcome{LeaderAddress: leader.listener.Address()}})
		p.drain()
	})
	var reading atomic.Int64
	lease := &leaseRecorder{}
	c := startClient(t, Config{
		Role: topology.RoleAgent, Lease: lease, Controllers: []string{follower.listener.Address()},
		SilenceLimit: time.Minute, Now: func() time.Duration { return time.Duration(reading.Add(1)) },
	})
	eventually(t, "a renewed lease", func() bool { return lease.count() >= 3 })
	assert.Equal(t, c.Backend(), topology.BackendID(4))
	eventually(t, "a fresh table", func() bool { return c.Freshness(time.Duration(reading.Load())) != NeverFresh })
	c.Stop()
	assert.Assert(t, slices.IsSorted(lease.sentAt))
	assert.Assert(t, lease.sentAt[len(lease.sentAt)-1] < time.Duration(reading.Load()))
	assert.Equal(t, c.Statistics().Redirects, uint64(1))
}

func TestAgentFollowsRedirectOfLeaderThatStepsDown(t *testing.T) {
	lease := &leaseRecorder{}
	next := startStub(t, func(p peer) {
		p.send(t, agentWelcome())
		p.acknowledge(0)
	})
	former := startStub(t, func(p peer) {
		p.send(t, agentWelcome(), wire.FromController{Redirect: &wire.Redirect{LeaderAddress: next.listener.Address()}})
		p.drain()
	})
	startClient(t, Config{Role: topology.RoleAgent, Lease: lease, Controllers: []string{former.listener.Address()}, SilenceLimit: time.Minute})
	eventually(t, "a lease from the next leader", func() bool { return lease.count() > 0 })
}

func TestRedirectLoopCausesBackOff(t *testing.T) {
	var first, second *stubController
	var ready sync.WaitGroup
	// stopping is set before the client is stopped, which closes its connections
	// and lets sends fail.
	var stopping atomic.Bool
	ready.Add(1)
	redirectTo := func(other **stubController) func(p peer) {
		return func(p peer) {
			ready.Wait()
			err := p.Send(wire.FromController{Redirect: &wire.Redirect{LeaderAddress: (*other).listener.Address()}})
			assert.Check(t, err == nil || stopping.Load(), "%v", err)
		}
	}
	first = startStub(t, redirectTo(&second))
	second = startStub(t, redirectTo(&first))
	ready.Done()
	c := startClient(t, Config{Role: topology.RoleAgent, Lease: &leaseRecorder{}, Controllers: []string{first.listener.Address()}})
	eventually(t, "failed attempts", func() bool { return c.Statistics().FailedAttempts >= 3 })
	statistics := c.Statistics()
	assert.Assert(t, statistics.Redirects <= maxRedirects*(statistics.FailedAttempts+1))
	stopping.Store(true)
}

func TestAckWithFutureSendTimeGrantsNoLease(t *testing.T) {
	lease := &leaseRecorder{}
	future := wire.FromController{RenewAck: &wire.RenewAck{SentAt: time.Hour, Granted: time.Hour}}
	stub := startStub(t, func(p peer) {
		p.send(t, agentWelcome(), future, snapshot(1))
		p.drain()
	})
	c := startClient(t, Config{Role: topology.RoleAgent, Lease: lease, Controllers: []string{stub.listener.Address()}})
	eventually(t, "the message after the ack", atRevision(c, 1))
	assert.Equal(t, lease.count(), 0)
	assert.Equal(t, c.Freshness(0), NeverFresh)
}

func TestRevisionGapRequestsDeltaThenSnapshot(t *testing.T) {
	stub := startStub(t, func(p peer) {
		p.send(t, routerWelcome())
		switch p.number {
		case 0:
			p.send(t, snapshot(5), delta(7, 8))
		case 1:
			p.send(t, delta(7, 8))
		case 2:
			p.send(t, snapshot(8))
		}
		p.drain()
	})
	c := startClient(t, Config{Controllers: []string{stub.listener.Address()}})
	eventually(t, "revision 8", atRevision(c, 8))
	assert.DeepEqual(t, stub.applied(), []topology.Revision{0, 5, 0})
	assert.Equal(t, c.Statistics().Gaps, uint64(2))
}

func TestRevisionNeverGoesBack(t *testing.T) {
	for name, older := range map[string]wire.FromController{
		"snapshot": snapshot(3),
		"delta":    delta(2, 3),
	} {
		t.Run(name, func(t *testing.T) {
			stub := startStub(t, func(p peer) {
				p.send(t, routerWelcome())
				if p.number == 0 {
					p.send(t, snapshot(5), older)
				} else {
					p.send(t, delta(5, 6))
				}
				p.drain()
			})
			var seen []topology.Revision
			c := startClient(t, Config{Controllers: []string{stub.listener.Address()}, OnTable: func(table *routing.Table) {
				seen = append(seen, table.Revision())
			}})
			eventually(t, "revision 6", atRevision(c, 6))
			c.Stop()
			assert.DeepEqual(t, seen, []topology.Revision{5, 6})
			assert.Equal(t, c.Statistics().RefusedReverts, uint64(1))
		})
	}
}

func TestDataOfAnotherGroupIsRefused(t *testing.T) {
	stub := startStub(t, func(p peer) {
		p.send(t, routerWelcome(), snapshot(5))
		p.drain()
	})
	c := startClient(t, Config{Group: 2, Controllers: []string{stub.listener.Address()}})
	eventually(t, "failed attempts", func() bool { return c.Statistics().FailedAttempts >= 2 })
	assert.Assert(t, c.Table() == nil)
}

func TestRouterLeavesControllerWithoutLeader(t *testing.T) {
	isolated := startStub(t, func(p peer) {
		p.send(t, routerWelcome(), snapshot(5), alive(5, time.Minute))
		p.drain()
	})
	connected := startStub(t, func(p peer) {
		p.send(t, routerWelcome(), delta(5, 6), alive(6, 0))
		p.drain()
	})
	c := startClient(t, Config{Controllers: []string{isolated.listener.Address(), connected.listener.Address()}})
	eventually(t, "revision 6", atRevision(c, 6))
}

func TestSilentSessionIsReplaced(t *testing.T) {
	stub := startStub(t, func(p peer) {
		p.send(t, routerWelcome())
		if p.number == 0 {
			p.send(t, snapshot(5))
		} else {
			p.send(t, delta(5, 6))
		}
		p.drain()
	})
	c := startClient(t, Config{Controllers: []string{stub.listener.Address()}, SilenceLimit: 20 * time.Millisecond})
	eventually(t, "revision 6", atRevision(c, 6))
	assert.Equal(t, stub.applied()[1], topology.Revision(5))
}

func TestFreshnessAddsLeaderContactAndNeedsNewestRevision(t *testing.T) {
	reading := new(atomic.Int64)
	reading.Store(int64(time.Hour))
	sendStale := make(chan struct{})
	stub := startStub(t, func(p peer) {
		p.send(t, routerWelcome(), snapshot(5))
		p.answerPing(t, 5, time.Second)
		<-sendStale
		p.send(t, alive(5, 0), delta(5, 6))
		p.answerPing(t, 7, 0)
		p.send(t, snapshot(6))
		p.drain()
	})
	c := startClient(t, Config{Controllers: []string{stub.listener.Address()}, SilenceLimit: time.Minute,
		PingInterval: time.Millisecond, Now: func() time.Duration { return time.Duration(reading.Load()) }})
	eventually(t, "a proof", func() bool { return c.Freshness(time.Hour) == time.Second })
	reading.Store(int64(2 * time.Hour))
	close(sendStale)
	// No proof of freshness comes from an unsolicited Alive, a delta, or an
	// answer that names a newer revision.
	eventually(t, "the message after Alive", func() bool { return c.Statistics().Snapshots == 2 })
	assert.Equal(t, c.Freshness(2*time.Hour), time.Hour+time.Second)
}

func TestDelayedPingAnswerCountsFromSendTime(t *testing.T) {
	reading := new(atomic.Int64)
	reading.Store(int64(time.Hour))
	asked := make(chan struct{})
	held := make(chan struct{})
	stub := startStub(t, func(p peer) {
		p.send(t, routerWelcome(), snapshot(5))
		ping := p.nextPing()
		close(asked)
		<-held
		p.send(t, answer(ping, 5, 0))
		p.drain()
	})
	c := startClient(t, Config{Controllers: []string{stub.listener.Address()}, SilenceLimit: time.Minute,
		Now: func() time.Duration { return time.Duration(reading.Load()) }})
	<-asked
	reading.Store(int64(2 * time.Hour))
	close(held)
	eventually(t, "a proof", func() bool { return c.Freshness(2*time.Hour) != NeverFresh })
	assert.Equal(t, c.Freshness(2*time.Hour), time.Hour)
}

func TestSendWithoutSessionFails(t *testing.T) {
	stub := startStub(t, func(p peer) {
		p.send(t, wire.FromController{Welcome: &wire.Welcome{Refusal: "unknown name"}})
	})
	c := startClient(t, Config{Controllers: []string{stub.listener.Address()}})
	eventually(t, "refusals", func() bool { return c.Statistics().FailedAttempts >= 2 })
	assert.ErrorIs(t, c.Send(wire.ToController{Released: &wire.Released{}}), ErrNoSession)
}

func TestQueuedMessageArrives(t *testing.T) {
	received := make(chan wire.Released, 1)
	stub := startStub(t, func(p peer) {
		p.send(t, routerWelcome(), snapshot(1))
		for {
			var message wire.ToController
			if p.Receive(&message) != nil {
				return
			}
			if message.Released != nil {
				received <- *message.Released
			}
		}
	})
	c := startClient(t, Config{Controllers: []string{stub.listener.Address()}, SilenceLimit: time.Minute})
	eventually(t, "a session", func() bool {
		return c.Send(wire.ToController{Released: &wire.Released{Epoch: 3}}) == nil
	})
	assert.Equal(t, (<-received).Epoch, topology.Epoch(3))
}

func TestConfigErrorsAreJoined(t *testing.T) {
	_, err := Start(Config{Role: topology.RoleAgent})
	for _, want := range []string{"name is empty", "no controller address", "needs a lease holder"} {
		assert.ErrorContains(t, err, want)
	}
}

// TestFirstRenewalOfNewSessionConfirmsAppliedRevision guards against an agent that
// gets no lease after a reconnect: without a change there is no new revision to
// confirm, and the leader grants no lease to an agent that has confirmed none.
func TestFirstRenewalOfNewSessionConfirmsAppliedRevision(t *testing.T) {
	renewed := make(chan topology.Revision, 1)
	stub := startStub(t, func(p peer) {
		p.send(t, agentWelcome())
		if p.number == 0 {
			p.send(t, snapshot(5))
		}
		for {
			var message wire.ToController
			if p.Receive(&message) != nil {
				return
			}
			if p.number == 0 && message.Applied != nil {
				return
			}
			if p.number == 1 && message.Renew != nil {
				renewed <- message.Renew.Applied
				p.acknowledge(5)
				return
			}
		}
	})
	startClient(t, Config{Role: topology.RoleAgent, Lease: &leaseRecorder{}, Controllers: []string{stub.listener.Address()}, SilenceLimit: time.Minute})
	assert.Equal(t, <-renewed, topology.Revision(5))
}

// TestEmptyDeltaIsCarriedAndConfirmedByRenewals checks that a revision without
// changes for the agent needs no messages of its own: its delta arrives with a
// RenewAck and is applied before the lease counts, and a Renew confirms it.
func TestEmptyDeltaIsCarriedAndConfirmedByRenewals(t *testing.T) {
	confirmed := make(chan topology.Revision, 1)
	separate := make(chan topology.Revision, 10)
	stub := startStub(t, func(p peer) {
		p.send(t, agentWelcome(), snapshot(5))
		for {
			var message wire.ToController
			if p.Receive(&message) != nil {
				return
			}
			switch {
			case message.Applied != nil:
				separate <- message.Applied.Revision
			case message.Renew != nil && message.Renew.Applied == 6:
				select {
				case confirmed <- 6:
				default:
				}
			case message.Renew != nil && message.Renew.Applied == 5:
				p.send(t, wire.FromController{
					RenewAck: &wire.RenewAck{SentAt: message.Renew.SentAt, Granted: time.Second, Revision: 6},
					Delta:    &wire.RoutingDelta{From: 5, To: 6},
				})
			}
		}
	})
	var c *Client
	lease := &leaseRecorder{}
	c = startClient(t, Config{Role: topology.RoleAgent, Lease: lease, Controllers: []string{stub.listener.Address()}, SilenceLimit: time.Minute})
	assert.Equal(t, <-confirmed, topology.Revision(6))
	assert.Equal(t, c.Table().Revision(), topology.Revision(6))
	assert.Assert(t, lease.count() > 0)
	assert.Assert(t, c.Freshness(c.config.Now()) != NeverFresh, "the table was at the revision of the answer")
	c.Stop()
	close(separate)
	for revision := range separate {
		assert.Equal(t, revision, topology.Revision(5), "confirmed by a message of its own")
	}
}
