package router

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// A response that arrives after its request was given up must not reach the
// next caller that uses the connection. Each caller gets the response to its
// own request.
func TestLateResponsesAreDiscarded(t *testing.T) {
	const callers, each = 16, 25
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(time.Duration(rand.IntN(6)) * time.Millisecond)
		respondAnswered(w, r.Header.Get("X-Number"))
	})
	f := newFixture(t, func(c *Config) { c.AgentConnections = 8 }, owner)
	var complete, late atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for i := range each {
				number := fmt.Sprint(caller*each + i)
				got := f.get("/keyed/plans/a", "X-Number", number, wire.HeaderDeadline, "4")
				if got.outcome == wire.OutcomeAnswered {
					complete.Add(1)
					assert.Check(t, got.body == number, "request %s got the response to %s", number, got.body)
					continue
				}
				late.Add(1)
				assert.Check(t, got.err == nil && got.status >= http.StatusServiceUnavailable, "%v %d", got.err, got.status)
			}
		})
	}
	group.Wait()
	assert.Assert(t, late.Load() > 0, "no response was late")
	for range each {
		assert.Equal(t, f.get("/keyed/plans/a", "X-Number", "last").body, "last")
	}
}

// Streaming a response takes the memory of a few buffers, whatever its size.
func TestLargeResponseIsStreamedWithBoundedMemory(t *testing.T) {
	const size = 64 * mebibyte
	piece := make([]byte, 64*kibibyte)
	owner := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		for range size / len(piece) {
			_, _ = w.Write(piece)
		}
	})
	f := newFixture(t, nil, owner)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	response, err := f.client.Get(f.url + "/keyed/packs/terminal-5")
	assert.NilError(t, err)
	count, err := io.Copy(io.Discard, response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	runtime.ReadMemStats(&after)
	assert.Equal(t, count, int64(size))
	allocated := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, allocated < 2*mebibyte, "%d bytes were allocated in total", allocated)
}

// A caller that does not read its response blocks the back end. The router
// buffers no more than its fixed buffers and disconnects the caller after
// StallTimeout.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	ended := make(chan struct{})
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
		piece := make([]byte, 64*kibibyte)
		for r.Context().Err() == nil {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	f := newFixture(t, func(c *Config) { c.StallTimeout = 50 * time.Millisecond }, owner)
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET /keyed/packs/terminal-5 HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	<-ended
	poll.WaitOn(t, f.idle())
}

// sendRaw sends text and returns everything received until the connection ends.
func (f *fixture) sendRaw(text string) string {
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(f.t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, text)
	assert.NilError(f.t, err)
	// The connection may end with a reset, because the text was not a complete
	// request.
	content, _ := io.ReadAll(connection)
	return string(content)
}

// A caller that stops in the middle of its body gets an error response, and
// nothing is sent to a back end.
func TestSlowRequestBodyReturnsTimeout(t *testing.T) {
	owner := newFakeAgent(t, respondOK)
	f := newFixture(t, func(c *Config) { c.BufferedBodyTimeout = 20 * time.Millisecond }, owner)
	got := f.sendRaw("PUT /keyed/plans/a HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408 "), got)
	assert.Assert(t, strings.Contains(got, "Quartzdock-Outcome: not-run"), got)
	assert.Assert(t, strings.Contains(got, "Quartzdock-Reason: slow-sender"), got)
	assert.Equal(t, owner.requests.Load(), int64(0))
}

// A caller that does not complete its header is disconnected.
func TestSlowHeaderClosesConnection(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HeaderTimeout = 20 * time.Millisecond }, newFakeAgent(t, respondOK))
	got := f.sendRaw("GET /keyed/plans/a HTTP/1.1\r\nHost: a\r\nX-Slow: ")
	assert.Assert(t, !strings.Contains(got, " 200 "), got)
}

func TestOversizedHeaderIsRejected(t *testing.T) {
	owner := newFakeAgent(t, respondOK)
	f := newFixture(t, func(c *Config) { c.MaximumHeaderBytes = 1024 }, owner)
	// The rest of the header is not read, so the connection is reset.
	response, err := f.client.Do(f.requestWithLargeHeader("X-Large", 16*kibibyte))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, owner.requests.Load(), int64(0))
}

// requestWithLargeHeader returns a request with a header field of the given
// size.
func (f *fixture) requestWithLargeHeader(name string, size int) *http.Request {
	request, err := http.NewRequest(http.MethodGet, f.url+"/keyed/plans/a", nil)
	assert.NilError(f.t, err)
	request.Header.Set(name, strings.Repeat("x", size))
	return request
}

// A long body ends early after its beginning was forwarded. The back end must
// detect that it is incomplete, and it must not be sent again.
func TestBackendDetectsTruncatedRequestBody(t *testing.T) {
	seen := make(chan error, 2)
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		seen <- err
		respondAnswered(w, "ok")
	})
	f := newFixture(t, nil, owner)
	connection, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	assert.NilError(t, err)
	_, err = fmt.Fprintf(connection, "PUT /keyed/plans/a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(longBody), longBody[:len(longBody)/2])
	assert.NilError(t, err)
	poll.WaitOn(t, receivedAtLeast(owner, 1))
	assert.NilError(t, connection.Close())
	assert.Assert(t, <-seen != nil, "the back end took half of the body for a complete one")
	poll.WaitOn(t, f.idle())
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// A read deadline that is left over from a streamed request body must not
// cancel the next request on the connection, as if its caller had disconnected.
func TestConnectionIsReusableAfterLargeBody(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		respondAnswered(w, "ok")
	}))
	for range 200 {
		f.send(http.MethodPut, "/keyed/plans/a", longBody).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
		f.get("/keyed/plans/a").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}
