package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// authenticate returns the tenant of a caller's request, or false if the request was answered
// because its API key is missing or unknown.
func (g *Gateway) authenticate(w http.ResponseWriter, r *http.Request, v *view, route *routeconfig.Route) (*routeconfig.Tenant, bool) {
	tenant, authentication := v.table.Authenticate(route, r.Header.Get(g.config.Headers.APIKey))
	if authentication != routeconfig.Rejected {
		return tenant, true
	}
	g.metrics.request("", outcomeNotRun, reasonUnknownKey)
	g.config.Log.Info("API key missing or unknown", g.requestFields(r)...)
	http.Error(w, string(reasonUnknownKey), http.StatusUnauthorized)
	return nil, false
}

// setTenant replaces what the caller said of itself in the header of a request to a back end:
// the API key is removed, and the tenant's name is the one that the key stands for.
func (g *Gateway) setTenant(header http.Header, tenant *routeconfig.Tenant) {
	names := &g.config.Headers
	header.Del(names.APIKey)
	header.Del(names.Tenant)
	if tenant != nil {
		header.Set(names.Tenant, tenant.Name)
	}
}

// refuseOverQuota responds to a request that got no token of its tenant's quota.
func (g *Gateway) refuseOverQuota(w http.ResponseWriter, c *call, refusal *quotaRefusal) {
	g.metrics.request(c.service.Name, outcomeNotRun, refusal.reason)
	status := http.StatusServiceUnavailable
	if refusal.reason == reasonOverQuota {
		status = http.StatusTooManyRequests
	}
	g.writeRefusalStatus(w, c.request, status, refusal.reason, refusal.retryAfter, nil)
}

// writeRefusalStatus responds with a status to a request that has not run and will not run.
func (g *Gateway) writeRefusalStatus(w http.ResponseWriter, r *http.Request, status int, why reason, after time.Duration, attempts []attemptRecord) {
	g.logFailure(r, status, why, after, attempts)
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, string(why), status)
}
