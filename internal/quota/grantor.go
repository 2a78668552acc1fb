package quota

import (
	"math"
	"time"
)

const (
	// reserve is the part of each quota that is not leased as long as nobody needs it, so that a
	// gateway that gets a tenant's first request there has a share at once.
	reserve = wholeQuota / 4
	// limitedReserve replaces reserve while a tenant asks for more than its quota: what is not
	// leased then is lost to it.
	limitedReserve = wholeQuota / 50
	// demandTime is the time constant of the average of a holder's demand.
	demandTime = 2 * time.Second
	// firstInterval is taken as the time since the last report of a holder that has none.
	firstInterval = 500 * time.Millisecond
	// idleWeight is the weight of a holder without demand, as a fraction of the quota's rate.
	idleWeight = 0.02
	// minTokens is the depth that each holder's share should have, in tokens, so that requests
	// that come close together are served.
	minTokens = 2
	// growAbove and shrinkBelow are how far a share may be off its target before it is changed.
	growAbove   = 1.1
	shrinkBelow = 0.75
	// limitedAbove is the demand, as a fraction of the rate, from which on a tenant counts as
	// limited.
	limitedAbove = 0.95
)

// Grantor divides the quotas among holders, at the leader, for one term of leadership. It is not
// safe for concurrent use.
type Grantor struct {
	terms Terms
	// earlierEnd is when all leases of earlier leaders have ended.
	earlierEnd time.Duration
	tenants    map[string]*pool
	holders    map[string]*holder
}

// pool is what is not leased of a tenant's quota, and what is known of its demand.
type pool struct {
	leased Share
	level  float64
	at     time.Duration
	// demand is the sum over the holders, in requests a second.
	demand  float64
	holders int
}

// holder is a gateway with shares.
type holder struct {
	boot      uint64
	number    uint64
	expiresAt time.Duration
	leases    map[string]*lease
}

// lease is a holder's share of a tenant's quota.
type lease struct {
	// share is the most that the holder may have: it may not yet have applied a smaller one.
	share Share
	// wanted is the share in the last grant.
	wanted   Share
	demand   float64
	reported time.Duration
	limited  bool
}

// NewGrantor returns the grantor of a leader whose predecessors' leadership leases ended at
// earlierLeadersEnd.
func NewGrantor(terms Terms, earlierLeadersEnd time.Duration) *Grantor {
	return &Grantor{
		terms:      terms,
		earlierEnd: max(earlierLeadersEnd, 0) + terms.Validity,
		tenants:    map[string]*pool{},
		holders:    map[string]*holder{},
	}
}

// refill adds the tokens that have accrued to what is not leased.
func (p *pool) refill(limit Limit, now time.Duration) {
	free := (wholeQuota - p.leased).fraction()
	p.level += max(now-p.at, 0).Seconds() * free * limit.Rate
	p.at = max(p.at, now)
	p.level = min(p.level, free*limit.Depth)
}

// Grant handles the report of a gateway process. A process with another boot number at the same
// node has ended when a new one reports, since both use the same addresses. It returns nil if the
// gateway has nothing to report and holds nothing.
func (g *Grantor) Grant(node string, boot uint64, report *Report, limits Limits, now time.Duration) *Grant {
	known := g.holders[node]
	if known != nil && (known.boot != boot || now >= known.expiresAt) {
		g.drop(node, now, limits)
		known = nil
	}
	if report == nil && known == nil {
		return nil
	}
	if report == nil {
		report = &Report{}
	}
	if known == nil {
		known = &holder{boot: boot, leases: map[string]*lease{}}
		g.holders[node] = known
	}
	grant := &Grant{Number: known.number + 1, Validity: g.terms.Validity}
	reported := make(map[string]bool, len(report.Tenants))
	for i := range report.Tenants {
		usage := &report.Tenants[i]
		reported[usage.Tenant] = true
		if change, changed := g.update(known, report.Applied, usage, limits, now); changed {
			grant.Changes = append(grant.Changes, change)
		}
	}
	if report.Applied == known.number {
		g.dropUnreported(known, reported, limits, now)
	}
	known.number = grant.Number
	known.expiresAt = now + g.terms.Validity
	return grant
}

