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

// A gateway that nobody vouches for any more does not tell callers that a route does not
// exist: a configuration that it has not heard of may have added it.
func TestAGatewayThatHearsNoLeaderDoesNotSayThatThereIsNoRoute(t *testing.T) {
	g := choosingGateway(t)
	g.metrics = newGatewayMetrics(prometheus.NewRegistry())
	advance(t, g.views, &fleetwire.View{Document: documentOf(3)})
	g.session = newSessionClient(g)
	asked := func() int {
		answer := httptest.NewRecorder()
		g.callerHandler(answer, httptest.NewRequest(http.MethodGet, "http://unknown.example/", nil))
		return answer.Code
	}
	assert.Equal(t, asked(), http.StatusServiceUnavailable, "nobody has vouched yet")
	g.vouch(time.Hour)
	assert.Equal(t, asked(), http.StatusNotFound)
	g.session.vouched.present.Store(&word{since: steady.Reading().Add(-time.Second), until: steady.Reading()})
	assert.Equal(t, asked(), http.StatusServiceUnavailable)
	g.vouch(time.Hour)
	assert.Equal(t, asked(), http.StatusNotFound)
}
