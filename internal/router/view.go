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

// view combines a routing table with the endpoints and service states that it
// refers to. Goroutines that handle requests read it. It is immutable, and the
// objects it points to are safe for concurrent use.
type view struct {
	table     *routing.Table
	services  map[string]*serviceView
	endpoints map[topology.BackendID]*endpoint
	// replaced is closed when a newer view is published.
	replaced chan struct{}
}

// serviceView is the part of a view that belongs to one service.
type serviceView struct {
	service *routing.Service
	state   *serviceState
	// balanced lists the active back ends, for requests without a key.
	balanced []*endpoint
}

// publish builds and publishes the view of a new table. Calls must not overlap.
func (r *Router) publish(table *routing.Table) {
	previous := r.view.Load()
	next := &view{
		table:    table,
		services: make(map[string]*serviceView),
		replaced: make(chan struct{}),
	}
	sameBackends := previous != nil && table.SharesBackends(previous.table)
	if sameBackends {
		next.endpoints = previous.endpoints
	} else {
		next.endpoints = r.buildEndpoints(previous, table)
	}
	for service := range table.Services() {
		if sameBackends {
			next.services[service.Name] = r.reuseServiceView(service, previous)
		} else {
			next.services[service.Name] = r.newServiceView(service, next.endpoints)
		}
	}
	r.view.Store(next)
	if previous == nil {
		return
	}
	close(previous.replaced)
	if !sameBackends {
		r.closeRemovedEndpoints(previous, next)
	}
	r.cancelSuperseded(previous, next)
}

// buildEndpoints returns the endpoints of a table's back ends. It reuses those
// of the previous view.
func (r *Router) buildEndpoints(previous *view, table *routing.Table) map[topology.BackendID]*endpoint {
	endpoints := make(map[topology.BackendID]*endpoint)
	for backend := range table.Backends() {
		endpoints[backend.ID] = r.endpointFor(previous, backend)
	}
	return endpoints
}

// reuseServiceView returns the view of a service whose back ends did not
// change; only its shards may have changed.
func (r *Router) reuseServiceView(service *routing.Service, previous *view) *serviceView {
	old := previous.services[service.Name]
	if old.service == service {
		return old
	}
	return &serviceView{service: service, state: old.state, balanced: old.balanced}
}

// endpointFor returns the endpoint of a back end. It reuses the previous one if
// the address is the same.
func (r *Router) endpointFor(previous *view, backend *topology.Backend) *endpoint {
	if previous != nil {
		if old := previous.endpoints[backend.ID]; old != nil && old.address == backend.AgentAddress {
			return old
		}
	}
	return r.newEndpoint(backend)
}

func (r *Router) newEndpoint(backend *topology.Backend) *endpoint {
	result := &endpoint{
		id:       backend.ID,
		address:  backend.AgentAddress,
		sameZone: backend.Location.Zone == r.config.Location.Zone && backend.Location.Region == r.config.Location.Region,
	}
	var err error
	result.gate, err = gate.New(admission.Config{
		Slots:      r.config.AgentConnections,
		QueueLimit: queuedPerConnection * r.config.AgentConnections,
	}, r.config.Clock)
	if err != nil {
		r.config.Log.Error("failed to create connection gate for back end", "backend", backend.Name, "error", err)
		return result
	}
	pool, err := upstream.New(upstream.Config{
		Address:        backend.AgentAddress,
		MaxConnections: r.config.AgentConnections,
		Dial:           dialFunc(r.config.AgentTLS),
	})
	if err != nil {
		r.config.Log.Error("failed to create connection pool for back end", "backend", backend.Name, "error", err)
		return result
	}
	result.pool = pool
	return result
}

// dialFunc returns a function that dials over TLS, or nil, for the default, if
// config is nil.
func dialFunc(config *tls.Config) func(context.Context, string) (net.Conn, error) {
	if config == nil {
		return nil
	}
	dialer := &tls.Dialer{Config: config}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

func (r *Router) newServiceView(service *routing.Service, endpoints map[topology.BackendID]*endpoint) *serviceView {
	result := &serviceView{service: service, state: r.serviceStateFor(service)}
	for _, backend := range service.Backends() {
		if backend.State == topology.BackendActive {
			result.balanced = append(result.balanced, endpoints[backend.ID])
		}
	}
	return result
}

// closeRemovedEndpoints closes the connections of endpoints that are not in the
// next view, once their requests in progress have ended.
func (r *Router) closeRemovedEndpoints(previous, next *view) {
	for id, old := range previous.endpoints {
		if next.endpoints[id] != old && old.pool != nil {
			go old.pool.Close()
		}
	}
}
