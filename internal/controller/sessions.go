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
	// helloTimeout bounds the wait for Hello, and for the freshness that a
	// router's session needs.
	helloTimeout = 2 * time.Second
	// sessionIdle ends a session whose subscriber sends nothing: agents renew
	// and routers report far more often.
	sessionIdle = 15 * time.Second
	// greetingsAtOnce bounds the greetings in progress. The first message of a
	// session costs about a millisecond, as gob prepares its types anew; a
	// thousand agents that come at once after an election would keep the control
	// goroutine from the processor until the group elects another leader.
	greetingsAtOnce = 16
)

// session is one open session.
type session struct {
	controller *Controller
	conn       *transport.Conn
	hello      wire.Hello
	key        inforce.Key
	outbox     sessionOutbox
	closed     chan struct{}
	closeOnce  sync.Once

	// backend belongs to the control goroutine.
	backend topology.BackendID
	// sent belongs to the sending goroutine.
	sent topology.Revision
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
	running sync.WaitGroup
}

// add registers a session; it reports false once the controller stops.
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
	set.running.Add(1)
	return true
}

func (set *sessionSet) remove(s *session) {
	set.mutex.Lock()
	defer set.mutex.Unlock()
	delete(set.members, s)
	set.running.Done()
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

func (set *sessionSet) wait() { set.running.Wait() }

// acceptSessions accepts until the listener closes.
func (c *Controller) acceptSessions() {
	for {
		conn, err := c.sessions.Accept()
		if err != nil {
			return
		}
		s := &session{controller: c, conn: conn, closed: make(chan struct{})}
		s.outbox.wake = make(chan struct{}, 1)
		if !c.open.add(s) {
			_ = conn.Close()
			return
		}
		go s.run()
	}
}

// run greets and serves one session.
func (s *session) run() {
	defer s.controller.open.remove(s)
	defer s.close()
	s.conn.SetIdleTimeout(helloTimeout)
	first, err := s.receiveHello()
	if err != nil || first.Hello == nil {
		s.controller.metrics.refusedSessions.Inc()
		return
	}
	s.hello = *first.Hello
	s.key = inforce.Key{Role: s.hello.Role, Name: s.hello.Name, Address: s.hello.Address}
	if reason := s.refusal(); reason != "" {
		s.controller.metrics.refusedSessions.Inc()
		_ = s.conn.Send(wire.FromController{Welcome: &wire.Welcome{Refusal: reason}})
		return
	}
	s.sent = s.hello.Applied
	s.conn.SetIdleTimeout(sessionIdle)
	switch {
	case s.hello.Probe:
		s.probe()
	case s.hello.Role == topology.RoleAgent:
		s.serveAgent()
	case s.hello.Role == topology.RoleController:
		s.serveController()
	default:
		s.serveRouter()
	}
}

// receiveHello takes its turn among greetings, once there is something to
// receive: a silent peer takes none.
func (s *session) receiveHello() (first wire.ToController, err error) {
	if err := s.conn.Await(); err != nil {
		return first, err
	}
	turns := s.controller.greetings
	select {
	case turns <- struct{}{}:
	case <-s.closed:
		return first, errStopping
	}
	defer func() { <-turns }()
	err = s.conn.Receive(&first)
	return first, err
}

// refusal returns why the session is not served, or nothing.
func (s *session) refusal() string {
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

func (s *session) probe() {
	welcome := wire.Welcome{}
	s.onControl(func() { welcome = s.controller.welcome() })
	_ = s.conn.Send(wire.FromController{Welcome: &welcome})
}

// onControl runs a function on the control goroutine and waits for it. It
// reports false where the session ended first.
func (s *session) onControl(event func()) bool {
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

// welcome says what the controller is; on the control goroutine.
func (c *Controller) welcome() wire.Welcome {
	status := c.replica.Status()
	return wire.Welcome{
		Leader:        c.leads(c.replica.Now()),
		LeaderAddress: c.leaderSessionAddress(status),
		LeaseDuration: c.config.LeaseDuration,
		RenewInterval: c.config.RenewInterval,
	}
}

// serveRouter serves a router by any controller that has contact with the
// leader. It first confirms that its state is the newest, so that a router that
// comes back never gets older routing data than were in force.
func (s *session) serveRouter() {
	c := s.controller
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	if err := c.freshness.wait(ctx, c.replica.Now()); err != nil {
		_ = s.conn.Send(wire.FromController{Welcome: &wire.Welcome{Refusal: "no contact with a leader"}})
		return
	}
	var welcome wire.Welcome
	if !s.onControl(func() { welcome = c.welcome() }) {
		return
	}
	s.outbox.welcome(welcome)
	s.outbox.route(s.hello.Services)
	s.converse()
}

// converse sends and receives until the session ends.
func (s *session) converse() {
	c := s.controller
	c.subscribers.edit(func(tracker *inforce.Tracker) {
		tracker.Connected(s.key, &s.hello, c.now())
	})
	defer c.subscribers.edit(func(tracker *inforce.Tracker) {
		tracker.Disconnected(s.key, s.hello.Boot, c.now())
	})
	var sender sync.WaitGroup
	sender.Go(func() {
		defer s.close()
		s.sendAll()
	})
	s.receiveAll()
	s.close()
	sender.Wait()
}

func (s *session) receiveAll() {
	for {
		var message wire.ToController
		if err := s.conn.Receive(&message); err != nil {
			return
		}
		s.receive(&message)
	}
}

func (s *session) receive(message *wire.ToController) {
	c := s.controller
	switch {
	case message.Renew != nil:
		s.confirmed(message.Renew.Applied)
		c.replica.Post(func() { s.renew(message.Renew) })
	case message.Applied != nil:
		s.confirmed(message.Applied.Revision)
	case message.Warmed != nil:
		c.replica.Post(func() { c.coordinator.Warmed(s.backend, message.Warmed) })
	case message.Released != nil:
		c.replica.Post(func() { c.coordinator.Released(s.backend, message.Released) })
	case message.Ping != nil:
		c.subscribers.heard(s.key, s.hello.Boot, c.now())
		s.outbox.ping(*message.Ping)
	case message.RouterLoad != nil:
		c.subscribers.heard(s.key, s.hello.Boot, c.now())
		c.takeRouterLoad(s.hello.Name, message.RouterLoad)
	}
}

// confirmed notes which revision the subscriber has in force.
func (s *session) confirmed(revision topology.Revision) {
	c := s.controller
	c.subscribers.applied(s.key, s.hello.Boot, revision, c.now())
}
