package gateway

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// largeBody is larger than the socket buffers on the way to a caller that reads nothing.
var largeBody = bytes.Repeat([]byte("0123456789abcdef"), 1<<20)

func serveLarge(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Try-Name", r.Header.Get("Try-Name"))
	w.Header().Set("Seal", "s")
	_, _ = w.Write(largeBody)
}

// A caller that reads slowly delays only its own response: the back end's local gateway
// finishes sending long before.
func TestSlowReaderDoesNotDelaySender(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.RepeatableTransfer, timeout: 10 * time.Second}, http.HandlerFunc(serveLarge))
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r-1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	eventually(t, func() bool { return hops.far.activePeers.Load() == 0 })
	assert.Equal(t, hops.near.activeCallers.Load(), int64(1), "the response to the caller must still be in progress")
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, largeBody))
}

// A response whose sender is lost midway must not look complete to its caller.
func TestInterruptedStreamIsNotComplete(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.pacer = newLinkPacer(0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, sender := io.Pipe()
		go func() {
			_, _ = sender.Write(bytes.Repeat([]byte("x"), 20<<10))
			_ = sender.CloseWithError(errors.New("lost"))
		}()
		stream := newResponseStream(body, 40<<10, func(error) {})
		defer stream.close()
		g.streamResponse(w, &call{request: r}, &forwardResult{Outcome: outcomeAnswered, Status: http.StatusOK, Stream: stream}, &pacedBody{pacer: g.pacer, length: 40 << 10})
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(body), strings.Repeat("x", len(body)))
}

// A response that has begun is delivered, even beyond the timeout of its route.
func TestStartedLargeResponseIsDeliveredAfterTimeout(t *testing.T) {
	const timeout = 3 * time.Second // long enough for a response to begin on a busy machine
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.RepeatableTransfer, timeout: timeout}, http.HandlerFunc(serveLarge))
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r-1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK, "the response did not begin within the route's timeout")
	time.Sleep(timeout + 100*time.Millisecond)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, largeBody))
}
