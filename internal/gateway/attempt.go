package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// holdLimit bounds how long a request waits for its key to get an owner, or
	// its service an instance, and holdShare the part of its time for that.
	holdLimit = 1500 * time.Millisecond
	holdShare = 0.5
	// holdStep is how often a held request looks again without news.
	holdStep = 40 * time.Millisecond
	// handOverTime is what it takes until keys that are free have another owner: a report, an
	// entry of the log, a view and a grant.
	handOverTime = 150 * time.Millisecond
	// sameOwnerAgain is when the owner of a key that did not hold it is asked
	// again without news: it waits for the key itself (egress.awaitKey), so that the answer
	// says that it has not come for long.
	sameOwnerAgain = 200 * time.Millisecond
	// maxTries bounds how many gateways one request is offered to, and
	// maxRefusals after how many that had no room it is refused.
	maxTries    = 8
	maxRefusals = 2
	// crossZone is the least that a way to another zone counts, in seconds, and
	// crossZoneShare what it counts of the route's target: an answer that comes
	// well within the target is worth no less for coming somewhat later, and
	// bytes between zones are dear. crossZoneTransfer stands where the answer is
	// large: a transfer leaves its zone only where that has nothing to offer.
	crossZone         = 0.02
	crossZoneShare    = 0.25
	crossZoneTransfer = 1.0
	// choiceNoise spreads equal choices, as a share.
	choiceNoise = 0.1
)

// run tries a request until it has an answer or is given up. One that may have
// run at an earlier try does not end as one that has not.
func (g *Gateway) run(ctx context.Context, c *call) *forwardResult {
	result := g.runTries(ctx, c)
	if result.Outcome == outcomeNotRun && c.mayHaveRun != nil {
		return c.mayHaveRun
	}
	return result
}

// runTries returns the result of the last try.
func (g *Gateway) runTries(ctx context.Context, c *call) *forwardResult {
	key, hasKey := c.key, c.hasKey
	holdUntil := c.began.Add(min(holdLimit, time.Duration(holdShare*float64(c.deadline.Sub(c.began)))))
	tried := map[string]bool{}
	result := notRun(reasonNoInstance)
	sends, refusals := 0, 0
	for range maxTries {
		if g.views.load().evacuatedWholly(c.service.Name) {
			return notRun(reasonEvacuated)
		}
		trial, refusal := g.admitSuspect(ctx, c)
		if refusal != nil {
			return refusal
		}
		target, ok := g.choose(c, key, hasKey, tried)
		if !ok {
			g.trialEnds(c, trial, result)
			if !g.hold(ctx, holdUntil) {
				return result
			}
			clear(tried)
			continue
		}
		result = g.try(ctx, c, target, trial)
		g.trialEnds(c, trial, result)
		if result.Outcome == outcomeAnswered {
			g.noteAnswered(c.digest)
		}
		if result.Outcome != outcomeNotRun {
			c.mayHaveRun = result
		}
		if result.Sent {
			sends++
		}
		if result.Reason.full() {
			refusals++
		}
		if result.Reason == reasonEnded {
			g.quarantine.expect(c.digest(), steady.Now())
		}
		if endedUnder(c, result, trial) {
			return result
		}
		if refusals == maxRefusals || g.final(ctx, c, result, sends) {
			return result
		}
		if hasKey && !g.awaitOwner(ctx, c.service.Name, key, target.ID, result, holdUntil) {
			return result
		}
		tried[target.ID] = !hasKey
	}
	return result
}

// endedUnder reports whether a request's visit is over because its back end has ended: the
// request is likelier the cause than not where it was alone, or on trial. Where it has a key,
// that has no owner for longer than the visit should wait.
func endedUnder(c *call, result *forwardResult, trial uint64) bool {
	return result.Reason == reasonEnded && (result.AtWork <= 1 || trial != 0 || c.service.Keyed)
}

// final reports whether a result is the request's end.
func (g *Gateway) final(ctx context.Context, c *call, result *forwardResult, sends int) bool {
	if ctx.Err() != nil {
		return true
	}
	repeats := c.route.Repetition.MayRepeat()
	switch result.Outcome {
	case outcomeAnswered:
		// A back end that has requests waiting would fail again for want of room.
		if result.Status < http.StatusInternalServerError || !repeats || result.Load.waiting > 0 {
			return true
		}
	case outcomeUnknown:
		if !repeats {
			return true
		}
	}
	if !result.Sent {
		return c.service.Keyed && result.Reason.lasts()
	}
	if sends >= c.route.Attempts || steady.Until(c.deadline) < leastPatience {
		return true
	}
	allowed := g.budgets.repeat(c.service.Name, len(g.views.load().byID), steady.Now())
	g.metrics.repeat(c.service.Name, allowed)
	return !allowed
}

// hold waits a moment for news and reports whether the request may be tried
// again.
func (g *Gateway) hold(ctx context.Context, until time.Time) bool {
	left := steady.Until(until)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	g.views.load().await(ctx.Done(), min(left, holdStep))
	return ctx.Err() == nil
}

