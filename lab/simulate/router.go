package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	holdTimeout     = 2 * time.Second
	recheckInterval = 50 * time.Millisecond
	sameOwnerPause  = 20 * time.Millisecond
	supersededGrace = 50 * time.Millisecond
	reportInterval  = time.Second
	routerDrain     = 8 * time.Second
)

// router is the emulated router: the real routing table, and the rules of
// holding, retrying and giving up of internal/router.
type router struct {
	*subscriber

	// The rest belongs to one life.
	pending  []*forwarding
	inFlight int
	draining bool
	observed map[topology.BackendID]*wire.ObservedBackend
}

func newRouter(c *cluster, name string) *router {
	p := newProcess(c.world, name)
	r := &router{}
	r.subscriber = &subscriber{process: p, cluster: c, role: topology.RoleRouter, address: name}
	r.hooks = subscriberHooks{onTable: r.tableChanged, onWelcome: func() {}}
	return r
}

func (r *router) launch() {
	r.process.start()
	r.pending = nil
	r.inFlight = 0
	r.draining = false
	r.observed = make(map[topology.BackendID]*wire.ObservedBackend)
	r.begin()
	r.every(reportInterval, r.reportLoad)
}

func (r *router) reportLoad() {
	load := &wire.RouterLoad{}
	for _, id := range sortedBackends(r.observed) {
		load.Observed = append(load.Observed, *r.observed[id])
	}
	clear(r.observed)
	if len(load.Observed) > 0 {
		r.send(wire.ToController{RouterLoad: load})
	}
}

func (r *router) observe(backend topology.BackendID) *wire.ObservedBackend {
	seen, ok := r.observed[backend]
	if !ok {
		seen = &wire.ObservedBackend{Backend: backend}
		r.observed[backend] = seen
	}
	return seen
}

// forwarding is one caller's request at the router.
type forwarding struct {
	router    *router
	request   *request
	deadline  time.Duration
	holdUntil time.Duration
	respond   func(reply)
	// attempt numbers the attempts; answers to earlier ones are dropped.
	attempt uint64
	waiting bool
	shard   topology.ShardID
	epoch   topology.Epoch
	backend topology.BackendID
	tried   bool
	// mayHaveRun is set once an attempt had an unknown outcome.
	mayHaveRun *reply
	done       bool
}

// handle takes a caller's request.
func (r *router) handle(q *request, left time.Duration, respond func(reply)) {
	f := &forwarding{router: r, request: q, deadline: r.clock() + left, respond: respond}
	r.inFlight++
	r.pending = append(r.pending, f)
	f.step()
}

// finish answers the caller once.
func (f *forwarding) finish(told reply) {
	if f.done {
		return
	}
	if told.outcome == wire.OutcomeNotRun && f.mayHaveRun != nil {
		told = *f.mayHaveRun
	}
	f.done = true
	f.router.inFlight--
	f.router.forget(f)
	f.respond(told)
}

