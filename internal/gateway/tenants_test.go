package gateway

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/quota"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

const plantedKey = "planted-secret-key"

// withTenant returns the configuration in force at a gateway, with a tenant.
func withTenant(g *Gateway, tenant routeconfig.Tenant) *fleetwire.View {
	document := *g.views.load().table.Document()
	document.Version++
	document.Tenants = []routeconfig.Tenant{tenant}
	return &fleetwire.View{Document: &document}
}

func keyed(quota routeconfig.Quota) routeconfig.Tenant {
	return routeconfig.Tenant{Name: "tenant", Keys: []routeconfig.KeyDigest{routeconfig.DigestKey(plantedKey)}, Quota: quota}
}

// tenantResponse sends a request with an API key and a forged tenant, and returns the status and
// body of the response.
func tenantResponse(t *testing.T, hops *twoHops, key string) (int, string) {
	request := hops.request(t.Context(), t, "r1")
	request.Header.Set("Api-Key", key)
	request.Header.Set("Tenant-Name", "forged")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

// tenantRequest is tenantResponse without the body.
func tenantRequest(t *testing.T, hops *twoHops, key string) int {
	status, _ := tenantResponse(t, hops, key)
	return status
}

// lockedBuffer is a buffer for the log lines of several goroutines.
type lockedBuffer struct {
	mutex sync.Mutex
	bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.Buffer.Write(p)
}

// A back end never sees a caller's API key or what the caller says of its tenant, and the key
// is in no log line.
func TestBackEndGetsTenantInsteadOfKey(t *testing.T) {
	t.Parallel()
	headers := make(chan http.Header, 4)
	var lines lockedBuffer
	hops := startTwoHops(t, twoHopsConfig{timeout: time.Second, log: slog.New(slog.NewTextHandler(&lines, nil))}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header.Clone()
		serveComplete(w, r)
	}))
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusOK, "no tenants")
	sent := <-headers
	assert.Equal(t, sent.Get("Api-Key")+sent.Get("Tenant-Name"), "")
	advance(t, hops.near.views, withTenant(hops.near, keyed(routeconfig.Quota{})))
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusOK)
	sent = <-headers
	assert.Equal(t, sent.Get("Tenant-Name"), "tenant")
	assert.Assert(t, !bytes.Contains([]byte(fmt.Sprint(sent)), []byte(plantedKey)))
	assert.Equal(t, tenantRequest(t, hops, "other"), http.StatusUnauthorized)
	assert.Equal(t, tenantRequest(t, hops, ""), http.StatusUnauthorized)
	assert.Equal(t, len(headers), 0, "nothing was sent without a known key")
	lines.mutex.Lock()
	defer lines.mutex.Unlock()
	assert.Assert(t, lines.Len() > 0 && !bytes.Contains(lines.Bytes(), []byte(plantedKey)))
}

// grantShare gives a gateway a share of the tenant's quota as a leader's response does.
func grantShare(g *Gateway, change quota.Change) {
	change.Tenant = "tenant"
	g.quotas.report(g.session.now())
	g.quotas.apply(&quota.Grant{Number: 1, Changes: []quota.Change{change}, Validity: time.Hour}, g.session.now())
}

// Without a share nothing is sent; within it requests are served; beyond it they get 429 with a
// Retry-After, and a request that has not run costs no token.
func TestRequestsTakeTokensOfQuota(t *testing.T) {
	t.Parallel()
	hops := startTwoHops(t, twoHopsConfig{timeout: time.Second}, http.HandlerFunc(serveComplete))
	advance(t, hops.near.views, withTenant(hops.near, keyed(routeconfig.Quota{RatePerSecond: 0.001, Burst: 2})))
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusServiceUnavailable, "no share yet")
	grantShare(hops.near, quota.Change{Share: 1_000_000, Tokens: 2, Limited: true})
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusOK)
	tenant := hops.near.views.load().table.Tenant("tenant")
	assert.Assert(t, hops.near.quotas.admit(t.Context(), tenant, time.Second) == nil)
	hops.near.quotas.putBack(tenant)
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusOK)
	request := hops.request(t.Context(), t, "r1")
	request.Header.Set("Api-Key", plantedKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusTooManyRequests)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
}

// A request that is bound to regions is not sent to a back end elsewhere, and is refused at once.
func TestRequestStaysInAllowedRegions(t *testing.T) {
	t.Parallel()
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second, regions: map[string]string{"a": "north"}}, http.HandlerFunc(serveComplete))
	bound := keyed(routeconfig.Quota{})
	bound.AllowedRegions = []string{"north"}
	advance(t, hops.near.views, withTenant(hops.near, bound))
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusOK)
	bound.AllowedRegions = []string{"south"}
	advance(t, hops.near.views, withTenant(hops.near, bound))
	status, body := tenantResponse(t, hops, plantedKey)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, strings.TrimSpace(body), string(reasonOutsideRegions), "not held until no instance was found")
}

// A gateway that is no holder of the tenant's quota asks one that is for a token, and gives it back
// if the request has not run. A holder that is gone is passed over.
func TestTokensAreTakenFromHolder(t *testing.T) {
	t.Parallel()
	hops := startTwoHops(t, twoHopsConfig{timeout: time.Second}, http.HandlerFunc(serveComplete))
	sold := keyed(routeconfig.Quota{RatePerSecond: 0.001, Burst: 2})
	// near knows only far as a gateway, so that far is the holder.
	for _, g := range []*Gateway{hops.near, hops.far} {
		advance(t, g.views, withTenant(g, sold))
	}
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusServiceUnavailable, "the holder has no share")
	grantShare(hops.far, quota.Change{Share: 1_000_000, Tokens: 2, Limited: true})
	assert.Equal(t, tenantRequest(t, hops, plantedKey), http.StatusOK)
	tenant := hops.near.views.load().table.Tenant("tenant")
	token, refusal := hops.near.takeToken(t.Context(), tenant, time.Second)
	assert.Assert(t, refusal == nil)
	assert.Equal(t, token.holder.Node, "far")
	_, refusal = hops.near.takeToken(t.Context(), tenant, time.Second)
	assert.Equal(t, refusal.reason, reasonOverQuota)
	assert.Assert(t, refusal.retryAfter > 0)
	hops.near.returnToken(token)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if tenantRequest(t, hops, plantedKey) != http.StatusOK {
			return poll.Continue("the token is not back yet")
		}
		return poll.Success()
	})
}
