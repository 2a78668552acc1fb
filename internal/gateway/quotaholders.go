package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/quota"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A tenant's requests come to many gateways, few to each. Only the gateways that quota.Ring names
// hold shares of its quota; the others ask one of them for a token for each request.

const (
	// tokenTimeout bounds how long a gateway waits for a holder's response.
	tokenTimeout = 80 * time.Millisecond
	// holderAvoidTime is how long a holder that didn't respond is asked last.
	holderAvoidTime = 500 * time.Millisecond
	// maxHoldersAsked bounds how many holders are asked for one request.
	maxHoldersAsked = 2
)

// errNoToken is returned if a holder did not say whether there is a token.
var errNoToken = errors.New("no response about a token")

// quotaRing caches the ring of a view's gateways.
type quotaRing struct {
	mutex    sync.Mutex
	revision uint64
	ring     *quota.Ring
	// avoided holds the times until which holders are asked last, by node.
	avoided map[string]time.Time
}

// of returns the ring of a view.
func (r *quotaRing) of(v *view) *quota.Ring {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.ring != nil && r.revision == v.instancesRevision {
		return r.ring
	}
	members := make([]quota.Member, 0, len(v.byID))
	nodes := make(map[string]bool, len(v.byID))
	for _, instance := range v.byID {
		if instance.Leaving || instance.State == fleetwire.InstanceGone || nodes[instance.Node] {
			continue
		}
		nodes[instance.Node] = true
		members = append(members, quota.Member{Node: instance.Node, Address: instance.Address, Zone: instance.Zone})
	}
	r.ring, r.revision = quota.NewRing(members), v.instancesRevision
	return r.ring
}

// avoid records that a holder didn't respond.
func (r *quotaRing) avoid(node string, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.avoided == nil {
		r.avoided = map[string]time.Time{}
	}
	r.avoided[node] = now.Add(holderAvoidTime)
}

// inOrder returns the holders in the order in which to ask them: those that didn't respond lately
// come last.
func (r *quotaRing) inOrder(holders []quota.Member, now time.Time) []quota.Member {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	ordered := make([]quota.Member, 0, len(holders))
	var last []quota.Member
	for _, holder := range holders {
		if now.Before(r.avoided[holder.Node]) {
			last = append(last, holder)
		} else {
			ordered = append(ordered, holder)
		}
	}
	return append(ordered, last...)
}

// quotaToken is a token that was taken for a request; the zero value is none.
type quotaToken struct {
	tenant *routeconfig.Tenant
	// holder is the gateway from whose share it was taken; this gateway's if its address is empty.
	holder quota.Member
}

// takeToken takes a token of the tenant's quota for a request, or returns a refusal.
func (g *Gateway) takeToken(ctx context.Context, tenant *routeconfig.Tenant, target time.Duration) (quotaToken, *quotaRefusal) {
	if tenant == nil || !tenant.Quota.Limited() {
		return quotaToken{}, nil
	}
	limit := g.quotas.terms.Limit(tenant.Quota)
	holders := g.quotaRing.of(g.views.load()).Holders(tenant.Name, g.config.Zone, limit)
	if len(holders) > 0 && !isServingHolder(holders, g.config.Name) {
		ordered := g.quotaRing.inOrder(quota.Spread(holders, g.config.Name), steady.Reading())
		for _, holder := range ordered[:min(maxHoldersAsked, len(ordered))] {
			if holder.Node == g.config.Name {
				break
			}
			refusal, err := g.requestToken(ctx, holder, tenant.Name, target)
			if err == nil {
				return quotaToken{tenant: tenant, holder: holder}, refusal
			}
			g.quotaRing.avoid(holder.Node, steady.Reading())
		}
	}
	return quotaToken{tenant: tenant}, g.quotas.admit(ctx, tenant, target)
}

// isServingHolder reports whether a gateway is one of the holders before the reserve.
func isServingHolder(holders []quota.Member, node string) bool {
	return slices.ContainsFunc(quota.Serving(holders), func(holder quota.Member) bool { return holder.Node == node })
}

// returnToken gives the token of a request back that has not run and never will.
func (g *Gateway) returnToken(token quotaToken) {
	switch {
	case token.tenant == nil:
	case token.holder.Address == "":
		g.quotas.putBack(token.tenant)
	default:
		// A token that can't be given back is lost, which the quota allows for. The request that
		// it was for doesn't wait, and the gateway may stop meanwhile.
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tokenTimeout)
			defer cancel()
			_, _ = g.postToPeer(ctx, token.holder.Address, http.Header{fieldReturnsToken: {token.tenant.Name}}, nil)
		}()
	}
}

// requestToken asks a holder for a token. It returns the holder's refusal, or an error if there
// was no response that says whether there is a token.
func (g *Gateway) requestToken(ctx context.Context, holder quota.Member, tenant string, target time.Duration) (*quotaRefusal, error) {
	ctx, cancel := context.WithTimeout(ctx, quotaPatience(target)+tokenTimeout)
	defer cancel()
	header, err := g.postToPeer(ctx, holder.Address, http.Header{fieldTakesToken: {tenant}, fieldTarget: {milliseconds(target)}}, nil)
	if err != nil {
		return nil, err
	}
	switch why := reason(header.Get(fieldReason)); why {
	case reasonNone:
		return nil, nil
	case reasonOverQuota:
		after, _ := parseMilliseconds(header.Get(fieldRetryAfter))
		return &quotaRefusal{reason: why, retryAfter: after}, nil
	}
	return nil, errNoToken
}

// serveToken responds to another gateway's message about a token.
func (g *Gateway) serveToken(w http.ResponseWriter, r *http.Request) {
	name := r.Header.Get(fieldTakesToken)
	returned := r.Header.Get(fieldReturnsToken)
	table := g.views.load().table
	target, ok := parseMilliseconds(r.Header.Get(fieldTarget))
	if table == nil || name != "" && (!ok || table.Tenant(name) == nil) {
		http.Error(w, errNoToken.Error(), http.StatusServiceUnavailable)
		return
	}
	if returned != "" {
		g.quotas.putBack(table.Tenant(returned))
	} else if refusal := g.quotas.admit(r.Context(), table.Tenant(name), target); refusal != nil {
		w.Header().Set(fieldReason, string(refusal.reason))
		w.Header().Set(fieldRetryAfter, milliseconds(refusal.retryAfter))
	}
	w.WriteHeader(http.StatusNoContent)
}
