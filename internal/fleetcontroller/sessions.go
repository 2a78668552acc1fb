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

// sessionOptions limits how long a session may be stalled. A gateway reports several times
// within the idle timeout.
var sessionOptions = transport.Options{WriteTimeout: 2 * time.Second, IdleTimeout: 4 * time.Second}

// sendPause is the minimum time between two messages of a session, so that changes
// that happen close together are sent together.
const sendPause = 5 * time.Millisecond

// session is a gateway's connection.
type session struct {
	conn *transport.Conn
	node string
	// number counts accepted connections, so that of two processes of a gateway the later
	// one has the higher number.
	number uint64
	wake   chan struct{}

	mutex         sync.Mutex
	lease         *fleetwire.Lease
	knownInstance *fleetwire.Instance
	// departures is the list to be sent, and departuresAt the index of its newest record.
	departures   *fleetwire.Departures
	departuresAt uint64
	// reportNow makes the sender request a report.
	reportNow bool
	// ended makes the sender stop, after it has sent redirect if that is set.
	ended    bool
	redirect *fleetwire.Redirect
}

func (s *session) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// accept serves connections until the listener is closed.
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

// serve receives the messages of one connection, from its Hello until it is closed.
func (c *Controller) serve(conn *transport.Conn, number uint64) {
	defer c.ended.Done()
	defer conn.Close()
	if !c.track(conn) {
		return
	}
	defer c.untrack(conn)
	var first fleetwire.ToController
	if err := conn.Receive(&first); err != nil || first.Hello == nil {
		c.logInvalidMessage("", err)
		return
	}
	if !c.leads() {
		redirect := c.redirect()
		redirect.Standing = c.operatorState()
		_ = conn.Send(fleetwire.FromController{Redirect: redirect})
		return
	}
	if join := first.Hello.Join; join != nil {
		_ = conn.Send(fleetwire.FromController{Admission: c.admit(c.runContext, join)})
		return
	}
	s := &session{conn: conn, node: first.Hello.Node, number: number, wake: make(chan struct{}, 1)}
	if !c.register(s) {
		return
	}
	defer c.unregister(s)
	c.ended.Add(1)
	go c.send(s, deliveredState{version: first.Hello.Version, hello: first.Hello})
	c.replica.Post(func() {
		c.control.newestSessions[s.node] = max(c.control.newestSessions[s.node], s.number)
		if c.control.planner != nil {
			s.mutex.Lock()
			s.knownInstance = c.control.planner.InstanceAt(s.node)
			s.mutex.Unlock()
			c.queueDepartures(s)
			s.notify()
		}
	})
	for {
		var message fleetwire.ToController
		if err := conn.Receive(&message); err != nil {
			c.logInvalidMessage(s.node, err)
			return
		}
		if message.Report != nil {
			c.replica.Post(func() { c.handleReport(s, message.Report) })
		}
		if confirmed := message.Confirmed; confirmed != nil {
			c.replica.Post(func() { c.handleConfirmed(s, confirmed) })
		}
	}
}

// logInvalidMessage logs the end of a session that sent an invalid message. What its gateway
// reported before stays valid.
func (c *Controller) logInvalidMessage(node string, err error) {
	if errors.Is(err, transport.ErrDamaged) || errors.Is(err, transport.ErrFrameTooLarge) {
		c.config.Log.Warn("session sent an invalid message", "node", fmt.Sprintf("%.64s", node), "error", err)
	}
}

// leads reports whether this controller may act as the leader now.
func (c *Controller) leads() bool { return c.replica.IsLeader() }

func (c *Controller) redirect() *fleetwire.Redirect {
	return &fleetwire.Redirect{Leader: c.Leader(), Controllers: c.controllers(c.replica.Status().Membership)}
}

// handleReport responds to a report if this controller currently leads. It runs on the control
// goroutine. A report of an earlier gateway process may be read after those of the current one.
// It is ignored, because that process doesn't know what the current one has granted.
func (c *Controller) handleReport(s *session, report *fleetwire.Report) {
	if s.number < c.control.newestSessions[s.node] {
		return
	}
	status, now := c.replica.Status(), c.replica.Now()
	if c.control.planner == nil || !c.control.leadership.MayAct(&status, now) {
		return
	}
	c.metrics.reports.Inc()
	c.recordDepartures(s.node, report.Departing)
	lease := c.control.planner.Report(report, now)
	// PassedOnFor applies to the current view, which the sender sends with the lease unless it
	// has done so before.
	lease.PassedOnFor = c.config.Configuration.ApplyWithin
	lease.ConfigurationFor = c.control.inForce.Grant(
		configlease.Gateway{Node: s.node, Boot: report.Boot}, report.Version, c.control.state.Version(), now)
	lease.Quota = c.grantQuota(s.node, report, now)
	lease.EndsKnown = c.handleQuarantine(report.Quarantine)
	// The first lease lets the gateway take the back end for ready, so the list must go with it.
	c.queueDepartures(s)
	s.mutex.Lock()
	s.lease = lease
	s.mutex.Unlock()
	if len(report.Released) > 0 || report.Instance != nil && report.Instance.State != fleetwire.InstanceReady {
		c.proposeMoves(now)
	}
	c.publish()
	s.notify()
}

// send sends leases and changes of the view to a gateway until the session ends. delivered is
// what the gateway already has.
func (c *Controller) send(s *session, delivered deliveredState) {
	defer c.ended.Done()
	defer s.conn.Close()
	for range s.wake {
		s.mutex.Lock()
		lease, knownInstance, departures, ended, redirect := s.lease, s.knownInstance, s.departures, s.ended, s.redirect
		reportNow := s.reportNow
		s.lease, s.knownInstance, s.departures, s.reportNow = nil, nil, nil, false
		s.mutex.Unlock()
		if ended {
			if redirect != nil {
				_ = s.conn.Send(fleetwire.FromController{Redirect: redirect})
			}
			return
		}
		viewUpdate, err := c.viewUpdate(&delivered)
		if err != nil {
			c.config.Log.Error("packing the view failed", "gateway", s.node, "error", err)
			return
		}
		message := fleetwire.FromController{Lease: lease, Known: knownInstance, Departures: departures, ReportNow: reportNow, View: viewUpdate}
		if message == (fleetwire.FromController{}) {
			continue
		}
		if s.conn.Send(message) != nil {
			return
		}
		time.Sleep(sendPause)
	}
}

// track registers an accepted connection. It returns false if the controller is stopping.
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

// closeConnections closes all open connections and returns their number.
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

// end makes a session's sender stop, after it has sent redirect if that isn't nil.
func (s *session) end(redirect *fleetwire.Redirect) {
	s.mutex.Lock()
	s.ended = true
	if redirect != nil {
		s.redirect = redirect
	}
	s.mutex.Unlock()
	s.notify()
}

// requestReports requests a report from each given gateway, as the keys of its back end have
// changed.
func (c *Controller) requestReports(gateways map[string]bool) {
	if len(gateways) == 0 {
		return
	}
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	for s := range c.sessions {
		if gateways[s.node] {
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

// closeSessions ends all sessions with a redirect. If final is set, no new ones are accepted.
func (c *Controller) closeSessions(final bool) {
	redirect := c.redirect()
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	c.stopped = c.stopped || final
	for s := range c.sessions {
		s.end(redirect)
	}
}
