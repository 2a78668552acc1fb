package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/selection"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// maxHoldTime bounds how long a request waits for its key to get an owner or for its
	// service to get an instance. maxHoldFraction bounds the same wait as a fraction of the
	// request's time.
	maxHoldTime     = 1500 * time.Millisecond
	maxHoldFraction = 0.5
	// holdRecheckInterval is how often a waiting request is reconsidered if no new view
	// arrives.
	holdRecheckInterval = 40 * time.Millisecond
	// ownerChangeTime is how long it takes until released keys have another owner: a report, a
	// log entry, a view and a grant.
	ownerChangeTime = 150 * time.Millisecond
	// sameOwnerRetryInterval is when a key's owner that did not hold the key is asked again if no
	// new view arrives. The owner itself waits for the key (egress.awaitKey), so its refusal
	// means that the key has been missing for a while.
	sameOwnerRetryInterval = 200 * time.Millisecond
	// maxAttempts bounds how many gateways one request is offered to. After maxRefusals
	// refusals for lack of capacity the request is refused.
	maxAttempts = 8
	maxRefusals = 2
	// costJitter spreads requests over instances of equal cost, as a fraction of the cost.
	// staleCostJitter applies to instances whose present load is unknown: many gateways may
	// have seen the same few as the best.
	costJitter      = 0.1
	staleCostJitter = 0.6
)

// serveWithRetries sends a request until it has a response or is given up. If an earlier
// attempt may have run, the request does not end as not-run.
func (g *Gateway) serveWithRetries(ctx context.Context, c *call) *forwardResult {
	result := g.runAttempts(ctx, c)
	if result.Outcome == outcomeNotRun && c.possiblyRun != nil {
		return c.possiblyRun
	}
	return result
}

// runAttempts makes attempts until one is final or no further attempt is possible, and returns
// the last result.
func (g *Gateway) runAttempts(ctx context.Context, c *call) *forwardResult {
	key, hasKey := c.key, c.hasKey
	holdUntil := c.began.Add(min(maxHoldTime, time.Duration(maxHoldFraction*float64(c.deadline.Sub(c.began)))))
	attempted := map[string]bool{}
	result := notRun(reasonNoInstance)
	var limits limitRefusals
	sends, refusals := 0, 0
	for range maxAttempts {
		if g.views.load().fullyEvacuated(c.service.Name) {
			return notRun(reasonEvacuated)
		}
		if g.outsideRegions(c) {
			return notRun(reasonOutsideRegions)
		}
		trial, refusal := g.admitSuspect(ctx, c)
		if refusal != nil {
			return refusal
		}
		target, limitWait, ok := g.choose(c, key, hasKey, attempted)
		if limits.final(result, limitWait, ok) {
			g.reportTrialEnd(c, trial, result)
			return result
		}
		if !ok {
			g.reportTrialEnd(c, trial, result)
			if !g.awaitNewView(ctx, holdUntil) {
				return result
			}
			clear(attempted)
			continue
		}
		result = g.attempt(ctx, c, target, trial)
		g.reportTrialEnd(c, trial, result)
		if result.Outcome == outcomeAnswered {
			g.clearAnsweredSuspect(c.digest)
		}
		if result.Outcome != outcomeNotRun {
			c.possiblyRun = result
		}
		if result.Sent {
			sends++
		}
		if result.Reason.isCapacity() {
			refusals++
		}
		limits.add(result)
		if result.Reason == reasonBackendCrashed {
			g.quarantine.expectCrash(c.digest(), steady.Now())
		}
		if finalAfterCrash(c, result, trial) {
			return result
		}
		if refusals == maxRefusals || g.isFinal(ctx, c, result, sends) {
			return result
		}
		if hasKey && !g.awaitOwner(ctx, c.service.Name, key, target.ID, result, holdUntil) {
			return result
		}
		attempted[target.ID] = !hasKey
	}
	return result
}

// finalAfterCrash reports whether a request is given up because its back end crashed. That is
// so if the request is the likely cause: it ran alone, or on trial. A request with a key is
// given up as well, because its key has no owner for longer than the request should wait.
func finalAfterCrash(c *call, result *forwardResult, trial uint64) bool {
	return result.Reason == reasonBackendCrashed && (result.RequestsRunning <= 1 || trial != 0 || c.service.Keyed)
}

// isFinal reports whether no further attempt follows a result.
func (g *Gateway) isFinal(ctx context.Context, c *call, result *forwardResult, sends int) bool {
	if ctx.Err() != nil {
		return true
	}
	retryable := c.route.Repetition.MayRepeat()
	switch result.Outcome {
	case outcomeAnswered:
		// A back end with a queue would fail again for lack of capacity.
		if result.Status < http.StatusInternalServerError || !retryable || result.Load.waiting > 0 {
			return true
		}
	case outcomeUnknown:
		if !retryable {
			return true
		}
	}
	if !result.Sent {
		return c.service.Keyed && result.Reason.persists()
	}
	if sends >= c.route.Attempts || steady.Until(c.deadline) < minSlotWait {
		return true
	}
	kind := resend
	if c.possiblyRun != nil {
		kind = rerun
	}
	allowed := g.budgets.allowRetry(c.service.Name, kind, len(g.views.load().byID), steady.Now())
	g.metrics.retry(c.service.Name, allowed)
	return !allowed
}

