package experiment

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// router routes by the real routing table, a little behind the leader.
type router struct {
	emulation *emulation
	name      string
	zone      int
	table     *routing.Table
	// held requests wait for a shard that is changing owner.
	held []*request
	// connections to each back end: open ones, and those in use.
	connections map[topology.BackendID]*connections
	// outcomes since the last report.
	outcomes map[topology.BackendID]*wire.ObservedBackend
}

type connections struct{ open, busy uint32 }

const (
	// routerReportInterval is how often a router reports.
	routerReportInterval = time.Second
	// connectTimeout is how long a router waits for a lost back end.
	connectTimeout = 250 * time.Millisecond
	// holdTimeout is the router's default HoldTimeout, and holdPause about its
	// longest pause between attempts at one owner.
	holdTimeout = 3 * time.Second
	holdPause   = 200 * time.Millisecond
)

func newRouter(e *emulation, number, zone int) *router {
	made := &router{
		emulation:   e,
		name:        fmt.Sprintf("router-%d", number+1),
		zone:        zone,
		table:       e.leader.routing(),
		connections: make(map[topology.BackendID]*connections),
		outcomes:    make(map[topology.BackendID]*wire.ObservedBackend),
	}
	e.queue.every(routerReportInterval, routerReportInterval, made.report)
	return made
}

// applied takes routing data and routes held requests again.
func (r *router) applied(table *routing.Table) {
	r.table = table
	held := r.held
	r.held = nil
	for _, request := range held {
		if request.held {
			request.held = false
			r.route(request)
		}
	}
}

// route sends a request to the owner of its shard, holds it while the shard
// changes owner, or answers it.
func (r *router) route(request *request) {
	now := r.emulation.queue.now
	if now >= request.deadline {
		r.emulation.measures.ended(request, endExpired)
		return
	}
	route, found := r.table.Lookup(r.emulation.leader.service, request.position)
	if !found || route.Owner == nil || route.Shard.Phase == topology.ShardReleasing {
		r.hold(request)
		return
	}
	request.shard, request.epoch = route.Shard.ID, route.Shard.Epoch
	r.send(request, r.emulation.server(route.Owner.ID))
}

// hold keeps a request until the next routing data or for a pause, and routes
// it again. After holdTimeout in all it is answered as not run.
func (r *router) hold(request *request) {
	now := r.emulation.queue.now
	if request.holdUntil == 0 {
		request.holdUntil = now + holdTimeout
	}
	if now >= request.holdUntil {
		r.emulation.measures.ended(request, endNoOwner)
		return
	}
	request.holds++
	request.held = true
	r.held = append(r.held, request)
	number := request.holds
	r.emulation.queue.after(holdPause, func() {
		if request.held && request.holds == number {
			request.held = false
			r.route(request)
		}
	})
}

func (r *router) send(request *request, to *server) {
	delay := r.emulation.distance(r.zone, to.zone)
	pool := r.pool(to.id)
	pool.busy++
	if pool.busy > pool.open {
		pool.open++
		delay += r.emulation.service.Backend.ConnectCost
	}
	r.emulation.queue.after(delay, func() { to.receive(request) })
}

func (r *router) pool(id topology.BackendID) *connections {
	known, found := r.connections[id]
	if !found {
		known = &connections{}
		r.connections[id] = known
	}
	return known
}

// answered takes the answer of a back end after the way back.
func (r *router) answered(request *request, from *server) {
	r.emulation.queue.after(r.emulation.distance(r.zone, from.zone), func() {
		r.pool(from.id).busy--
		r.outcome(from.id).Completed++
		r.emulation.measures.ended(request, endAnswered)
	})
}

// refused takes the proof of a back end that a request was not run. One that
// was routed by old data is routed again when there are newer.
func (r *router) refused(request *request, from *server, end requestEnd) {
	r.emulation.queue.after(r.emulation.distance(r.zone, from.zone), func() {
		r.pool(from.id).busy--
		if end != endMoved {
			r.emulation.measures.ended(request, end)
			return
		}
		route, _ := r.table.Lookup(r.emulation.leader.service, request.position)
		newer := route.Shard.Epoch != request.epoch || route.Shard.ID != request.shard
		if newer && route.Shard.Phase != topology.ShardReleasing {
			r.route(request)
			return
		}
		r.hold(request)
	})
}

// unreachable notices that a back end cannot be connected to, so that nothing
// was sent.
func (r *router) unreachable(request *request, to *server) {
	r.emulation.queue.after(connectTimeout, func() {
		pool := r.pool(to.id)
		pool.busy--
		pool.open = pool.busy
		r.outcome(to.id).Failed++
		r.hold(request)
	})
}

// lost notices that a back end is gone.
func (r *router) lost(request *request, from *server) {
	r.emulation.queue.after(connectTimeout, func() {
		pool := r.pool(from.id)
		pool.busy--
		pool.open = pool.busy
		r.outcome(from.id).Failed++
		r.emulation.measures.ended(request, endFailed)
	})
}

func (r *router) outcome(id topology.BackendID) *wire.ObservedBackend {
	known, found := r.outcomes[id]
	if !found {
		known = &wire.ObservedBackend{Backend: id}
		r.outcomes[id] = known
	}
	return known
}

func (r *router) report() {
	report := &wire.RouterLoad{}
	for _, server := range r.emulation.servers {
		if known, found := r.outcomes[server.id]; found {
			report.Observed = append(report.Observed, *known)
		}
	}
	clear(r.outcomes)
	r.emulation.queue.after(r.emulation.distance(r.zone, 0), func() {
		r.emulation.leader.routerReport(r.name, report)
	})
}
