package simulate

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	grantWait  = 500 * time.Millisecond
	grantPoll  = 10 * time.Millisecond
	queueLimit = 200
)

// reply is what an agent or a router answers.
type reply struct {
	outcome wire.Outcome
	reason  wire.Reason
	answer  answer
}

func notRun(reason wire.Reason) reply  { return reply{outcome: wire.OutcomeNotRun, reason: reason} }
func unknown(reason wire.Reason) reply { return reply{outcome: wire.OutcomeUnknown, reason: reason} }
func answered(content answer) reply    { return reply{outcome: wire.OutcomeAnswered, answer: content} }

// exchange is one request at an agent.
type exchange struct {
	agent    *agent
	request  *request
	shard    topology.ShardID
	epoch    topology.Epoch
	deadline time.Duration
	held     *served
	respond  func(reply)
	recorded bool
	done     bool
}

// handle takes a request of a router.
func (a *agent) handle(r *request, shard topology.ShardID, epoch topology.Epoch, left time.Duration, respond func(reply)) {
	x := &exchange{agent: a, request: r, shard: shard, epoch: epoch, deadline: a.clock() + left, respond: respond}
	x.admit(a.clock() + grantWait)
}

// admit checks the fence; it waits while the back end is being granted the
// shard.
func (x *exchange) admit(giveUp time.Duration) {
	a := x.agent
	now := a.clock()
	if a.closedToNew() {
		x.respond(notRun(wire.ReasonDraining))
		return
	}
	if err := a.holder.Admits(x.shard, x.epoch, now); err != nil {
		x.respond(notRun(fenceReason(err)))
		return
	}
	held, ok := a.served[x.shard]
	switch {
	case ok && held.epoch == x.epoch && held.closed:
		x.respond(notRun(wire.ReasonDraining))
	case ok && held.epoch == x.epoch:
		x.enter(held)
	case now >= x.deadline:
		x.respond(notRun(wire.ReasonExpired))
	case now >= giveUp:
		x.respond(notRun(wire.ReasonNoLease))
	default:
		a.after(grantPoll, func() { x.admit(giveUp) })
	}
}

func fenceReason(err error) wire.Reason {
	switch {
	case errors.Is(err, ownership.ErrNoLease):
		return wire.ReasonNoLease
	case errors.Is(err, ownership.ErrReleasing):
		return wire.ReasonDraining
	}
	return wire.ReasonWrongEpoch
}

func (x *exchange) enter(held *served) {
	x.held = held
	held.running++
	x.agent.running++
	x.agent.cluster.drains.admitted(x.agent)
	if x.request.nonRepeatable {
		x.record()
		return
	}
	x.forward()
}

// finish answers the router once.
func (x *exchange) finish(answer reply) {
	if x.done {
		return
	}
	x.done = true
	x.held.leave()
	x.agent.running--
	x.agent.next()
	x.respond(answer)
}

// record admits the request's id; a fresh one is sent once it is synced.
func (x *exchange) record() {
	a := x.agent
	verdict, err := a.ledger.Admit(x.shard, x.epoch, x.request.id, x.request.number, a.unixMilli())
	switch {
	case errors.Is(err, requestrecord.ErrEarly) && a.clock() < x.deadline:
		a.after(grantPoll, x.record)
	case err != nil:
		x.finish(notRun(wire.ReasonInvalid))
	case verdict.Decision == requestrecord.Fresh:
		x.recorded = true
		a.journal.afterSync(x.forward)
	case verdict.Decision == requestrecord.Answered:
		x.finish(answered(answerOf(x.request)))
	case verdict.Decision == requestrecord.Mismatch:
		x.finish(notRun(wire.ReasonInvalid))
	default:
		x.finish(unknown(wire.ReasonRecordLost))
	}
}

// forward waits for a slot.
func (x *exchange) forward() {
	a := x.agent
	switch {
	case a.inSlots() < slots:
		x.send()
	case len(a.queue) >= queueLimit:
		x.refuse(wire.ReasonShed)
	default:
		a.queue = append(a.queue, x.send)
	}
}

// inSlots counts the requests that hold a slot.
func (a *agent) inSlots() int { return a.running - len(a.queue) }

// next gives a free slot to the longest waiting request.
func (a *agent) next() {
	if len(a.queue) == 0 {
		return
	}
	first := a.queue[0]
	a.queue = a.queue[1:]
	a.later(first)
}

// refuse ends a request that was not sent.
func (x *exchange) refuse(reason wire.Reason) {
	if x.recorded {
		x.agent.ledger.Abandon(x.shard, x.request.id)
	}
	x.finish(notRun(reason))
}

// send passes the request to the back end, once.
func (x *exchange) send() {
	a := x.agent
	if a.clock() >= x.deadline {
		x.refuse(wire.ReasonExpired)
		return
	}
	if err := a.holder.Owns(x.shard, x.epoch, a.clock()); err != nil {
		x.refuse(fenceReason(err))
		return
	}
	server, life := a.backend, a.life
	// A reset connection proves nothing: the back end may have run the request.
	reset := func() { x.lose(wire.ReasonInterrupted) }
	a.cluster.network.send(a.process, server.process, func() {
		server.run(x.request, x.shard, x.epoch, func(outcome backendOutcome, content answer) {
			a.cluster.network.answer(server.process, a.process, life, func() { x.take(outcome, content) })
		})
	}, reset)
	a.after(x.deadline-a.clock(), func() { x.lose(wire.ReasonTimedOut) })
}

// lose ends a request of which it is not known whether it ran.
func (x *exchange) lose(reason wire.Reason) {
	if x.done {
		return
	}
	if x.recorded {
		x.agent.ledger.MarkOutcomeUnknown(x.shard, x.request.id)
	}
	if x.agent.cluster.has(DefectTimeoutIsNotRun) {
		x.finish(notRun(wire.ReasonUnreachable))
		return
	}
	x.finish(unknown(reason))
}

// take judges the back end's answer and checks the fence before it is
// released.
func (x *exchange) take(outcome backendOutcome, content answer) {
	if x.done {
		return
	}
	a := x.agent
	switch outcome {
	case backendRefused:
		x.refuse(wire.ReasonWrongEpoch)
		return
	case backendDiscarded:
		x.lose(wire.ReasonLeaseLost)
		return
	}
	a.count(x.shard.Shard, x.request.work)
	if x.recorded {
		a.ledger.Finish(x.shard, x.request.id, &requestrecord.Answer{Status: statusOK})
	}
	if a.holder.Owns(x.shard, x.epoch, a.clock()) != nil {
		x.finish(unknown(wire.ReasonLeaseLost))
		return
	}
	x.finish(answered(content))
}

const statusOK = 200

// count adds a finished request to the load report.
func (a *agent) count(shard topology.ShardNumber, work time.Duration) {
	load, ok := a.loads[shard]
	if !ok {
		load = &wire.ShardLoad{Shard: shard}
		a.loads[shard] = load
	}
	load.Requests++
	load.BusyMicros += uint32(work.Microseconds())
}
