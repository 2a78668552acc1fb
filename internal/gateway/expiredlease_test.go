package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A gateway whose lease has expired must not respond that a route does not exist: a newer
// configuration may have added it.
func TestExpiredLeaseNeverYieldsNotFound(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.metrics = newGatewayMetrics(prometheus.NewRegistry())
	advance(t, g.views, &fleetwire.View{Document: documentOf(3)})
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	status := func() int {
		response := httptest.NewRecorder()
		g.callerHandler(response, httptest.NewRequest(http.MethodGet, "http://unknown.example/", nil))
		return response.Code
	}
	assert.Equal(t, status(), http.StatusServiceUnavailable, "no lease was granted yet")
	g.extendLease(time.Hour)
	assert.Equal(t, status(), http.StatusNotFound)
	g.session.configurationLease.current.Store(&leaseState{currentAsOf: steady.Reading().Add(-time.Second), expiresAt: steady.Reading()})
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	g.extendLease(time.Hour)
	assert.Equal(t, status(), http.StatusNotFound)
}
