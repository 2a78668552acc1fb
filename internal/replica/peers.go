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

// envelope is the message format between replicas. At most one of the pointers
// is set.
type envelope struct {
	Group topology.GroupID
	From  topology.ReplicaID
	// Address is where the sender accepts connections of peers.
	Address  string
	Message  *consensus.Message
	Founding *bootstrapNotice
	Offer    *snapshotOffer
	Want     *snapshotPartRequest
	Part     *snapshotPart
	// Received is set in keepalives, which the receiving end of a connection
	// sends. It is the number of envelopes received over the connection.
	Received uint64
}

const (
	// sendQueueSize bounds the messages queued for one peer. Messages that do not
	// fit are dropped; the core sends them again.
	sendQueueSize   = 256
	dialTimeout     = time.Second
	redialInterval  = 50 * time.Millisecond
	peerIdleTimeout = 30 * time.Second
	// keepaliveInterval is the interval at which the receiving end of a
	// connection reports how many messages it has received. The sending end opens
	// a new connection if it receives no keepalive for keepaliveTimeout, or if
	// messages are outstanding and none has arrived for progressTimeout, which
	// leaves time for a part of a snapshot. This is needed because a connection
	// may stall for minutes after a network partition has healed, as the sender's
	// kernel backs off its retransmissions, or forever if a middlebox has lost
	// its state.
	keepaliveInterval = 250 * time.Millisecond
	keepaliveTimeout  = time.Second
	progressTimeout   = 3 * time.Second
)

func peerOptions(config Config) transport.Options {
	return transport.Options{TLS: config.TLS, IdleTimeout: peerIdleTimeout}
}

// peerSet holds the connections to the other replicas. A replica sends messages
// over the connections that it opened and receives messages over those that it
// accepted.
type peerSet struct {
	r        *Replica
	listener *transport.Listener

	mu               sync.Mutex
	sendQueues       map[string]chan envelope
	learnedAddresses map[topology.ReplicaID]string
	// conns are the opened and the accepted connections, which Stop closes.
	conns  map[*transport.Conn]bool
	closed bool
	// bytesSent counts the bytes written to peers.
	bytesSent atomic.Uint64
}

func newPeerSet(r *Replica, listener *transport.Listener) *peerSet {
	return &peerSet{
		r:                r,
		listener:         listener,
		sendQueues:       map[string]chan envelope{},
		learnedAddresses: map[topology.ReplicaID]string{},
		conns:            map[*transport.Conn]bool{},
	}
}

// learnAddress records the address of a replica that may not be in the local
// membership.
func (s *peerSet) learnAddress(id topology.ReplicaID, address string) {
	if id == 0 || address == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.learnedAddresses[id] = address
}

// send queues a message for its receiver. A snapshot is offered instead of sent.
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
	return s.learnedAddresses[id]
}

func (s *peerSet) sendTo(address string, e envelope) {
	e.Group = s.r.config.Group
	e.From = s.r.files.folder.Identity().Replica
	e.Address = s.listener.Address()
	select {
	case s.queueFor(address) <- e:
	default:
	}
}

// queueFor returns the send queue of an address. The first call starts its
// sender goroutine.
func (s *peerSet) queueFor(address string) chan envelope {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, ok := s.sendQueues[address]
	if ok || s.closed {
		return queue
	}
	queue = make(chan envelope, sendQueueSize)
	s.sendQueues[address] = queue
	s.r.goroutines.Add(1)
	go s.runSender(address, queue)
	return queue
}

// runSender sends the queued messages, and reconnects if needed. Messages that
// cannot be sent are dropped.
func (s *peerSet) runSender(address string, queue chan envelope) {
	defer s.r.goroutines.Done()
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
				discardQueued(queue)
			} else {
				before := conn.BytesSent()
				err := conn.send(e)
				s.bytesSent.Add(conn.BytesSent() - before)
				if err != nil {
					conn = nil
				}
			}
		}
	}
}

// discardQueued empties a queue. Messages that were queued while a peer was down
// are outdated when it is back.
func discardQueued(queue chan envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}

// dial opens a connection. On an error it waits for redialInterval and returns
// nil.
func (s *peerSet) dial(address string) *peerConn {
	ctx, cancel := context.WithTimeout(s.r.dialContext, dialTimeout)
	defer cancel()
	options := peerOptions(s.r.config)
	options.IdleTimeout = keepaliveTimeout
	opened, err := s.r.config.dial(ctx, address, options)
	if err == nil {
		if !s.addConn(opened, 1) {
			return nil
		}
		conn := &peerConn{Conn: opened}
		go s.monitor(conn)
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

// monitor receives the keepalives of a connection. It closes the connection if
// they stop, or if messages are outstanding and none has arrived for
// progressTimeout.
func (s *peerSet) monitor(conn *peerConn) {
	defer s.r.goroutines.Done()
	defer s.removeConn(conn.Conn)
	var received uint64
	lastProgress := s.r.Now()
	for {
		var keepalive envelope
		if conn.Receive(&keepalive) != nil {
			return
		}
		now := s.r.Now()
		if keepalive.Received > received || received == conn.sent.Load() {
			received = keepalive.Received
			lastProgress = now
		}
		if now-lastProgress > progressTimeout {
			return
		}
	}
}

// acceptLoop accepts connections until the listener is closed.
func (s *peerSet) acceptLoop() {
	defer s.r.goroutines.Done()
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
		if s.addConn(conn, 2) {
			received := &atomic.Uint64{}
			go s.receiveLoop(conn, received)
			go s.sendKeepalives(conn, received)
		}
	}
}

// addConn registers a new connection and the number of goroutines that will
// serve it. If the replica is stopping, it closes the connection and returns
// false.
func (s *peerSet) addConn(conn *transport.Conn, goroutines int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = true
	s.r.goroutines.Add(goroutines)
	return true
}

// removeConn closes a connection and unregisters it.
func (s *peerSet) removeConn(conn *transport.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

// sendKeepalives reports to the sending end of a connection how many messages
// were received.
func (s *peerSet) sendKeepalives(conn *transport.Conn, received *atomic.Uint64) {
	defer s.r.goroutines.Done()
	ticks := time.NewTicker(keepaliveInterval)
	defer ticks.Stop()
	for conn.Send(envelope{Group: s.r.config.Group, Received: received.Load()}) == nil {
		select {
		case <-ticks.C:
		case <-s.r.stopping:
			return
		}
	}
}

func (s *peerSet) receiveLoop(conn *transport.Conn, received *atomic.Uint64) {
	defer s.r.goroutines.Done()
	defer s.removeConn(conn)
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

// close closes the listener and all connections.
func (s *peerSet) close() error {
	s.mu.Lock()
	s.closed = true
	var closing sync.WaitGroup
	for conn := range s.conns {
		closing.Go(func() { _ = conn.Close() })
	}
	closing.Wait()
	s.mu.Unlock()
	return s.listener.Close()
}
