package fleetcontroller

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// sessionOptions bound a session: a gateway reports several times in the idle
// timeout.
var sessionOptions = transport.Options{WriteTimeout: 2 * time.Second, IdleTimeout: 4 * time.Second}

// sendPause is the least time between two messages of a session, so that
// changes that come together travel together.
const sendPause = 5 * time.Millisecond

// session is one gateway's connection.
type session struct {
	conn *transport.Conn
	node string
	// number counts accepted connections: a process that has restarted has the higher one.
	number uint64
	wake   chan struct{}

	mutex sync.Mutex
	lease *fleetwire.Lease
	known *fleetwire.Instance
	// reportNow asks the gateway for a report.
	reportNow bool
	// ended tells the sender to stop; redirect says where the gateway goes on.
	ended    bool
	redirect *fleetwire.Redirect
}

func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// accept takes sessions until the listener is closed.
func (c *Controller) accept() {
	defer c.ended.Done()
	for number := uint64(1); ; number++ {
		conn, err := c.listener.Accept()
		if errors.Is(err, transport.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(sendPause)
			continue
		}
		c.ended.Add(1)
		go c.serve(conn, number)
	}
}

// serve reads one session from its Hello to its end.
func (c *Controller) serve(conn *transport.Conn, number uint64) {
	defer c.ended.Done()
	defer conn.Close()
	if !c.track(conn) {
		return
	}
	defer c.untrack(conn)
	var first fleetwire.ToController
	if err := conn.Receive(&first); err != nil || first.Hello == nil {
		c.logUnread("", err)
		return
	}
	if !c.leads() {
		redirect := c.redirect()
		redirect.Standing = c.standing()
		_ = conn.Send(fleetwire.FromController{Redirect: redirect})
		return
	}
	if join := first.Hello.Join; join != nil {
		_ = conn.Send(fleetwire.FromController{Admission: c.admit(c.running, join)})
		return
	}
	s := &session{conn: conn, node: first.Hello.Node, number: number, wake: make(chan struct{}, 1)}
	if !c.register(s) {
		return
	}
	defer c.unregister(s)
	c.ended.Add(1)
	go c.send(s, sent{version: first.Hello.Version, hello: first.Hello})
	c.member.Post(func() {
		c.control.newest[s.node] = max(c.control.newest[s.node], s.number)
		if c.control.planner != nil {
			s.mutex.Lock()
			s.known = c.control.planner.Known(s.node)
			s.mutex.Unlock()
			s.notify()
		}
	})
	for {
		var message fleetwire.ToController
		if err := conn.Receive(&message); err != nil {
			c.logUnread(s.node, err)
			return
		}
		if message.Report != nil {
			c.member.Post(func() { c.takeReport(s, message.Report) })
		}
		if confirmed := message.Confirmed; confirmed != nil {
			c.member.Post(func() { c.takeConfirmed(s, confirmed) })
		}
	}
}

// logUnread logs the end of a session that sent what can't be read: what was known
// before holds.
func (c *Controller) logUnread(node string, err error) {
	if errors.Is(err, transport.ErrDamaged) || errors.Is(err, transport.ErrFrameTooLarge) {
		c.config.Log.Warn("session sent what cannot be read", "node", fmt.Sprintf("%.64s", node), "error", err)
	}
}

// leads reports whether this controller may act as the leader now.
func (c *Controller) leads() bool { return c.member.IsLeader() }

func (c *Controller) redirect() *fleetwire.Redirect {
	return &fleetwire.Redirect{Leader: c.Leader(), Controllers: c.controllers(c.member.Status().Membership)}
}

// takeReport answers a report on the control goroutine, if this controller
// leads at this moment. What an earlier process of a gateway has sent may be read after the
// words of the present one: it does not know what that has granted, and is passed over.
func (c *Controller) takeReport(s *session, report *fleetwire.Report) {
	if s.number < c.control.newest[s.node] {
		return
	}
	status, now := c.member.Status(), c.member.Now()
	if c.control.planner == nil || !c.control.leadership.Leads(&status, now) {
		return
	}
	c.metrics.reports.Inc()
	lease := c.control.planner.Report(report, now)
	// The sender sends the present view with the lease, or has sent it before.
	lease.PassedOnFor = c.config.Configuration.ApplyWithin
	lease.ConfigurationFor = c.control.inForce.Grant(
		configlease.Gateway{Node: s.node, Boot: report.Boot}, report.Version, c.control.state.Version(), now)
	lease.EndsKnown = c.takeQuarantine(report.Quarantine)
	s.mutex.Lock()
	s.lease = lease
	s.mutex.Unlock()
	if len(report.Released) > 0 || report.Instance != nil && report.Instance.State != fleetwire.InstanceReady {
		c.decide(now)
	}
	c.publish()
	s.notify()
}

// send passes on leases and views as they change, to a gateway that has something
// already.
func (c *Controller) send(s *session, has sent) {
	defer c.ended.Done()
	defer s.conn.Close()
	for range s.wake {
		s.mutex.Lock()
		lease, known, ended, redirect := s.lease, s.known, s.ended, s.redirect
		reportNow := s.reportNow
		s.lease, s.known, s.reportNow = nil, nil, false
		s.mutex.Unlock()
		if ended {
			if redirect != nil {
				_ = s.conn.Send(fleetwire.FromController{Redirect: redirect})
			}
			return
		}
		news, err := c.news(&has)
		if err != nil {
			c.config.Log.Error("view not sent", "gateway", s.node, "error", err)
			return
		}
		message := fleetwire.FromController{Lease: lease, Known: known, ReportNow: reportNow, View: news}
		if message == (fleetwire.FromController{}) {
			continue
		}
		if s.conn.Send(message) != nil {
			return
		}
		time.Sleep(sendPause)
	}
}

// track notes an accepted connection, unless the controller is stopping.
func (c *Controller) track(conn *transport.Conn) bool {
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	if c.stopped {
		return false
	}
	c.connections[conn] = struct{}{}
	return true
}

func (c *Controller) untrack(conn *transport.Conn) {
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	delete(c.connections, conn)
}

// closeConnections closes what is still open and returns how many those were.
func (c *Controller) closeConnections() int {
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	for conn := range c.connections {
		_ = conn.Close()
	}
	return len(c.connections)
}

func (c *Controller) register(s *session) bool {
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	if c.stopped {
		return false
	}
	c.sessions[s] = struct{}{}
	return true
}

func (c *Controller) unregister(s *session) {
	c.sessionsMutex.Lock()
	delete(c.sessions, s)
	c.sessionsMutex.Unlock()
	s.end(nil)
}

// end stops a session's sender.
func (s *session) end(redirect *fleetwire.Redirect) {
	s.mutex.Lock()
	s.ended = true
	if redirect != nil {
		s.redirect = redirect
	}
	s.mutex.Unlock()
	s.notify()
}

// askConcerned asks the gateways for reports whose back ends' keys have changed.
func (c *Controller) askConcerned(concerned map[string]bool) {
	if len(concerned) == 0 {
		return
	}
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	for s := range c.sessions {
		if concerned[s.node] {
			s.mutex.Lock()
			s.reportNow = true
			s.mutex.Unlock()
			s.notify()
		}
	}
}

func (c *Controller) wakeSessions() {
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	for s := range c.sessions {
		s.notify()
	}
}

// closeSessions sends all gateways elsewhere.
func (c *Controller) closeSessions(final bool) {
	redirect := c.redirect()
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	c.stopped = c.stopped || final
	for s := range c.sessions {
		s.end(redirect)
	}
}