// awaitNewView waits briefly for a new view and reports whether the request may be attempted
// again.
func (g *Gateway) awaitNewView(ctx context.Context, until time.Time) bool {
	left := steady.Until(until)
	if left <= 0 || ctx.Err() != nil {
		return false
	}
	g.views.load().awaitNewer(ctx.Done(), min(left, holdRecheckInterval))
	return ctx.Err() == nil
}

// awaitOwner waits after a failed attempt at the owner of a key until another attempt may
// end differently: the key has another owner, or a pause has passed. It reports whether the
// request may be attempted again. If the key gets another owner only after the request's
// waiting time, the request is refused at once with a Retry-After time, as waiting would be
// in vain.
func (g *Gateway) awaitOwner(ctx context.Context, service string, key keyspace.Key, previous string, failed *forwardResult, until time.Time) bool {
	pause := sameOwnerRetryInterval
	switch failed.Reason {
	case reasonNotOwner, reasonNotAdmitted, reasonEvacuated:
	case reasonOwnerLost:
		if pause = failed.RetryAfter; steady.Reading().Add(pause).After(until) {
			return false
		}
	default:
		return g.awaitNewView(ctx, until)
	}
	retryAt := steady.Reading().Add(pause)
	if retryAt.After(until) {
		retryAt = until
	}
	if steady.Until(until) <= 0 || ctx.Err() != nil {
		return false
	}
	for v := g.views.load(); steady.Reading().Before(retryAt) && ctx.Err() == nil; v = g.views.load() {
		if owner, ok := v.owner(service, key); ok && owner.ID != previous {
			break
		}
		v.awaitNewer(ctx.Done(), steady.Until(retryAt))
	}
	return ctx.Err() == nil
}

// choose picks the instance for a request: the owner of its key, or the instance with the
// lowest expected response time among those not attempted yet. It looks at all instances only if
// none of those that this gateway considers is usable. limitWait is how long the chosen instance's
// rate limit allows no request, as far as that is known; it isn't for the owner of a key.
func (g *Gateway) choose(c *call, key keyspace.Key, hasKey bool, attempted map[string]bool) (chosen fleetwire.Instance, limitWait time.Duration, ok bool) {
	v := g.views.load()
	if hasKey {
		owner, ok := v.owner(c.service.Name, key)
		return owner, 0, ok
	}
	now := steady.Reading()
	considered, reliance := g.candidates.forRequest(g, v, c.service.Name, now)
	best, cost, limitWait := g.cheapest(c, v, considered, attempted, reliance, now)
	if all := v.instances[c.service.Name]; cost >= coldCost && len(all) > len(considered) {
		best, _, limitWait = g.cheapest(c, v, all, attempted, reliance, now)
	}
	if best.Cold {
		g.countWarmUpShare(c.service, best, now)
	}
	return best, limitWait, best.ID != ""
}

// cheapest returns the usable instance with the lowest cost and that cost, which is infinite if
// there is none, and how long its rate limit allows no request.
func (g *Gateway) cheapest(c *call, v *view, candidates []fleetwire.Instance, attempted map[string]bool, reliance time.Duration, now time.Time) (best fleetwire.Instance, bestCost float64, limitWait time.Duration) {
	bestCost = math.Inf(1)
	expectations := make([]expectation, 0, selection.NearSize+selection.FarSize)
	known, sum := 0, 0.0
	for _, candidate := range candidates {
		expected := g.expect(c, candidate, reliance, now)
		expected.leaving, expected.refused = g.statements.leaving(candidate.ID, g.drainGrace(), now)
		if expected.measured {
			known++
			sum += expected.serviceSeconds
		}
		expectations = append(expectations, expected)
	}
	others := comparison{averageSeconds: overload.InitialServiceTime.Seconds()}
	if known > 0 {
		others.averageSeconds = sum / float64(known)
	}
	others.considering = g.gatewayCount() * len(candidates) / max(len(v.instances[c.service.Name]), 1)
	bound := g.boundToOwnRegion(c, v)
	for i, candidate := range candidates {
		if bound && g.otherRegion(candidate.Zone) {
			continue
		}
		if attempted[candidate.ID] || expectations[i].refused || candidate.State != fleetwire.InstanceReady || v.evacuated(candidate.Zone) || !g.regionAllowed(c, candidate.Zone) {
			continue
		}
		if cost := g.cost(c, candidate, &expectations[i], &others, now); cost < bestCost {
			best, bestCost, limitWait = candidate, cost, expectations[i].limitWait
		}
	}
	return best, bestCost, limitWait
}

