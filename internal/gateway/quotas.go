package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/quota"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

const (
	// maxQuotaWait and minQuotaWait bound how long a request waits for a token while the
	// gateway's share may still grow. Within them it is quotaWaitFraction of the route's target
	// latency.
	maxQuotaWait      = 100 * time.Millisecond
	minQuotaWait      = 40 * time.Millisecond
	quotaWaitFraction = 0.125
	// quotaReportInterval is the shortest time between two reports that are sent because a
	// tenant has no tokens left.
	quotaReportInterval = 50 * time.Millisecond
)

// quotaKeeper takes the tokens for requests of tenants with a quota from the shares that the
// leader has leased to this gateway (see internal/quota).
type quotaKeeper struct {
	terms quota.Terms
	// table returns the configuration in force; nil if there is none.
	table func() *routeconfig.Table
	// clock reads the clock of reports, and requestReport asks for one to be sent at once.
	clock         func() time.Duration
	requestReport func()

	mutex  sync.Mutex
	holder *quota.Holder
	// granted is closed and replaced when the leader has changed the shares.
	granted     chan struct{}
	nextRequest time.Duration
}

func newQuotaKeeper(g *Gateway) *quotaKeeper {
	return &quotaKeeper{
		terms:         g.config.Quota,
		table:         func() *routeconfig.Table { return g.views.load().table },
		clock:         g.session.now,
		requestReport: g.session.requestReport,
		holder:        quota.NewHolder(),
		granted:       make(chan struct{}),
	}
}

// limit returns the limit of a tenant by the configuration in force.
func (k *quotaKeeper) limit(name string) (quota.Limit, bool) {
	table := k.table()
	if table == nil {
		return quota.Limit{}, false
	}
	tenant := table.Tenant(name)
	if tenant == nil || !tenant.Quota.Limited() {
		return quota.Limit{}, false
	}
	return k.terms.Limit(tenant.Quota), true
}

// quotaRefusal says why a request gets no token, and when to come back.
type quotaRefusal struct {
	reason     reason
	retryAfter time.Duration
}

// quotaPatience returns how long a request with a target latency may wait for a token.
func quotaPatience(target time.Duration) time.Duration {
	return min(max(time.Duration(quotaWaitFraction*float64(target)), minQuotaWait), maxQuotaWait)
}

// admit takes a token for a request of a tenant, or returns a refusal. A request may wait
// briefly while the gateway's share may still grow; it doesn't if the tenant asks for more than
// its quota at all gateways together.
func (k *quotaKeeper) admit(ctx context.Context, tenant *routeconfig.Tenant, target time.Duration) *quotaRefusal {
	if tenant == nil || !tenant.Quota.Limited() {
		return nil
	}
	limit := k.terms.Limit(tenant.Quota)
	began, patience := k.clock(), quotaPatience(target)
	for first := true; ; first = false {
		wait, granted, refusal := k.tryTake(tenant.Name, limit, first, began+patience)
		if granted == nil || refusal != nil {
			return refusal
		}
		if !awaitGrant(ctx, granted, wait) {
			return &quotaRefusal{reason: reasonNoQuotaShare, retryAfter: retryAfter(notRun(reasonNoQuotaShare))}
		}
	}
}

// awaitGrant blocks until the shares change or the limit has passed. It returns false if the
// context ended first.
func awaitGrant(ctx context.Context, granted <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-granted:
	}
	return true
}

// tryTake takes a token. If there is none, it returns a refusal, or how long to wait at most and
// a channel that is closed when the shares change.
func (k *quotaKeeper) tryTake(name string, limit quota.Limit, first bool, giveUpAt time.Duration) (time.Duration, <-chan struct{}, *quotaRefusal) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock()
	bucket := k.holder.Bucket(name, now)
	if first {
		bucket.Ask(now)
	}
	if bucket.Take(limit, now) {
		return 0, nil, nil
	}
	if now >= k.nextRequest {
		k.nextRequest = now + quotaReportInterval
		k.requestReport()
	}
	switch left := giveUpAt - now; {
	case left > 0 && !bucket.Limited():
		if wait, ok := bucket.Wait(); ok {
			left = min(left, max(wait, time.Millisecond))
		}
		return left, k.granted, nil
	case bucket.Shared():
		return 0, nil, &quotaRefusal{reason: reasonOverQuota, retryAfter: bucket.NextTurn(now, k.terms.Window)}
	default:
		return 0, nil, &quotaRefusal{reason: reasonNoQuotaShare, retryAfter: retryAfter(notRun(reasonNoQuotaShare))}
	}
}

// putBack returns the token of a request that has not run and never will.
func (k *quotaKeeper) putBack(tenant *routeconfig.Tenant) {
	if tenant == nil || !tenant.Quota.Limited() {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.clock()
	k.holder.Bucket(tenant.Name, now).PutBack(k.terms.Limit(tenant.Quota), now)
}

// report returns the part of a report to the leader.
func (k *quotaKeeper) report(now time.Duration) *quota.Report {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.holder.Report(k.limit, now)
}

// apply applies the leader's response to a report that was sent at sentAt.
func (k *quotaKeeper) apply(grant *quota.Grant, sentAt time.Duration) {
	if grant == nil {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.holder.Apply(grant, sentAt, shortenedByDrift(grant.Validity), k.limit, k.clock())
	if len(grant.Changes) > 0 {
		close(k.granted)
		k.granted = make(chan struct{})
	}
}

// beginSession prepares for the grants of another leader.
func (k *quotaKeeper) beginSession() {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.holder.NewSession()
}
