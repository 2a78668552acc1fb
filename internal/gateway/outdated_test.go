package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// A gateway that has not heard the leader for long does not tell callers that a route
// does not exist: a configuration that it has not heard of may have added it.
func TestAGatewayThatHearsNoLeaderDoesNotSayThatThereIsNoRoute(t *testing.T) {
	g := choosingGateway(t)
	g.metrics = newGatewayMetrics(prometheus.NewRegistry())
	advance(t, g.views, &fleetwire.View{Document: documentOf(3)})
	g.session = newSessionClient(g)
	g.vouch(time.Hour)
	asked := func() int {
		answer := httptest.NewRecorder()
		g.callerHandler(answer, httptest.NewRequest(http.MethodGet, "http://unknown.example/", nil))
		return answer.Code
	}
	assert.Equal(t, asked(), http.StatusNotFound)
	g.session.started = time.Now().Add(-2 * outdatedAfter)
	assert.Equal(t, asked(), http.StatusServiceUnavailable)
	g.session.heardAt.Store(int64(g.session.now()))
	assert.Equal(t, asked(), http.StatusNotFound)
}
