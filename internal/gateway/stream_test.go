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

// largeAnswer is more than the sockets on the way to a caller that reads nothing hold.
var largeAnswer = bytes.Repeat([]byte("0123456789abcdef"), 1<<20)

func answerLarge(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Try-Name", r.Header.Get("Try-Name"))
	w.Header().Set("Seal", "s")
	_, _ = w.Write(largeAnswer)
}

// A caller that reads slowly holds up only its own answer: the gateway beside the back end
// has sent all of it long before.
func TestASlowReaderDoesNotHoldUpTheSender(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.RepeatableTransfer, timeout: 10 * time.Second}, http.HandlerFunc(answerLarge))
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r-1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	eventually(t, func() bool { return hops.far.peerActive.Load() == 0 })
	assert.Equal(t, hops.near.active.Load(), int64(1), "the caller's answer is still on its way")
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, largeAnswer))
}

// An answer whose sender is lost in the middle does not look whole to its caller.
func TestAnAnswerThatBreaksOffOnItsWayIsNotWhole(t *testing.T) {
	g := choosingGateway(t)
	g.pacer = newLinkPacer(0)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, sender := io.Pipe()
		go func() {
			_, _ = sender.Write(bytes.Repeat([]byte("x"), 20<<10))
			_ = sender.CloseWithError(errors.New("lost"))
		}()
		stream := newAnswerStream(body, 40<<10, func(error) {})
		defer stream.close()
		g.streamAnswer(w, &call{request: r}, &forwardResult{Outcome: outcomeAnswered, Status: http.StatusOK, Stream: stream})
	}))
	defer server.Close()
	response, err := http.Get(server.URL)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, string(body), strings.Repeat("x", len(body)))
}

// An answer that has begun is delivered, also beyond the time for which its route holds
// requests.
func TestALargeAnswerThatHasBegunIsDelivered(t *testing.T) {
	const held = 3 * time.Second // long enough for an answer to begin on a busy machine
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.RepeatableTransfer, timeout: held}, http.HandlerFunc(answerLarge))
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r-1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK, "the answer did not begin within the route's time")
	time.Sleep(held + 100*time.Millisecond)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(body, largeAnswer))
}
