package controller

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// sessionOutbox holds the messages that wait for a session's sender. Only the
// newest message of each kind is kept, since a later answer to a renewal
// supersedes an earlier one; barrier answers are all kept. Routing data is not
// queued here but taken from the published view.
type sessionOutbox struct {
	mutex   sync.Mutex
	pending outboxContent
	wake    chan struct{}
	// services limits the routing data to these services. routing is false while
	// an agent's back end is unknown; it gets no routing data then.
	services []topology.ServiceID
	routing  bool
}

type outboxContent struct {
	welcome  *wire.Welcome
	renewAck *wire.RenewAck
	redirect *wire.Redirect
	barriers []wire.BarrierAck
	// ping is a router's newest unanswered ping.
	ping *wire.Ping
	// emptyDelta is a delta without changes that is sent in the same message as
	// renewAck.
	emptyDelta *wire.RoutingDelta
}

func (o *sessionOutbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *sessionOutbox) update(edit func(pending *outboxContent)) {
	o.mutex.Lock()
	edit(&o.pending)
	o.mutex.Unlock()
	o.signal()
}

func (o *sessionOutbox) welcome(welcome wire.Welcome) {
	o.update(func(pending *outboxContent) { pending.welcome = &welcome })
}

func (o *sessionOutbox) renewAck(ack wire.RenewAck) {
	o.update(func(pending *outboxContent) { pending.renewAck = &ack })
}

func (o *sessionOutbox) redirect(address string) {
	o.update(func(pending *outboxContent) { pending.redirect = &wire.Redirect{LeaderAddress: address} })
}

func (o *sessionOutbox) ping(ping wire.Ping) {
	o.update(func(pending *outboxContent) { pending.ping = &ping })
}

func (o *sessionOutbox) barrierAck(ack wire.BarrierAck) {
	o.update(func(pending *outboxContent) { pending.barriers = append(pending.barriers, ack) })
}

// setRouting sets the services whose routing data the session gets.
func (o *sessionOutbox) setRouting(services []topology.ServiceID) {
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
	content = o.pending
	o.pending = outboxContent{}
	return content, o.services, o.routing
}

// sendLoop sends messages until the session ends.
func (s *session) sendLoop() {
	interval := s.controller.config.AliveInterval
	alive := time.NewTimer(interval)
	defer alive.Stop()
	due := false
	for {
		content, services, routing := s.outbox.take()
		update := s.nextUpdate(services, routing)
		if update.isRevisionOnly() {
			update = s.piggyback(update, &content, due)
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

// alive returns a message with the newest revision here and the time since it
// was last confirmed as the newest. It answers the ping if there is one. The
// age is read first: a revision that is applied in between only makes the state
// newer than the age says.
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
		messages = append(messages, wire.FromController{RenewAck: content.renewAck, Delta: content.emptyDelta})
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
// a snapshot at a given revision or a later one. The zero value means no
// update.
type routingUpdate struct {
	delta    *routingFrame
	snapshot topology.Revision
}

// isRevisionOnly reports whether nothing but the revision changes for the
// subscriber's services.
func (u routingUpdate) isRevisionOnly() bool { return u.delta != nil && u.delta.revisionOnly != nil }

// nextUpdate returns the update that the subscriber needs now.
func (s *session) nextUpdate(services []topology.ServiceID, routing bool) routingUpdate {
	view := s.controller.view.Load()
	if !routing || view.Newest() <= s.sentRevision {
		return routingUpdate{}
	}
	if s.sentRevision != 0 {
		if frame := s.controller.frames.delta(view, s.sentRevision, services); frame.found {
			return routingUpdate{delta: frame}
		}
	}
	return routingUpdate{snapshot: view.Newest()}
}

// piggyback adds an update that changes only the revision to a renewal answer,
// or defers it until another message is due. It returns what has to be sent
// separately. A router gets the update before the answer to its ping; otherwise
// the answer would name a revision that the router does not have, and would not
// confirm its routing data.
func (s *session) piggyback(update routingUpdate, content *outboxContent, due bool) routingUpdate {
	switch {
	case content.renewAck != nil:
		content.emptyDelta = update.delta.revisionOnly
		s.sentRevision = update.delta.to
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
		s.sentRevision = update.delta.to
		s.controller.metrics.deltas.Inc()
		return true, s.conn.SendEncoded(update.delta.encoded)
	case update.snapshot != 0:
		return true, s.sendSnapshot(services, update.snapshot)
	}
	return false, nil
}

func (s *session) sendSnapshot(services []topology.ServiceID, atLeast topology.Revision) error {
	snapshot, err := s.controller.snapshotAtLeast(s.closed, atLeast)
	if err != nil {
		return err
	}
	frame, err := s.controller.frames.encodedSnapshot(snapshot, services)
	if err != nil {
		return err
	}
	s.sentRevision = snapshot.Revision
	s.controller.metrics.snapshots.Inc()
	return s.conn.SendEncoded(frame)
}

// snapshotCache keeps the last routing snapshot, so that many subscribers that
// connect at the same time share one.
type snapshotCache struct {
	mutex sync.Mutex
	last  *wire.RoutingSnapshot
}

// snapshotAtLeast returns a routing snapshot at revision atLeast or later. A
// cached older one is also used if the published deltas lead from it to the
// newest revision.
func (c *Controller) snapshotAtLeast(cancel <-chan struct{}, atLeast topology.Revision) (*wire.RoutingSnapshot, error) {
	c.snapshots.mutex.Lock()
	defer c.snapshots.mutex.Unlock()
	if cached := c.snapshots.last; cached != nil {
		if cached.Revision >= atLeast || c.view.Load().CanExtend(cached.Revision) {
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
