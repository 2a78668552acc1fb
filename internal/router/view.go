package router

import (
	"context"
	"crypto/tls"
	"net"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/admission/gate"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

// view is what goroutines that carry requests read: a routing table and the
// connections, budgets and counts that belong to it. It is immutable; what it
// points to is safe for use by several goroutines.
type view struct {
	table    *routing.Table
	services map[string]*serviceView
	peers    map[topology.BackendID]*peer
	// changed is closed when a later view is published.
	changed chan struct{}
}

// serviceView is a service in one view.
type serviceView struct {
	service *routing.Service
	state   *serviceState
	// balanced are the back ends that take requests not bound to an owner.
	balanced []*peer
}

// publish makes the next view from a table. It is called by one goroutine at a
// time.
func (r *Router) publish(table *routing.Table) {
	previous := r.view.Load()
	next := &view{
		table:    table,
		services: make(map[string]*serviceView),
		changed:  make(chan struct{}),
	}
	shared := previous != nil && table.SharesBackends(previous.table)
	if shared {
		next.peers = previous.peers
	} else {
		next.peers = r.peersOf(previous, table)
	}
	for service := range table.Services() {
		if shared {
			next.services[service.Name] = r.nextServiceView(service, previous)
		} else {
			next.services[service.Name] = r.serviceViewOf(service, next.peers)
		}
	}
	r.view.Store(next)
	if previous == nil {
		return
	}
	close(previous.changed)
	if !shared {
		r.closePeersNotIn(previous, next)
	}
	r.cancelSuperseded(previous, next)
}

func (r *Router) peersOf(previous *view, table *routing.Table) map[topology.BackendID]*peer {
	peers := make(map[topology.BackendID]*peer)
	for backend := range table.Backends() {
		peers[backend.ID] = r.peerOf(previous, backend)
	}
	return peers
}

// nextServiceView is the view of a service whose back ends did not change: only
// its shards may have.
func (r *Router) nextServiceView(service *routing.Service, previous *view) *serviceView {
	earlier := previous.services[service.Name]
	if earlier.service == service {
		return earlier
	}
	return &serviceView{service: service, state: earlier.state, balanced: earlier.balanced}
}

// peerOf keeps the peer of a back end while its address stays.
func (r *Router) peerOf(previous *view, backend *topology.Backend) *peer {
	if previous != nil {
		if kept := previous.peers[backend.ID]; kept != nil && kept.address == backend.AgentAddress {
			return kept
		}
	}
	return r.newPeer(backend)
}

func (r *Router) newPeer(backend *topology.Backend) *peer {
	made := &peer{
		id:      backend.ID,
		address: backend.AgentAddress,
		near:    backend.Location.Zone == r.config.Location.Zone && backend.Location.Region == r.config.Location.Region,
	}
	var err error
	made.gate, err = gate.New(admission.Config{
		Slots:      r.config.AgentConnections,
		QueueLimit: queuedPerConnection * r.config.AgentConnections,
	}, r.config.Clock)
	if err != nil {
		r.config.Log.Error("back end has no usable limit", "backend", backend.Name, "error", err)
		return made
	}
	pool, err := upstream.New(upstream.Config{
		Address:        backend.AgentAddress,
		MaxConnections: r.config.AgentConnections,
		Dial:           dialFunc(r.config.AgentTLS),
	})
	if err != nil {
		r.config.Log.Error("back end has no usable address", "backend", backend.Name, "error", err)
		return made
	}
	made.pool = pool
	return made
}

// dialFunc dials over TLS where a configuration is given.
func dialFunc(config *tls.Config) func(context.Context, string) (net.Conn, error) {
	if config == nil {
		return nil
	}
	dialer := &tls.Dialer{Config: config}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

func (r *Router) serviceViewOf(service *routing.Service, peers map[topology.BackendID]*peer) *serviceView {
	made := &serviceView{service: service, state: r.stateOf(service)}
	for _, backend := range service.Backends() {
		if backend.State == topology.BackendActive {
			made.balanced = append(made.balanced, peers[backend.ID])
		}
	}
	return made
}

// closePeersNotIn closes the connections of back ends that went. Requests in
// progress end first.
func (r *Router) closePeersNotIn(previous, next *view) {
	for id, old := range previous.peers {
		if next.peers[id] != old && old.pool != nil {
			go old.pool.Close()
		}
	}
}
