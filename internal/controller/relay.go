package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// relayRetryDelay is the delay between two sessions or connection attempts.
	relayRetryDelay = 100 * time.Millisecond
	// relayDialTimeout limits the dial and the handshake.
	relayDialTimeout = 500 * time.Millisecond
	// maxPendingLoads limits the number of load reports that wait to be sent to
	// the leader.
	maxPendingLoads = 10_000
)

var errNoLeaderSession = errors.New("no session with the leader")

// relay is a follower's session with the leader. It forwards which revision
// each subscriber has in force and the load that routers observed, and requests
// the newest committed revision.
type relay struct {
	controller *Controller

	mutex     sync.Mutex
	conn      *transport.Conn
	loads     map[string]wire.RouterLoad
	barriers  map[uint64]chan wire.BarrierAck
	lastToken uint64
}

func newRelay(c *Controller) *relay {
	return &relay{
		controller: c,
		loads:      make(map[string]wire.RouterLoad),
		barriers:   make(map[uint64]chan wire.BarrierAck),
	}
}

// addLoad queues a router's load report for the leader, replacing an earlier
// one of the same router. The report is dropped if maxPendingLoads are queued.
func (r *relay) addLoad(router string, load *wire.RouterLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.loads) < maxPendingLoads {
		r.loads[router] = *load
	}
}

func (r *relay) drainLoads() []wire.RouterLoadFrom {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	loads := make([]wire.RouterLoadFrom, 0, len(r.loads))
	for router, load := range r.loads {
		loads = append(loads, wire.RouterLoadFrom{Router: router, Load: load})
	}
	clear(r.loads)
	return loads
}

// run keeps a session with the leader open until the context is cancelled.
func (r *relay) run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := r.leaderAddress(ctx); address != "" {
			r.runSession(ctx, address)
		}
		select {
		case <-time.After(relayRetryDelay):
		case <-ctx.Done():
		}
	}
}

// leaderAddress returns the leader's session address, or "" if this controller
// leads or the address is unknown.
func (r *relay) leaderAddress(ctx context.Context) string {
	c := r.controller
	found := make(chan string, 1)
	c.replica.Post(func() {
		status := c.replica.Status()
		if status.Leader == status.ID {
			found <- ""
			return
		}
		found <- c.leaderSessionAddress(status)
	})
	select {
	case address := <-found:
		return address
	case <-ctx.Done():
		return ""
	}
}

// runSession runs one session until it ends.
func (r *relay) runSession(ctx context.Context, address string) {
	dial, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, err := transport.Dial(dial, address, transport.Options{TLS: r.controller.config.LinkTLS})
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if r.handshake(conn) != nil {
		return
	}
	r.setConn(conn)
	defer r.setConn(nil)
	var sender sync.WaitGroup
	sender.Go(func() { r.report(conn) })
	r.receive(conn)
	_ = conn.Close()
	sender.Wait()
}

func (r *relay) handshake(conn *transport.Conn) error {
	c := r.controller
	status := c.replica.Status()
	conn.SetIdleTimeout(relayDialTimeout)
	err := conn.Send(wire.ToController{Hello: &wire.Hello{
		Group:    c.config.Group,
		Role:     topology.RoleController,
		Name:     "controller",
		Location: c.config.Location,
		Address:  c.sessionAddress(),
	}})
	if err != nil {
		return err
	}
	var answer wire.FromController
	if err := conn.Receive(&answer); err != nil {
		return err
	}
	if answer.Welcome == nil || !answer.Welcome.Leader {
		return errNoLeaderSession
	}
	conn.SetIdleTimeout(time.Second)
	return conn.Send(wire.ToController{Member: &wire.Member{
		ID:             status.ID,
		Incarnation:    status.Incarnation,
		PeerAddress:    c.replica.PeerAddress(),
		SessionAddress: c.sessionAddress(),
		RPCAddress:     c.rpcListener.Addr().String(),
	}})
}

// setConn sets the connection for barriers, nil for none. Barriers that wait on
// the previous one fail.
func (r *relay) setConn(conn *transport.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.conn = conn
	for token, waiter := range r.barriers {
		waiter <- wire.BarrierAck{Token: token, Failed: true}
		delete(r.barriers, token)
	}
}

// report sends reports until the connection closes. The first one includes
// every subscriber, later ones only changes.
func (r *relay) report(conn *transport.Conn) {
	all := true
	for {
		report := r.controller.subscribers.report(all, r.controller.now())
		report.Loads = r.drainLoads()
		if conn.Send(wire.ToController{Subscribers: &report}) != nil {
			return
		}
		all = false
		time.Sleep(inforce.ReportInterval)
	}
}

func (r *relay) receive(conn *transport.Conn) {
	for {
		var message wire.FromController
		if err := conn.Receive(&message); err != nil {
			return
		}
		if message.Redirect != nil {
			return
		}
		if message.BarrierAck != nil {
			r.completeBarrier(*message.BarrierAck)
		}
	}
}

func (r *relay) completeBarrier(ack wire.BarrierAck) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if waiter, ok := r.barriers[ack.Token]; ok {
		waiter <- ack
		delete(r.barriers, ack.Token)
	}
}

// barrier requests the newest committed revision from the leader.
func (r *relay) barrier(ctx context.Context) (topology.Revision, error) {
	r.mutex.Lock()
	conn := r.conn
	if conn == nil {
		r.mutex.Unlock()
		return 0, errNoLeaderSession
	}
	r.lastToken++
	token := r.lastToken
	answer := make(chan wire.BarrierAck, 1)
	r.barriers[token] = answer
	r.mutex.Unlock()
	defer r.removeBarrier(token)
	if err := conn.Send(wire.ToController{Barrier: &wire.Barrier{Token: token}}); err != nil {
		return 0, err
	}
	select {
	case ack := <-answer:
		if ack.Failed {
			return 0, errNoLeaderSession
		}
		return ack.Revision, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (r *relay) removeBarrier(token uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.barriers, token)
}