// update brings a holder's lease of one tenant up to date. It returns the change to send, if
// there is one.
func (g *Grantor) update(known *holder, applied uint64, usage *Usage, limits Limits, now time.Duration) (Change, bool) {
	limit, limited := limits(usage.Tenant)
	tenant := g.pool(usage.Tenant)
	tenant.refill(limit, now)
	current := known.leases[usage.Tenant]
	if current == nil {
		current = &lease{reported: now - firstInterval}
		known.leases[usage.Tenant] = current
		tenant.holders++
		if now < g.earlierEnd {
			g.resize(tenant, current, min(usage.Share, wholeQuota-tenant.leased))
			current.wanted = current.share
		}
	}
	if applied == known.number && usage.Share < current.share {
		g.resize(tenant, current, usage.Share)
	}
	tenant.level += usage.Returned
	tenant.refill(limit, now)
	tenant.observe(current, usage.Asked, now)
	if !limited {
		return g.shrinkTo(usage, current, 0)
	}
	target := tenant.target(current, limit)
	if usage.Share == 0 && usage.Asked == 0 {
		target = 0
	}
	free := wholeQuota - tenant.leased
	change := Change{Tenant: usage.Tenant, Limited: tenant.limited(limit)}
	switch {
	case float64(target) > growAbove*float64(current.share) && free > 0 && now >= g.earlierEnd:
		grown := min(target, current.share+free)
		change.Tokens = min(tenant.level, (grown-current.share).fraction()*limit.Depth)
		tenant.level -= change.Tokens
		g.resize(tenant, current, grown)
		current.wanted = grown
	case target == 0, free < tenant.reserve(limit) && float64(target) < shrinkBelow*float64(current.wanted):
		current.wanted = min(target, current.wanted)
	}
	change.Share = current.wanted
	changed := current.wanted != usage.Share || change.Tokens > 0 || change.Limited != current.limited
	current.limited = change.Limited
	return change, changed
}

// shrinkTo returns the change that takes a share back.
func (g *Grantor) shrinkTo(usage *Usage, current *lease, target Share) (Change, bool) {
	current.wanted = target
	return Change{Tenant: usage.Tenant, Share: target}, usage.Share != target
}

// target returns the share that fits a holder's part of the demand.
func (p *pool) target(current *lease, limit Limit) Share {
	available := wholeQuota - p.reserve(limit)
	idle := idleWeight * limit.Rate
	fraction := (current.demand + idle) / (p.demand + idle*float64(p.holders))
	smallest := min(minTokens/limit.Depth, 1/float64(p.holders))
	return Share(min(max(fraction, smallest), 1) * float64(available))
}

// limited reports whether the tenant asks for more than its quota.
func (p *pool) limited(limit Limit) bool { return p.demand > limitedAbove*limit.Rate }

// reserve returns the part of the quota that is not leased as long as nobody needs it.
func (p *pool) reserve(limit Limit) Share {
	if p.limited(limit) {
		return limitedReserve
	}
	return reserve
}

// observe adds a holder's requests to its demand and the tenant's.
func (p *pool) observe(current *lease, asked uint32, now time.Duration) {
	interval := max(now-current.reported, time.Millisecond)
	current.reported = now
	weight := 1 - math.Exp(-interval.Seconds()/demandTime.Seconds())
	change := weight * (float64(asked)/interval.Seconds() - current.demand)
	current.demand += change
	p.demand = max(p.demand+change, 0)
}

// resize sets the most that a holder may have.
func (g *Grantor) resize(tenant *pool, current *lease, share Share) {
	tenant.leased += share - current.share
	current.share = share
}

// pool returns the pool of a tenant. Unless there were leases, it has filled up since the last
// earlier lease ended.
func (g *Grantor) pool(tenant string) *pool {
	known, ok := g.tenants[tenant]
	if !ok {
		known = &pool{at: g.earlierEnd}
		g.tenants[tenant] = known
	}
	return known
}

// dropUnreported ends the leases of tenants that a holder has given up.
func (g *Grantor) dropUnreported(known *holder, reported map[string]bool, limits Limits, now time.Duration) {
	for name, current := range known.leases {
		if !reported[name] {
			g.end(name, current, limits, now)
			delete(known.leases, name)
		}
	}
}

// end returns a lease's share to the pool, without tokens.
func (g *Grantor) end(name string, current *lease, limits Limits, now time.Duration) {
	tenant := g.pool(name)
	if limit, ok := limits(name); ok {
		tenant.refill(limit, now)
	}
	tenant.at = max(tenant.at, now)
	g.resize(tenant, current, 0)
	tenant.demand = max(tenant.demand-current.demand, 0)
	tenant.holders--
}

// drop ends all leases of a holder.
func (g *Grantor) drop(node string, now time.Duration, limits Limits) {
	for name, current := range g.holders[node].leases {
		g.end(name, current, limits, now)
	}
	delete(g.holders, node)
}

// Expire ends the leases of holders that have been silent for Terms.Validity.
func (g *Grantor) Expire(limits Limits, now time.Duration) {
	for node, known := range g.holders {
		if now >= known.expiresAt {
			g.drop(node, now, limits)
		}
	}
}
