package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// benchBodySize is the size of a response body, in bytes.
const benchBodySize = 1500

// BenchmarkForward measures a request through two gateways, with caller and back end in the
// same process.
func BenchmarkForward(b *testing.B) {
	body := make([]byte, benchBodySize)
	setup := twoHopsConfig{repetition: routeconfig.Repeatable, timeout: time.Second}
	hops := startTwoHops(b, setup, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header := w.Header()
		header.Set("Try-Name", r.Header.Get("Try-Name"))
		header.Set("Seal", "x")
		header.Set("Content-Length", strconv.Itoa(benchBodySize))
		_, _ = w.Write(body)
	}))
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		response, err := http.DefaultClient.Do(hops.request(b.Context(), b, fmt.Sprintf("%016x", number)))
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		assert.Equal(b, response.StatusCode, http.StatusOK)
	}
}
