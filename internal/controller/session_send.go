package controller

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// sessionOutbox holds what waits for a session's sender. Each kind is kept
// once, the newest: a later answer to a renewal makes an earlier one useless.
// Routing data are not kept here but taken from the published view.
type sessionOutbox struct {
	mutex sync.Mutex
	next  outboxContent
	wake  chan struct{}
	// services limits the routing data; routing is false for an agent that is
	// not known yet and gets none.
	services []topology.ServiceID
	routing  bool
}

type outboxContent struct {
	welcome  *wire.Welcome
	renewAck *wire.RenewAck
	redirect *wire.Redirect
	barriers []wire.BarrierAck
	// ping is the newest question of a router.
	ping *wire.Ping
	// beside is an empty delta that goes with renewAck.
	beside *wire.RoutingDelta
}

func (o *sessionOutbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *sessionOutbox) change(edit func(next *outboxContent)) {
	o.mutex.Lock()
	edit(&o.next)
	o.mutex.Unlock()
	o.signal()
}

func (o *sessionOutbox) welcome(welcome wire.Welcome) {
	o.change(func(next *outboxContent) { next.welcome = &welcome })
}

func (o *sessionOutbox) renewAck(ack wire.RenewAck) {
	o.change(func(next *outboxContent) { next.renewAck = &ack })
}

func (o *sessionOutbox) redirect(address string) {
	o.change(func(next *outboxContent) { next.redirect = &wire.Redirect{LeaderAddress: address} })
}

func (o *sessionOutbox) ping(ping wire.Ping) {
	o.change(func(next *outboxContent) { next.ping = &ping })
}

func (o *sessionOutbox) barrierAck(ack wire.BarrierAck) {
	o.change(func(next *outboxContent) { next.barriers = append(next.barriers, ack) })
}

// route sets which routing data the session gets.
func (o *sessionOutbox) route(services []topology.ServiceID) {
	o.mutex.Lock()
	o.services = services
	o.routing = true
	o.mutex.Unlock()
	o.signal()
}

// take empties the outbox.
func (o *sessionOutbox) take() (content outboxContent, services []topology.ServiceID, routing bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	content = o.next
	o.next = outboxContent{}
	return content, o.services, o.routing
}

// sendAll sends until the session ends.
func (s *session) sendAll() {
	interval := s.controller.config.AliveInterval
	alive := time.NewTimer(interval)
	defer alive.Stop()
	due := false
	for {
		content, services, routing := s.outbox.take()
		update := s.nextUpdate(services, routing)
		if update.onlyRevision() {
			update = s.hold(update, &content, due)
		}
		sent, err := s.sendContent(content)
		if err != nil {
			return
		}
		updated, err := s.sendUpdate(update, services)
		if err != nil {
			return
		}
		if content.ping != nil || (due && !sent && !updated) {
			err = s.conn.Send(wire.FromController{Alive: s.alive(content.ping)})
			if err != nil {
				return
			}
		}
		if due || sent || updated {
			alive.Reset(interval)
			due = false
		}
		select {
		case <-s.outbox.wake:
		case <-alive.C:
			due = true
		case <-s.closed:
			return
		}
	}
}

// alive reports the newest revision here and how old that knowledge is, as the
// answer to a ping if there is one. The age is read first: a revision that
// comes in between only makes it newer.
func (s *session) alive(ping *wire.Ping) *wire.Alive {
	contact := s.controller.leaderContact()
	message := &wire.Alive{Revision: s.controller.view.Load().Newest(), LeaderContact: contact}
	if ping != nil {
		message.Answers = true
		message.PingSentAt = ping.SentAt
	}
	return message
}

