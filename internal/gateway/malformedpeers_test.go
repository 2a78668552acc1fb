package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// responseWithLoad is a peer's response with a load header.
func responseWithLoad(load string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{fieldOutcome: {string(outcomeAnswered)}, fieldLoad: {load}}}
}

// A load header that no gateway writes is ignored: the known load stays, and the response with
// the header is still used.
func TestMalformedLoadsOfPeersAreIgnored(t *testing.T) {
	known := peerLoad{running: 3, slots: 18, serviceTime: time.Second}
	for _, load := range []string{
		"", ",,,,,,,", "NaN,0,18,1,1,1,1,1", "-1,0,18,1,1,1,1,1", "1,-9,18,1,1,1,1,1", "1,0,-18,1,1,1,1,1",
		"1,0,18,-1,1,1,1,1", "1,0,18,1,-1,1,1,1", "1,0,18,1,1,-1,1,1", "1,0,18,1,1,1,-1,1", "1,0,18,1,1,1,1,-1",
		"1,0,65537,1,1,1,1,1", "9223372036854775807,9223372036854775807,18,1,1,1,1,1", "1,0,18,9223372036854775807,1,1,1,1",
		"1,0,18,1,1,1,9223372036854775807,1", "1,0,18,1,1,1,1,9223372036854775807", "1,0,18,1,1,1,1,1,1", "1,0,18,1e3,1,1,1,1", "+1,0,18,1,1,1,1,1",
		"01,0,18,1,1,1,1,1", " 1,0,18,1,1,1,1,1",
	} {
		p := &peer{load: known}
		result := decodeResult(responseWithLoad(load), nil)
		assert.Equal(t, result.Outcome, outcomeAnswered)
		p.endAttempt(result, steady.Reading())
		assert.Equal(t, p.load, known, load)
	}
	for _, twice := range []string{"1,0,18,1,1,1,1,1", "2,0,18,1,1,1,1,1"} {
		response := responseWithLoad("1,0,18,1,1,1,1,1")
		response.Header.Add(fieldLoad, twice)
		assert.Equal(t, decodeResult(response, nil).Load, peerLoad{}, "two load headers")
	}
}

// The reason of a peer must be one of the known ones, since it becomes the label of a time
// series.
func TestUnknownReasonsOfPeersAreReplaced(t *testing.T) {
	response := responseWithLoad("")
	response.Header.Set(fieldOutcome, string(outcomeNotRun))
	response.Header.Set(fieldReason, strings.Repeat("x", 4096))
	result := decodeResult(response, nil)
	assert.Equal(t, result.Outcome, outcomeNotRun, "the outcome is still used")
	assert.Equal(t, result.Reason, reasonInterrupted)
}

// A relayed state whose age or validity is out of range is refused and changes nothing.
func TestRelayedStatesWithInvalidTimesAreRefused(t *testing.T) {
	for _, passed := range []fleetwire.RelayedState{
		{Age: -time.Hour, For: 2 * time.Second}, {Age: 0, For: -time.Second}, {Age: 0, For: 300 * time.Hour}, {Age: 1<<63 - 1, For: time.Second},
	} {
		g := gatewayWithTwoZones(t)
		g.session = newSessionClient(g)
		g.quotas = newQuotaKeeper(g)
		before := g.views.load()
		assert.Assert(t, g.applyRelayedState(&passed, steady.Reading(), "peer") != nil)
		assert.Equal(t, g.views.load(), before)
		assert.Assert(t, !g.session.configurationLease.valid(steady.Reading()))
	}
}
