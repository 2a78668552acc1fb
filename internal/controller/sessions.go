package controller

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// helloTimeout limits the wait for Hello and, in a router's session, for the
	// confirmation that the state is the newest.
	helloTimeout = 2 * time.Second
	// sessionIdleTimeout closes a session whose subscriber sends nothing. Agents
	// renew and routers report far more often.
	sessionIdleTimeout = 15 * time.Second
	// maxConcurrentHandshakes limits the number of handshakes in progress.
	// Decoding the first message of a session takes about 1 ms, because gob
	// compiles its type information anew. A thousand agents that reconnect at
	// once after an election would starve the control goroutine of CPU time until
	// the group elects another leader.
	maxConcurrentHandshakes = 16
)

// session is an open session of a router, an agent or a follower.
type session struct {
	controller *Controller
	conn       *transport.Conn
	hello      wire.Hello
	key        inforce.Key
	outbox     sessionOutbox
	closed     chan struct{}
	closeOnce  sync.Once

	// backend is accessed only on the control goroutine.
	backend topology.BackendID
	// sentRevision is the revision that was sent last. It is accessed only on the
	// sending goroutine.
	sentRevision topology.Revision
}

func (s *session) close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.conn.Close()
	})
}

// sessionSet holds all open sessions.
type sessionSet struct {
	mutex   sync.Mutex
	members map[*session]struct{}
	stopped bool
	active  sync.WaitGroup
}

// add registers a session. It returns false if the controller is stopping.
func (set *sessionSet) add(s *session) bool {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	if set.stopped {
		return false
	}
	if set.members == nil {
		set.members = make(map[*session]struct{})
	}
	set.members[s] = struct{}{}
	set.active.Add(1)
	return true
}

func (set *sessionSet) remove(s *session) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	delete(set.members, s)
	set.active.Done()
}

func (set *sessionSet) wakeAll() {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	for s := range set.members {
		s.outbox.signal()
	}
}

func (set *sessionSet) closeAll() {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	set.stopped = true
	for s := range set.members {
		s.close()
	}
}

func (set *sessionSet) count() int {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	return len(set.members)
}

func (set *sessionSet) wait() { set.active.Wait() }

// acceptSessions accepts connections until the listener is closed.
func (c *Controller) acceptSessions() {
	for {
		conn, err := c.sessionListener.Accept()
		if err != nil {
			return
		}
		s := &session{controller: c, conn: conn, closed: make(chan struct{})}
		s.outbox.wake = make(chan struct{}, 1)
		if !c.openSessions.add(s) {
			_ = conn.Close()
			return
		}
		go s.run()
	}
}

// run performs the handshake and serves the session.
func (s *session) run() {
	defer s.controller.openSessions.remove(s)
	defer s.close()
	s.conn.SetIdleTimeout(helloTimeout)
	first, err := s.receiveHello()
	if err != nil || first.Hello == nil {
		s.controller.metrics.refusedSessions.Inc()
		return
	}
	s.hello = *first.Hello
	s.key = inforce.Key{Role: s.hello.Role, Name: s.hello.Name, Address: s.hello.Address}
	if reason := s.refusalReason(); reason != "" {
		s.controller.metrics.refusedSessions.Inc()
		_ = s.conn.Send(wire.FromController{Welcome: &wire.Welcome{Refusal: reason}})
		return
	}
	s.sentRevision = s.hello.Applied
	s.conn.SetIdleTimeout(sessionIdleTimeout)
	switch {
	case s.hello.Probe:
		s.answerProbe()
	case s.hello.Role == topology.RoleAgent:
		s.serveAgent()
	case s.hello.Role == topology.RoleController:
		s.serveController()
	default:
		s.serveRouter()
	}
}

// receiveHello receives the first message. It acquires a handshake slot only
// once there is data to read, so that a silent peer does not occupy one.
func (s *session) receiveHello() (first wire.ToController, err error) {
	if err := s.conn.WaitForMessage(); err != nil {
		return first, err
	}
	slots := s.controller.handshakeSlots
	select {
	case slots <- struct{}{}:
	case <-s.closed:
		return first, errStopping
	}
	defer func() { <-slots }()
	err = s.conn.Receive(&first)
	return first, err
}

