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

// newSession returns the sending half of a session whose Hello named a revision
// as in force.
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

// welcomed starts renewals once the controllers know the agent, and a router's
// pings.
func (s *session) welcomed(welcome wire.Welcome) {
	switch {
	case s.config.Lease == nil:
		s.outbox.renewEach(s.config.PingInterval)
	case welcome.Backend != 0 && welcome.RenewInterval > 0:
		s.outbox.renewEach(welcome.RenewInterval)
	}
}

// send sends what the outbox holds and renews in between, until the session
// ends. A failed Send closes the connection, which ends the receiving half.
func (s *session) send() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	<-timer.C
	renewalDue := false
	for {
		batch := s.outbox.take()
		if batch.renewEvery > 0 && (batch.renewNow || renewalDue) {
			batch.messages = append(batch.messages, s.renewal(batch))
			timer.Reset(batch.renewEvery)
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

// sendAll returns false when the connection is gone.
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

// renewal returns what is sent at each interval: a Renew, or a router's Ping.
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

// outbox holds what waits for the sending goroutine. Confirmations merge: only
// the newest revision is sent.
type outbox struct {
	mutex sync.Mutex
	next  outboxBatch
	wake  chan struct{}
}

// outboxBatch is what the sending goroutine takes at once.
type outboxBatch struct {
	messages []wire.ToController
	applied  topology.Revision
	// confirmNow asks for a message that says so, in place of the next renewal.
	confirmNow bool
	renewNow   bool
	// renewEvery is zero until renewals have started.
	renewEvery time.Duration
}

func (o *outbox) add(message wire.ToController) {
	o.change(func(next *outboxBatch) { next.messages = append(next.messages, message) })
}

// confirm notes the revision in force. A patient confirmation waits for the next
// renewal.
func (o *outbox) confirm(revision topology.Revision, patient bool) {
	if patient {
		o.mutex.Lock()
		defer o.mutex.Unlock()
		o.next.applied = revision
		return
	}
	o.change(func(next *outboxBatch) {
		next.applied = revision
		next.confirmNow = true
	})
}

func (o *outbox) renewNow() {
	o.change(func(next *outboxBatch) { next.renewNow = true })
}

// renewEach sets the interval of renewals, the first of which is sent at once.
func (o *outbox) renewEach(interval time.Duration) {
	o.change(func(next *outboxBatch) {
		next.renewNow = next.renewNow || next.renewEvery == 0
		next.renewEvery = interval
	})
}

func (o *outbox) change(edit func(next *outboxBatch)) {
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
