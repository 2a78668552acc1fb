package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// eventually waits until a condition holds, and fails where it never does.
func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for range 10_000 {
		if condition() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the condition never held")
}

// Callers that ask for large answers and read nothing take a bounded part of the memory:
// further requests are refused at once as not run, and what is ready is still delivered.
func TestSlowReadersTakeABoundedPartOfTheMemory(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.RepeatableTransfer, timeout: 10 * time.Second}, http.HandlerFunc(answerLarge))
	hops.near.held.limit = int64(len(largeAnswer)) + 1000
	ask := func(id string) *http.Response {
		response, err := http.DefaultClient.Do(hops.request(t.Context(), t, id))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = response.Body.Close() })
		return response
	}
	slow := []*http.Response{ask("r-1"), ask("r-2")}
	eventually(t, func() bool { return hops.near.held.held.Load() >= 2*int64(len(largeAnswer)) })
	refused := ask("r-3")
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header.Get("Retry-After") != "")
	for _, response := range slow {
		taken, err := io.Copy(io.Discard, response.Body)
		assert.NilError(t, err)
		assert.Equal(t, taken, int64(len(largeAnswer)))
	}
	eventually(t, func() bool { return hops.near.held.held.Load() == 0 })
	assert.Equal(t, ask("r-4").StatusCode, http.StatusOK)
}