// expectation is what is known of the time that a request takes at an instance.
type expectation struct {
	// seconds is the expected duration, and serviceSeconds the part of it for which the request
	// would use a slot. They are relative to an unknown service time of 1 unless measured is set.
	seconds, serviceSeconds float64
	measured                bool
	// recent is set if the load that the instance reported is still valid.
	recent bool
	// avoided is set if the instance failed recently.
	avoided bool
	// linkBacklog is how long a large response waits for the link.
	linkBacklog time.Duration
	// limitWait is how long the instance's rate limit allows no further request.
	limitWait time.Duration
	// leaving is set if the instance stated that it is about to stop, and refused if it gets no
	// more requests for that reason.
	leaving, refused bool
}

// comparison is what an instance of which nothing is known is compared with.
type comparison struct {
	// averageSeconds is the average service time of the instances that are known.
	averageSeconds float64
	// considering is about how many gateways consider each instance.
	considering int
}

// expect returns what is known of the time that a request takes at an instance.
func (g *Gateway) expect(c *call, candidate fleetwire.Instance, reliance time.Duration, now time.Time) expectation {
	target := c.route.TargetLatency
	if candidate.Node != g.config.Name {
		return g.peers.get(candidate.Address).expect(target, reliance, now)
	}
	load := g.slots.load()
	return expectation{
		seconds:        load.expectedSeconds(load.running+load.waiting, target),
		serviceSeconds: load.serviceTimeFor(target).Seconds(),
		measured:       true,
		recent:         true,
		limitWait:      load.admitsAfter,
	}
}

const (
	// avoidedCost and leavingCost rank an instance behind all others, in seconds. coldCost
	// ranks a cold instance that has received this gateway's share of requests behind the
	// healthy ones, and limitedCost one whose rate limit allows no request now.
	avoidedCost = 100
	leavingCost = 50
	coldCost    = 45
	limitedCost = 45
	// unexploredSeconds is the service time that a gateway assumes of a back end that it is to
	// explore: less than any real one.
	unexploredSeconds = 1e-4
)

// cost estimates how long a request takes at an instance, in seconds, with penalties for
// instances that should be avoided. An instance of which nothing is known is tried at once by the
// gateways that explore it, and taken for average by the others.
func (g *Gateway) cost(c *call, candidate fleetwire.Instance, expected *expectation, others *comparison, now time.Time) float64 {
	cost := expected.seconds
	switch {
	case expected.measured:
	case selection.Explores(g.config.Name, candidate.ID, others.considering):
		cost *= unexploredSeconds
	default:
		cost *= others.averageSeconds
	}
	if c.route.Repetition == routeconfig.RepeatableTransfer {
		cost += expected.linkBacklog.Seconds()
	}
	if expected.avoided {
		cost += avoidedCost
	}
	jitter := costJitter
	if !expected.recent {
		jitter = staleCostJitter
	}
	cost *= 1 + jitter*(rand.Float64()-0.5)
	cost += g.distanceCost(c, candidate.Zone)
	if expected.limitWait > 0 {
		cost += limitedCost + expected.limitWait.Seconds()
	}
	if candidate.Leaving || expected.leaving {
		cost += leavingCost
	}
	if candidate.Cold && !g.withinWarmUpShare(c.service, candidate, now) {
		cost += coldCost
	}
	return cost
}

// attempt offers a request to one instance.
func (g *Gateway) attempt(ctx context.Context, c *call, target fleetwire.Instance, trial uint64) *forwardResult {
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
		Priority: routeconfig.RequestPriority(c.route, c.tenant),
		Transfer: c.route.Repetition == routeconfig.RepeatableTransfer,
		Trial:    trial,
		Limit:    g.statements.limit(target.ID),
		Target:   c.route.TargetLatency,
		Due:      c.due(),
		Deadline: c.deadline,
	}
	began := steady.Reading()
	if _, refused := g.statements.leaving(target.ID, g.drainGrace(), began); refused {
		result := notRun(reasonNotAdmitted)
		c.recordAttempt(target.ID, target.Node, result, 0)
		return result
	}
	names := &g.config.Headers
	request.Header.Set(names.CallerService, g.config.Service)
	request.Header.Del(names.TargetInstance)
	g.setTenant(request.Header, c.tenant)
	if target.Node == g.config.Name {
		result := g.egress.serve(ctx, request)
		g.statements.observe(target.ID, result, began)
		c.recordAttempt(target.ID, target.Node, result, steady.Elapsed(began))
		return result
	}
	request.Header.Set(names.Deadline, milliseconds(max(steady.Until(c.deadline), time.Millisecond)))
	peer := g.peers.get(target.Address)
	peer.beginAttempt()
	result := peer.send(ctx, request)
	now := steady.Reading()
	peer.endAttempt(result, now)
	g.statements.observe(target.ID, result, began)
	c.recordAttempt(target.ID, target.Node, result, now.Sub(began))
	g.metrics.peerAttempt(result)
	return result
}
