package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// eventually waits until a condition holds and fails the test after ten seconds at the
// earliest.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition did not become true in time")
}

// Callers that request large responses and read nothing can't use more than the limit of
// buffered bytes and the responses in progress: further requests are refused at once as not
// run, and the responses that are ready are still delivered.
func TestBuffersForSlowReadersAreBounded(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.RepeatableTransfer, timeout: 10 * time.Second}, http.HandlerFunc(serveLarge))
	hops.near.held.limit = int64(len(largeBody)) + 1000
	send := func(id string) *http.Response {
		response, err := http.DefaultClient.Do(hops.request(t.Context(), t, id))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	slow := []*http.Response{send("r-1"), send("r-2")}
	eventually(t, func() bool { return hops.near.held.count.Load() >= 2*int64(len(largeBody)) })
	refused := send("r-3")
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header.Get("Retry-After") != "")
	for _, response := range slow {
		taken, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, taken, int64(len(largeBody)))
	}
	eventually(t, func() bool { return hops.near.held.count.Load() == 0 })
	assert.Equal(t, send("r-4").StatusCode, http.StatusOK)
}