func (s *session) sendContent(content outboxContent) (sent bool, err error) {
	var messages []wire.FromController
	if content.welcome != nil {
		messages = append(messages, wire.FromController{Welcome: content.welcome})
	}
	if content.renewAck != nil {
		messages = append(messages, wire.FromController{RenewAck: content.renewAck, Delta: content.beside})
	}
	for index := range content.barriers {
		messages = append(messages, wire.FromController{BarrierAck: &content.barriers[index]})
	}
	if content.redirect != nil {
		messages = append(messages, wire.FromController{Redirect: content.redirect})
	}
	for _, message := range messages {
		if err := s.conn.Send(message); err != nil {
			return true, err
		}
	}
	return len(messages) > 0, nil
}

// routingUpdate is what brings a subscriber to the newest revision: a delta, or
// a snapshot of a revision or a later one. The zero value is nothing.
type routingUpdate struct {
	delta    *routingFrame
	snapshot topology.Revision
}

// onlyRevision reports whether nothing changes for the subscriber's services.
func (u routingUpdate) onlyRevision() bool { return u.delta != nil && u.delta.empty != nil }

// nextUpdate returns what the subscriber needs now.
func (s *session) nextUpdate(services []topology.ServiceID, routing bool) routingUpdate {
	view := s.controller.view.Load()
	if !routing || view.Newest() <= s.sent {
		return routingUpdate{}
	}
	if s.sent != 0 {
		if frame := s.controller.frames.delta(view, s.sent, services); frame.found {
			return routingUpdate{delta: frame}
		}
	}
	return routingUpdate{snapshot: view.Newest()}
}

// hold puts an update that changes only the revision beside an answer to a
// renewal, or keeps it until something else is sent. It returns what is to be
// sent by itself. A router gets it before the answer to its ping, which else
// would prove nothing.
func (s *session) hold(update routingUpdate, content *outboxContent, due bool) routingUpdate {
	switch {
	case content.renewAck != nil:
		content.beside = update.delta.empty
		s.sent = update.delta.to
		return routingUpdate{}
	case content.ping == nil && !due:
		return routingUpdate{}
	}
	return update
}

func (s *session) sendUpdate(update routingUpdate, services []topology.ServiceID) (sent bool, err error) {
	switch {
	case update.delta != nil:
		if update.delta.err != nil {
			return true, update.delta.err
		}
		s.sent = update.delta.to
		s.controller.metrics.deltas.Inc()
		return true, s.conn.SendEncoded(update.delta.encoded)
	case update.snapshot != 0:
		return true, s.sendSnapshot(services, update.snapshot)
	}
	return false, nil
}

func (s *session) sendSnapshot(services []topology.ServiceID, atLeast topology.Revision) error {
	snapshot, err := s.controller.snapshotSince(s.closed, atLeast)
	if err != nil {
		return err
	}
	frame, err := s.controller.frames.whole(snapshot, services)
	if err != nil {
		return err
	}
	s.sent = snapshot.Revision
	s.controller.metrics.snapshots.Inc()
	return s.conn.SendEncoded(frame)
}

// snapshotCache keeps the last routing snapshot, so that many subscribers that
// come at once share one.
type snapshotCache struct {
	mutex sync.Mutex
	last  *wire.RoutingSnapshot
}

// snapshotSince returns a routing snapshot at a revision or a later one. A
// cached one that the published deltas lead on from will do as well.
func (c *Controller) snapshotSince(cancel <-chan struct{}, atLeast topology.Revision) (*wire.RoutingSnapshot, error) {
	c.snapshots.mutex.Lock()
	defer c.snapshots.mutex.Unlock()
	if cached := c.snapshots.last; cached != nil {
		if cached.Revision >= atLeast || c.view.Load().LeadsOn(cached.Revision) {
			return cached, nil
		}
	}
	taken := make(chan wire.RoutingSnapshot, 1)
	c.replica.Post(func() { taken <- c.state.Routing() })
	select {
	case snapshot := <-taken:
		c.snapshots.last = &snapshot
		return &snapshot, nil
	case <-cancel:
		return nil, context.Canceled
	}
}