// awaitOwner waits, after a try at the owner of a key failed, until another try may
// end otherwise: the key has another owner, or a moment has passed. It reports
// whether the request may be tried again. One whose key has another owner only after that
// time is refused at once, with the time to come back: it would wait in vain.
func (g *Gateway) awaitOwner(ctx context.Context, service string, key keyspace.Key, tried string, failed *forwardResult, until time.Time) bool {
	pause := sameOwnerAgain
	switch failed.Reason {
	case reasonNotOwner, reasonNotAdmitted, reasonEvacuated:
	case reasonOwnerLost:
		if pause = failed.RetryAfter; steady.Reading().Add(pause).After(until) {
			return false
		}
	default:
		return g.hold(ctx, until)
	}
	again := steady.Reading().Add(pause)
	if again.After(until) {
		again = until
	}
	if steady.Until(until) <= 0 || ctx.Err() != nil {
		return false
	}
	for v := g.views.load(); steady.Reading().Before(again) && ctx.Err() == nil; v = g.views.load() {
		if owner, ok := v.owner(service, key); ok && owner.ID != tried {
			break
		}
		v.await(ctx.Done(), steady.Until(again))
	}
	return ctx.Err() == nil
}

// choose picks the instance for a request: the owner of its key, or the one
// expected to answer first among those not tried yet.
func (g *Gateway) choose(c *call, key keyspace.Key, hasKey bool, tried map[string]bool) (fleetwire.Instance, bool) {
	v := g.views.load()
	if hasKey {
		return v.owner(c.service.Name, key)
	}
	now := steady.Reading()
	var best fleetwire.Instance
	bestCost := 0.0
	for _, candidate := range v.instances[c.service.Name] {
		if tried[candidate.ID] || candidate.State != fleetwire.InstanceReady || v.evacuated(candidate.Zone) {
			continue
		}
		cost := g.cost(c, candidate, now)
		if best.ID == "" || cost < bestCost {
			best, bestCost = candidate, cost
		}
	}
	if best.Cold {
		g.takeShare(c.service, best, now)
	}
	return best, best.ID != ""
}

const (
	// avoidedCost and leavingCost put an instance behind all others, in seconds, and
	// coldCost a cold one that has got this gateway's share behind those that are well.
	avoidedCost = 100
	leavingCost = 50
	coldCost    = 45
)

// cost estimates how long a request takes at an instance, in seconds.
func (g *Gateway) cost(c *call, candidate fleetwire.Instance, now time.Time) float64 {
	var cost float64
	if candidate.Node == g.config.Name {
		load := g.slots.load()
		cost = load.expected(load.running+load.waiting, c.route.TargetLatency)
	} else {
		peer := g.peers.get(candidate.Address)
		expected, avoided := peer.expected(c.route.TargetLatency, now)
		cost = expected
		if c.route.Repetition == routeconfig.RepeatableTransfer {
			cost += peer.linkBacklog(now).Seconds()
		}
		if avoided {
			cost += avoidedCost
		}
	}
	cost *= 1 + choiceNoise*(rand.Float64()-0.5)
	if candidate.Zone != g.config.Zone {
		cost += zoneCost(c.route)
	}
	if candidate.Leaving {
		cost += leavingCost
	}
	if candidate.Cold && !g.hasShare(c.service, candidate, now) {
		cost += coldCost
	}
	return cost
}

// zoneCost is what a way to another zone counts for a request, in seconds.
func zoneCost(route *routeconfig.Route) float64 {
	if route.Repetition == routeconfig.RepeatableTransfer {
		return crossZoneTransfer
	}
	return max(crossZone, crossZoneShare*route.TargetLatency.Seconds())
}

// try offers a request to one instance.
func (g *Gateway) try(ctx context.Context, c *call, target fleetwire.Instance, trial uint64) *forwardResult {
	request := &forwardRequest{
		Method:   c.request.Method,
		URI:      c.request.RequestURI,
		Host:     c.request.Host,
		Header:   forwardable(c.request.Header),
		Body:     c.body,
		ID:       c.id,
		Service:  c.service.Name,
		Instance: target.ID,
		Key:      c.key,
		HasKey:   c.hasKey,
		Priority: c.route.Priority,
		Transfer: c.route.Repetition == routeconfig.RepeatableTransfer,
		Trial:    trial,
		Target:   c.route.TargetLatency,
		Due:      c.due(),
		Deadline: c.deadline,
	}
	names := &g.config.Headers
	request.Header.Set(names.CallerService, g.config.Service)
	request.Header.Del(names.TargetInstance)
	began := steady.Reading()
	if target.Node == g.config.Name {
		result := g.egress.serve(ctx, request)
		c.record(target.ID, target.Node, result, steady.Elapsed(began))
		return result
	}
	request.Header.Set(names.Deadline, milliseconds(max(steady.Until(c.deadline), time.Millisecond)))
	peer := g.peers.get(target.Address)
	peer.begin()
	result := peer.send(ctx, request)
	now := steady.Reading()
	peer.end(result, now)
	c.record(target.ID, target.Node, result, now.Sub(began))
	g.metrics.peerTry(result)
	return result
}
