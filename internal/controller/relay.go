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
	// relayRetry is the wait after a failed attempt.
	relayRetry = 100 * time.Millisecond
	// relayDialTimeout bounds a dial and the greeting.
	relayDialTimeout = 500 * time.Millisecond
	// maximumLoads bounds the routers' reports that wait for the leader.
	maximumLoads = 10_000
)

var errNoRelay = errors.New("no session with the leader")

// relay is the session of a controller that follows with the leader. It passes
// on who has which revision in force and what routers observed, and asks for
// the newest revision.
type relay struct {
	controller *Controller

	mutex    sync.Mutex
	conn     *transport.Conn
	loads    map[string]wire.RouterLoad
	barriers map[uint64]chan wire.BarrierAck
	token    uint64
}

func newRelay(c *Controller) *relay {
	return &relay{
		controller: c,
		loads:      make(map[string]wire.RouterLoad),
		barriers:   make(map[uint64]chan wire.BarrierAck),
	}
}

// addLoad keeps a router's report for the leader.
func (r *relay) addLoad(router string, load *wire.RouterLoad) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if len(r.loads) < maximumLoads {
		r.loads[router] = *load
	}
}

func (r *relay) takeLoads() []wire.RouterLoadFrom {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	loads := make([]wire.RouterLoadFrom, 0, len(r.loads))
	for router, load := range r.loads {
		loads = append(loads, wire.RouterLoadFrom{Router: router, Load: load})
	}
	clear(r.loads)
	return loads
}

// run keeps a session with the leader until the context ends.
func (r *relay) run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := r.leader(ctx); address != "" {
			r.converse(ctx, address)
		}
		select {
		case <-time.After(relayRetry):
		case <-ctx.Done():
		}
	}
}

// leader returns the session address of another controller that leads.
func (r *relay) leader(ctx context.Context) string {
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

// converse runs one session.
func (r *relay) converse(ctx context.Context, address string) {
	dial, cancel := context.WithTimeout(ctx, relayDialTimeout)
	defer cancel()
	conn, err := transport.Dial(dial, address, transport.Options{TLS: r.controller.config.LinkTLS})
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	if r.greet(conn) != nil {
		return
	}
	r.use(conn)
	defer r.use(nil)
	var sender sync.WaitGroup
	sender.Go(func() { r.report(conn) })
	r.receive(conn)
	_ = conn.Close()
	sender.Wait()
}

func (r *relay) greet(conn *transport.Conn) error {
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
		return errNoRelay
	}
	conn.SetIdleTimeout(time.Second)
	return conn.Send(wire.ToController{Member: &wire.Member{
		ID:             status.ID,
		Incarnation:    status.Incarnation,
		PeerAddress:    c.replica.PeerAddress(),
		SessionAddress: c.sessionAddress(),
		RPCAddress:     c.rpc.Addr().String(),
	}})
}

// use makes a session the one for barriers; nil fails those that wait.
func (r *relay) use(conn *transport.Conn) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.conn = conn
	for token, waiting := range r.barriers {
		waiting <- wire.BarrierAck{Token: token, Failed: true}
		delete(r.barriers, token)
	}
}

// report sends reports until the connection closes. The first names every
// subscriber.
func (r *relay) report(conn *transport.Conn) {
	all := true
	for {
		report := r.controller.subscribers.report(all, r.controller.now())
		report.Loads = r.takeLoads()
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
			r.barrierDone(*message.BarrierAck)
		}
	}
}

func (r *relay) barrierDone(ack wire.BarrierAck) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if waiting, ok := r.barriers[ack.Token]; ok {
		waiting <- ack
		delete(r.barriers, ack.Token)
	}
}

// barrier asks the leader for the newest committed revision.
func (r *relay) barrier(ctx context.Context) (topology.Revision, error) {
	r.mutex.Lock()
	conn := r.conn
	if conn == nil {
		r.mutex.Unlock()
		return 0, errNoRelay
	}
	r.token++
	token := r.token
	answer := make(chan wire.BarrierAck, 1)
	r.barriers[token] = answer
	r.mutex.Unlock()
	defer r.forget(token)
	if err := conn.Send(wire.ToController{Barrier: &wire.Barrier{Token: token}}); err != nil {
		return 0, err
	}
	select {
	case ack := <-answer:
		if ack.Failed {
			return 0, errNoRelay
		}
		return ack.Revision, nil
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func (r *relay) forget(token uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.barriers, token)
}
