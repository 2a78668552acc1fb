package replica

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// envelope is what travels between replicas. One of the pointers is set.
type envelope struct {
	Group topology.GroupID
	From  topology.ReplicaID
	// Address is where the sender takes connections of peers.
	Address  string
	Message  *consensus.Message
	Founding *foundingNotice
	Offer    *snapshotOffer
	Want     *snapshotWant
	Part     *snapshotPart
	// Received is, in what the receiving end of a connection says, how many
	// envelopes have come over it.
	Received uint64
}

const (
	// sendQueue bounds the messages that wait for one peer. What does not fit
	// is dropped, and the core sends it again.
	sendQueue      = 256
	dialTimeout    = time.Second
	redialInterval = 50 * time.Millisecond
	peerIdle       = 30 * time.Second
	// aliveInterval is how often the receiving end of a connection says how much
	// has come. The sending end opens another connection where it hears nothing
	// for peerSilence, or where nothing that it sent has come for peerStuck,
	// which leaves time for a snapshot. A connection may pass nothing on for
	// minutes after a cut has healed, while the sending end's kernel waits longer
	// and longer before it tries again, or for ever where something between has
	// forgotten it.
	aliveInterval = 250 * time.Millisecond
	peerSilence   = time.Second
	peerStuck     = 3 * time.Second
)

func peerOptions(config Config) transport.Options {
	return transport.Options{TLS: config.TLS, IdleTimeout: peerIdle}
}

// peerSet holds the connections to the other replicas. Messages are sent over
// connections that the sender opened; those that were accepted only receive.
type peerSet struct {
	r        *Replica
	listener *transport.Listener

	mu      sync.Mutex
	senders map[string]chan envelope
	learned map[topology.ReplicaID]string
	// open are the connections of either end that Stop closes.
	open   map[*transport.Conn]bool
	closed bool
	// sent counts the bytes written to peers.
	sent atomic.Uint64
}

func newPeerSet(r *Replica, listener *transport.Listener) *peerSet {
	return &peerSet{
		r:        r,
		listener: listener,
		senders:  map[string]chan envelope{},
		learned:  map[topology.ReplicaID]string{},
		open:     map[*transport.Conn]bool{},
	}
}

// learn keeps the address of a replica that may not be in the membership here.
func (s *peerSet) learn(id topology.ReplicaID, address string) {
	if id == 0 || address == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learned[id] = address
}

// send queues a message for its receiver.
func (s *peerSet) send(m consensus.Message, membership consensus.Membership) {
	address := s.address(m.To, membership)
	if address == "" {
		return
	}
	if m.Kind == consensus.MessageSnapshot {
		s.r.control.offerSnapshot(m, address)
		return
	}
	s.sendTo(address, envelope{Message: &m})
}

func (s *peerSet) address(id topology.ReplicaID, membership consensus.Membership) string {
	if member, ok := membership.Find(id); ok && member.Address != "" {
		return member.Address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.learned[id]
}

func (s *peerSet) sendTo(address string, e envelope) {
	e.Group = s.r.config.Group
	e.From = s.r.files.folder.Identity().Replica
	e.Address = s.listener.Address()
	select {
	case s.sender(address) <- e:
	default:
	}
}

// sender returns the queue of an address, whose goroutine is started at the
// first use.
func (s *peerSet) sender(address string) chan envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.senders[address]
	if ok || s.closed {
		return queue
	}
	queue = make(chan envelope, sendQueue)
	s.senders[address] = queue
	s.r.ended.Add(1)
	go s.runSender(address, queue)
	return queue
}

// runSender sends what is queued over a connection that it opens anew where
// needed. What cannot be sent is dropped.
func (s *peerSet) runSender(address string, queue chan envelope) {
	defer s.r.ended.Done()
	var conn *peerConn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for {
		select {
		case <-s.r.stopping:
			return
		case e := <-queue:
			if conn == nil {
				conn = s.dial(address)
			}
			if conn == nil {
				drop(queue)
			} else {
				before := conn.BytesSent()
				err := conn.send(e)
				s.sent.Add(conn.BytesSent() - before)
				if err != nil {
					conn = nil
				}
			}
		}
	}
}

// drop empties a queue: what waits while a peer is down is old by the time that
// it is back.
func drop(queue chan envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// dial opens a connection, or returns nil after a pause.
func (s *peerSet) dial(address string) *peerConn {
	ctx, cancel := context.WithTimeout(s.r.dialing, dialTimeout)
	defer cancel()
	options := peerOptions(s.r.config)
	options.IdleTimeout = peerSilence
	opened, err := s.r.config.dial(ctx, address, options)
	if err == nil {
		if !s.admit(opened, 1) {
			return nil
		}
		conn := &peerConn{Conn: opened}
		go s.watch(conn)
		return conn
	}
	select {
	case <-s.r.stopping:
	case <-time.After(redialInterval):
	}
	return nil
}

// peerConn is a connection that this replica sends on.
type peerConn struct {
	*transport.Conn
	sent atomic.Uint64
}

func (c *peerConn) send(e envelope) error {
	c.sent.Add(1)
	return c.Send(e)
}

// watch closes a connection once its receiving end is silent or gets nothing.
func (s *peerSet) watch(conn *peerConn) {
	defer s.r.ended.Done()
	defer s.release(conn.Conn)
	var received uint64
	advanced := s.r.Now()
	for {
		var alive envelope
		if conn.Receive(&alive) != nil {
			return
		}
		now := s.r.Now()
		if alive.Received > received || received == conn.sent.Load() {
			received = alive.Received
			advanced = now
		}
		if now-advanced > peerStuck {
			return
		}
	}
}

// accept takes connections until the listener is closed.
func (s *peerSet) accept() {
	defer s.r.ended.Done()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, transport.ErrClosed) {
			return
		}
		if err != nil {
			select {
			case <-s.r.stopping:
				return
			case <-time.After(redialInterval):
			}
			continue
		}
		if s.admit(conn, 2) {
			received := &atomic.Uint64{}
			go s.receive(conn, received)
			go s.sayAlive(conn, received)
		}
	}
}

// admit counts the goroutines that a new connection gets, or closes it where
// the replica is stopping.
func (s *peerSet) admit(conn *transport.Conn, goroutines int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.open[conn] = true
	s.r.ended.Add(goroutines)
	return true
}

// release closes a connection.
func (s *peerSet) release(conn *transport.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
}

// sayAlive tells the sending end of a connection how much has come.
func (s *peerSet) sayAlive(conn *transport.Conn, received *atomic.Uint64) {
	defer s.r.ended.Done()
	ticks := time.NewTicker(aliveInterval)
	defer ticks.Stop()
	for conn.Send(envelope{Group: s.r.config.Group, Received: received.Load()}) == nil {
		select {
		case <-ticks.C:
		case <-s.r.stopping:
			return
		}
	}
}

func (s *peerSet) receive(conn *transport.Conn, received *atomic.Uint64) {
	defer s.r.ended.Done()
	defer s.release(conn)
	for {
		var e envelope
		if conn.Receive(&e) != nil {
			return
		}
		received.Add(1)
		if e.Group != s.r.config.Group {
			return
		}
		select {
		case s.r.inbox <- e:
		case <-s.r.stopping:
			return
		}
	}
}

// close stops accepting and ends what is sent and received.
func (s *peerSet) close() error {
	s.mu.Lock()
	s.closed = true
	var closing sync.WaitGroup
	for conn := range s.open {
		closing.Go(func() { _ = conn.Close() })
	}
	closing.Wait()
	s.mu.Unlock()
	return s.listener.Close()
}
