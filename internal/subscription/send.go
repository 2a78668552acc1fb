package subscription

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// session is the sending half of an open session.
type session struct {
	conn   *transport.Conn
	config Config
	outbox *outbox
	ended  chan struct{}

	// applied and sequence belong to the sending goroutine.
	applied  topology.Revision
	sequence uint64
}

// newSession returns the sending half of a session whose Hello confirmed the
// given revision.
func newSession(conn *transport.Conn, config Config, applied topology.Revision) *session {
	return &session{
		conn:    conn,
		config:  config,
		outbox:  &outbox{wake: make(chan struct{}, 1)},
		ended:   make(chan struct{}),
		applied: applied,
	}
}

func (s *session) end() { close(s.ended) }

// handleWelcome starts a router's pings, or an agent's renewals once the
// controllers have given it an ID.
func (s *session) handleWelcome(welcome wire.Welcome) {
	switch {
	case s.config.Lease == nil:
		s.outbox.setRenewInterval(s.config.PingInterval)
	case welcome.Backend != 0 && welcome.RenewInterval > 0:
		s.outbox.setRenewInterval(welcome.RenewInterval)
	}
}

// send sends the queued messages and the periodic renewals until the session
// ends. A failed Send closes the connection, which ends the receiving half.
func (s *session) send() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	renewalDue := false
	for {
		batch := s.outbox.take()
		if batch.renewInterval > 0 && (batch.renewNow || renewalDue) {
			batch.messages = append(batch.messages, s.renewal(batch))
			timer.Reset(batch.renewInterval)
			renewalDue = false
		}
		if !s.sendAll(batch) {
			return
		}
		select {
		case <-s.ended:
			return
		case <-s.outbox.wake:
		case <-timer.C:
			renewalDue = true
		}
	}
}

// sendAll sends a batch. It returns false when the connection has failed.
func (s *session) sendAll(batch outboxBatch) bool {
	if batch.confirmNow && batch.applied > s.applied {
		s.applied = batch.applied
		if s.conn.Send(wire.ToController{Applied: &wire.Applied{Revision: batch.applied}}) != nil {
			return false
		}
	}
	for _, message := range batch.messages {
		if s.conn.Send(message) != nil {
			return false
		}
	}
	return true
}

// renewal returns the periodic message: an agent's Renew or a router's Ping.
func (s *session) renewal(batch outboxBatch) wire.ToController {
	if s.config.Lease == nil {
		return wire.ToController{Ping: &wire.Ping{SentAt: s.config.Now()}}
	}
	var renew wire.Renew
	if s.config.Report != nil {
		renew = s.config.Report()
	}
	s.sequence++
	renew.Sequence = s.sequence
	renew.Applied = max(batch.applied, s.applied)
	if !batch.confirmNow {
		s.applied = renew.Applied
	}
	renew.SentAt = s.config.Now()
	return wire.ToController{Renew: &renew}
}

// outbox holds what the sending goroutine has to send. Of several confirmations
// only the newest revision is sent.
type outbox struct {
	mutex sync.Mutex
	next  outboxBatch
	wake  chan struct{}
}

// outboxBatch is the content of the outbox, taken by the sending goroutine.
type outboxBatch struct {
	messages []wire.ToController
	applied  topology.Revision
	// confirmNow requests an Applied message instead of waiting for the next
	// renewal.
	confirmNow bool
	renewNow   bool
	// renewInterval is zero until renewals start.
	renewInterval time.Duration
}

func (o *outbox) add(message wire.ToController) {
	o.update(func(next *outboxBatch) { next.messages = append(next.messages, message) })
}

// confirm records the applied revision. With withRenewal, the next renewal
// carries the confirmation; otherwise it is sent at once.
func (o *outbox) confirm(revision topology.Revision, withRenewal bool) {
	if withRenewal {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.next.applied = revision
		return
	}
	o.update(func(next *outboxBatch) {
		next.applied = revision
		next.confirmNow = true
	})
}

func (o *outbox) renewNow() {
	o.update(func(next *outboxBatch) { next.renewNow = true })
}

// setRenewInterval sets the interval of renewals. The first call also sends a
// renewal at once.
func (o *outbox) setRenewInterval(interval time.Duration) {
	o.update(func(next *outboxBatch) {
		next.renewNow = next.renewNow || next.renewInterval == 0
		next.renewInterval = interval
	})
}

func (o *outbox) update(edit func(next *outboxBatch)) {
	o.mutex.Lock()
	edit(&o.next)
	o.mutex.Unlock()
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) take() outboxBatch {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	taken := o.next
	o.next.messages = nil
	o.next.renewNow = false
	o.next.confirmNow = false
	return taken
}