func (r *router) forget(f *forwarding) {
	for i, known := range r.pending {
		if known == f {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}

// step finds the owner and sends the request, or holds it.
func (f *forwarding) step() {
	if f.done {
		return
	}
	r := f.router
	switch {
	case r.clock() >= f.deadline:
		f.finish(notRun(wire.ReasonExpired))
		return
	case !r.relies():
		f.finish(notRun(wire.ReasonStale))
		return
	}
	route, ok := r.lookup(f.request)
	if !ok {
		f.finish(notRun(wire.ReasonNotFound))
		return
	}
	serves := route.Shard.Phase == topology.ShardOwned || route.Shard.Phase == topology.ShardWarming
	same := f.tried && route.Shard.ID == f.shard && route.Shard.Epoch == f.epoch
	if !serves || route.Owner == nil || same {
		f.hold(same && serves)
		return
	}
	f.send(route)
}

func (r *router) lookup(q *request) (routing.Route, bool) {
	service, ok := r.table.ServiceByName(q.service)
	if !ok {
		return routing.Route{}, false
	}
	return r.table.LookupIn(service, q.position)
}

// hold keeps the request until the table changes, the pause before the same
// owner is tried again ends, or it has been held too long.
func (f *forwarding) hold(sameOwner bool) {
	r := f.router
	if f.holdUntil == 0 {
		f.holdUntil = r.clock() + holdTimeout
	}
	if r.clock() >= f.holdUntil {
		f.finish(notRun(wire.ReasonNoOwner))
		return
	}
	f.attempt++
	f.waiting = true
	attempt := f.attempt
	pause := recheckInterval
	if sameOwner {
		pause = sameOwnerPause
	}
	r.after(pause, func() {
		if f.done || f.attempt != attempt {
			return
		}
		f.waiting = false
		f.tried = f.tried && !sameOwner
		f.step()
	})
}

// send makes one attempt at an owner.
func (f *forwarding) send(route routing.Route) {
	r := f.router
	f.attempt++
	attempt := f.attempt
	f.tried = true
	f.shard, f.epoch, f.backend = route.Shard.ID, route.Shard.Epoch, route.Owner.ID
	to := r.cluster.agentAt(route.Owner.AgentAddress)
	if to == nil {
		f.ended(attempt, notRun(wire.ReasonUnreachable))
		return
	}
	wasUp, toLife, life := to.up, to.life, r.life
	shard, epoch, left := f.shard, f.epoch, f.deadline-r.clock()
	r.cluster.network.send(r.process, to.process, func() {
		to.handle(f.request, shard, epoch, left, func(told reply) {
			r.cluster.network.answer(to.process, r.process, life, func() { f.ended(attempt, told) })
		})
	}, func() {
		if !wasUp && to.life == toLife {
			f.ended(attempt, notRun(wire.ReasonUnreachable))
			return
		}
		f.ended(attempt, unknown(wire.ReasonInterrupted))
	})
	r.after(left, func() { f.ended(attempt, unknown(wire.ReasonTimedOut)) })
}

// ended judges an attempt. Answers that come after the attempt was given up
// are dropped.
func (f *forwarding) ended(attempt uint64, told reply) {
	if f.done || f.attempt != attempt {
		f.router.late(told)
		return
	}
	f.attempt++
	f.count(told)
	if told.outcome == wire.OutcomeUnknown {
		f.mayHaveRun = &told
	}
	if f.mayRetry(told) {
		f.step()
		return
	}
	f.finish(told)
}

// late drops an answer that came after its attempt was given up.
func (r *router) late(told reply) {
	wrong := told.outcome == wire.OutcomeAnswered && r.cluster.has(DefectLateAnswers)
	if wrong && len(r.pending) > 0 {
		r.pending[0].finish(told)
	}
}

func (f *forwarding) count(told reply) {
	seen := f.router.observe(f.backend)
	switch {
	case told.outcome == wire.OutcomeAnswered:
		seen.Completed++
	case told.reason == wire.ReasonTimedOut:
		seen.TimedOut++
	case told.outcome == wire.OutcomeUnknown:
		seen.Failed++
	}
}

// mayRetry says whether the request may be sent again: with proof that it did
// not run, or where it may run twice.
func (f *forwarding) mayRetry(told reply) bool {
	if f.router.clock() >= f.deadline {
		return false
	}
	switch told.outcome {
	case wire.OutcomeUnknown:
		return !f.request.nonRepeatable
	case wire.OutcomeNotRun:
		switch told.reason {
		case wire.ReasonWrongEpoch, wire.ReasonNoLease, wire.ReasonDraining, wire.ReasonUnreachable, wire.ReasonNoOwner:
			return true
		}
	}
	return false
}

// tableChanged lets held requests go on, and ends attempts whose shard has a
// new owner after a grace.
func (r *router) tableChanged(table *routing.Table) {
	for _, f := range append([]*forwarding(nil), r.pending...) {
		switch {
		case f.done:
		case f.waiting:
			f.waiting = false
			f.attempt++
			f.step()
		default:
			f.supersede(table)
		}
	}
}

func (f *forwarding) supersede(table *routing.Table) {
	shard, present := table.Shard(f.shard)
	if present && shard.Epoch <= f.epoch {
		return
	}
	attempt := f.attempt
	f.router.after(supersededGrace, func() { f.ended(attempt, unknown(wire.ReasonLeaseLost)) })
}

// stop is a planned stop: no request in progress is cut off.
func (r *router) stop(ended func()) {
	r.draining = true
	deadline := r.clock() + routerDrain
	r.awaitIdle(deadline, func() {
		if r.inFlight > 0 {
			r.world.violate(PlannedStop, "%s ended with %d requests in progress", r.name, r.inFlight)
		}
		r.process.kill()
		ended()
	})
}

func (r *router) awaitIdle(deadline time.Duration, next func()) {
	if r.inFlight == 0 || r.clock() >= deadline || r.cluster.has(DefectStopAtOnce) {
		next()
		return
	}
	r.after(stopPoll, func() { r.awaitIdle(deadline, next) })
}
