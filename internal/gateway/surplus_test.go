package gateway

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/rawpeer"
)

// surplusBackend starts a back end that gives each request the answer of respond.
func surplusBackend(t *testing.T, respond rawpeer.Respond) *rawBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go rawpeer.Serve(listener, respond)
	return &rawBackend{listener: listener}
}

// startRepeatingBackend starts a back end that refuses the first sending of each request, with a
// surplus answer. It runs all other sendings and counts them in runs.
func startRepeatingBackend(t *testing.T, runs *atomic.Int32) *rawBackend {
	var refused atomic.Bool
	return surplusBackend(t, func(request *http.Request) (text string, surplus bool) {
		if refused.CompareAndSwap(false, true) {
			return responseText("429 X", request.Header.Get("Try-Name"), "Never-Ran: 1\r\n", ""), true
		}
		runs.Add(1)
		return responseText("200 OK", request.Header.Get("Try-Name"), seal, "done"), false
	})
}

// A surplus copy of a refusal comes in the place of the answer to the next sending of the same
// request. It was taken for proof that this one has not run, and the caller was told so.
func TestSurplusRefusalIsNotTakenForTheAnswerToTheNextSending(t *testing.T) {
	var runs atomic.Int32
	g := gatewayWithBackend(t, startRepeatingBackend(t, &runs))
	first := g.egress.serve(t.Context(), testRequest("r1"))
	assert.Equal(t, first.Outcome, outcomeNotRun)
	assert.Equal(t, first.Reason, reasonRefused)
	second := g.egress.serve(t.Context(), testRequest("r1"))
	assert.Equal(t, second.Outcome, outcomeAnswered)
	assert.Equal(t, string(second.Body), "done")
	assert.Equal(t, runs.Load(), int32(1))
	assert.Equal(t, g.egress.pool.Stats().Dials, uint64(2))
}

// Other requests go on using the connections that are open.
func TestOnlyRepeatedSendingsUseNewConnections(t *testing.T) {
	backend := startRawBackend(t, func(r *http.Request) string { return responseText("200 OK", r.Header.Get("Try-Name"), seal, "done") })
	g := gatewayWithBackend(t, backend)
	for number := range 20 {
		assert.Equal(t, g.egress.serve(t.Context(), testRequest(fmt.Sprint("r", number))).Outcome, outcomeAnswered)
	}
	assert.Equal(t, g.egress.pool.Stats().Dials, uint64(1))
}

// Guards against 502 for a request that runs, since the answer to an earlier one came once more in the
// place of its own.
func TestSurplusAnswerOfAnotherRequestIsDiscarded(t *testing.T) {
	var runs atomic.Int32
	g := gatewayWithBackend(t, surplusBackend(t, func(request *http.Request) (text string, surplus bool) {
		runs.Add(1)
		id := request.Header.Get("Try-Name")
		return responseText("200 OK", id, seal, "done "+id), true
	}))
	for number := range 10 {
		id := fmt.Sprint("r", number)
		result := g.egress.serve(t.Context(), testRequest(id))
		assert.Equal(t, result.Outcome, outcomeAnswered, "%s: %s", id, result.Reason)
		assert.Equal(t, string(result.Body), "done "+id)
	}
	assert.Equal(t, runs.Load(), int32(10))
	assert.Equal(t, testutil.ToFloat64(g.metrics.surplus), 5.0)
}