// refusalReason returns why the session is rejected, or "" if it is accepted.
func (s *session) refusalReason() string {
	switch {
	case s.hello.Group != s.controller.config.Group:
		return "this controller belongs to another group"
	case s.hello.Role < topology.RoleController || s.hello.Role > topology.RoleAgent:
		return "unknown role"
	case s.hello.Name == "":
		return "the name is missing"
	}
	return ""
}

func (s *session) answerProbe() {
	welcome := wire.Welcome{}
	s.runOnControl(func() { welcome = s.controller.welcome() })
	_ = s.conn.Send(wire.FromController{Welcome: &welcome})
}

// runOnControl runs event on the control goroutine and waits for it. It returns
// false if the session ended first.
func (s *session) runOnControl(event func()) bool {
	done := make(chan struct{})
	s.controller.replica.Post(func() {
		event()
		close(done)
	})
	select {
	case <-done:
		return true
	case <-s.closed:
		return false
	}
}

// welcome returns the Welcome message for the controller's current role. It
// runs on the control goroutine.
func (c *Controller) welcome() wire.Welcome {
	status := c.replica.Status()
	return wire.Welcome{
		Leader:        c.leads(c.replica.Now()),
		LeaderAddress: c.leaderSessionAddress(status),
		LeaseDuration: c.config.LeaseDuration,
		RenewInterval: c.config.RenewInterval,
	}
}

// serveRouter serves a router at any controller that is in contact with the
// leader. It first confirms that the local state is the newest, so that a
// router that reconnects never gets older routing data than it had in force.
func (s *session) serveRouter() {
	c := s.controller
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	if err := c.freshness.wait(ctx, c.replica.Now()); err != nil {
		_ = s.conn.Send(wire.FromController{Welcome: &wire.Welcome{Refusal: "no contact with a leader"}})
		return
	}
	var welcome wire.Welcome
	if !s.runOnControl(func() { welcome = c.welcome() }) {
		return
	}
	s.outbox.welcome(welcome)
	s.outbox.setRouting(s.hello.Services)
	s.exchangeMessages()
}

// exchangeMessages sends and receives until the session ends.
func (s *session) exchangeMessages() {
	c := s.controller
	c.subscribers.editTracker(func(tracker *inforce.Tracker) {
		tracker.Connected(s.key, &s.hello, c.now())
	})
	defer c.subscribers.editTracker(func(tracker *inforce.Tracker) {
		tracker.Disconnected(s.key, s.hello.Boot, c.now())
	})
	var sender sync.WaitGroup
	sender.Go(func() {
		defer s.close()
		s.sendLoop()
	})
	s.receiveLoop()
	s.close()
	sender.Wait()
}

func (s *session) receiveLoop() {
	for {
		var message wire.ToController
		if err := s.conn.Receive(&message); err != nil {
			return
		}
		s.handleMessage(&message)
	}
}

func (s *session) handleMessage(message *wire.ToController) {
	c := s.controller
	switch {
	case message.Renew != nil:
		s.recordApplied(message.Renew.Applied)
		c.replica.Post(func() { s.renew(message.Renew) })
	case message.Applied != nil:
		s.recordApplied(message.Applied.Revision)
	case message.Warmed != nil:
		c.replica.Post(func() { c.coordinator.Warmed(s.backend, message.Warmed) })
	case message.Released != nil:
		c.replica.Post(func() { c.coordinator.Released(s.backend, message.Released) })
	case message.Ping != nil:
		c.subscribers.setContact(s.key, s.hello.Boot, c.now())
		s.outbox.ping(*message.Ping)
	case message.RouterLoad != nil:
		c.subscribers.setContact(s.key, s.hello.Boot, c.now())
		c.recordRouterLoad(s.hello.Name, message.RouterLoad)
	}
}

// recordApplied records which revision the subscriber has in force.
func (s *session) recordApplied(revision topology.Revision) {
	c := s.controller
	c.subscribers.setApplied(s.key, s.hello.Boot, revision, c.now())
}
