package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/bodybudget"
)

const (
	testBodyLimit = 1 << 20
	// testBodySize is a size of which one body fits the limit and two do not.
	testBodySize = 600 << 10
)

// blockingBackend answers requests without a body at once, and others once finish is closed. It
// sends on running when it has read one.
type blockingBackend struct{ running, finish chan struct{} }

func newBlockingBackend() *blockingBackend {
	return &blockingBackend{running: make(chan struct{}, 16), finish: make(chan struct{})}
}

func (b *blockingBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if size, _ := io.Copy(io.Discard, r.Body); size > 0 {
		b.running <- struct{}{}
		<-b.finish
	}
	serveComplete(w, r)
}

// upload sends a request with a body and returns its status.
func (h *twoHops) upload(ctx context.Context, t *testing.T, address, id string, body io.Reader) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/a/b", body)
	assert.Check(t, err)
	request.Host = "h"
	request.Header.Set("Try-Name", id)
	request.Header.Set("Wait-Ms", "20000")
	response, err := http.DefaultClient.Do(request)
	if !assert.Check(t, err) {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// sendHeader sends the header of a request whose body of a length does not come.
func (h *twoHops) sendHeader(t *testing.T, id, waitMs string, length int) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", h.caller)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /a/b HTTP/1.1\r\nHost: h\r\nTry-Name: %s\r\nWait-Ms: %s\r\nContent-Length: %d\r\n\r\n", id, waitMs, length)
	assert.NilError(t, err)
	return conn, bufio.NewReader(conn)
}

// beginUpload starts an upload that the back end has read, and returns the channel of its status.
func (h *twoHops) beginUpload(t *testing.T, backend *blockingBackend, id string) <-chan int {
	status := make(chan int, 1)
	go func() {
		status <- h.upload(t.Context(), t, h.caller, id, strings.NewReader(strings.Repeat("x", testBodySize)))
	}()
	<-backend.running
	return status
}

// Bodies were counted only once they had been read, so that many at once exceeded the process's
// memory. A further one is refused before any of it is read; requests without one are served.
func TestBodyBeyondTheBoundIsRefusedBeforeItIsRead(t *testing.T) {
	backend := newBlockingBackend()
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second}, backend)
	hops.near.callerBodies = bodybudget.New(testBodyLimit)
	first := hops.beginUpload(t, backend, "r-1")
	_, reader := hops.sendHeader(t, "r-2", "20000", testBodySize)
	refused, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, refused.Header.Get("Retry-After") != "")
	assert.Equal(t, hops.upload(t.Context(), t, hops.caller, "r-3", nil), http.StatusOK)
	close(backend.finish)
	assert.Equal(t, <-first, http.StatusOK)
	eventually(t, func() bool { return hops.near.callerBodies.Reserved() == 0 && hops.far.peerBodies.Reserved() == 0 })
	assert.Equal(t, hops.upload(t.Context(), t, hops.caller, "r-4", strings.NewReader(strings.Repeat("x", testBodySize))), http.StatusOK)
}

// The listener for other gateways has a bound of its own. What it refuses has not run.
func TestForwardedBodyBeyondTheBoundIsRefused(t *testing.T) {
	backend := newBlockingBackend()
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second}, backend)
	hops.far.peerBodies = bodybudget.New(testBodyLimit)
	first := hops.beginUpload(t, backend, "r-1")
	body := strings.NewReader(strings.Repeat("x", testBodySize))
	assert.Equal(t, hops.upload(t.Context(), t, hops.caller, "r-2", body), http.StatusServiceUnavailable)
	assert.Equal(t, len(backend.running), 0, "refused, but it ran")
	assert.Equal(t, hops.upload(t.Context(), t, hops.farCaller, "r-3", nil), http.StatusOK)
	close(backend.finish)
	assert.Equal(t, <-first, http.StatusOK)
}

// A body without a stated length is bounded as it arrives.
func TestBodyOfUnknownLengthIsBounded(t *testing.T) {
	backend := newBlockingBackend()
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second}, backend)
	hops.near.callerBodies = bodybudget.New(testBodyLimit)
	first := hops.beginUpload(t, backend, "r-1")
	// io.MultiReader hides the length.
	unknown := func(size int) io.Reader { return io.MultiReader(strings.NewReader(strings.Repeat("x", size))) }
	assert.Equal(t, hops.upload(t.Context(), t, hops.caller, "r-2", unknown(testBodySize)), http.StatusServiceUnavailable)
	close(backend.finish)
	assert.Equal(t, hops.upload(t.Context(), t, hops.caller, "r-3", unknown(20<<10)), http.StatusOK)
	assert.Equal(t, <-first, http.StatusOK)
	eventually(t, func() bool { return hops.near.callerBodies.Reserved() == 0 })
	assert.Equal(t, hops.upload(t.Context(), t, hops.caller, "r-4", unknown(2*testBodySize)), http.StatusOK, "alone")
}

// A caller that stops sending keeps the bytes of its body reserved until its deadline only.
func TestBodyThatDoesNotArriveIsGivenUpAtTheDeadline(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second}, newBlockingBackend())
	conn, reader := hops.sendHeader(t, "r-1", "50", testBodySize)
	_, err := conn.Write([]byte("begun"))
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestTimeout)
	eventually(t, func() bool { return hops.near.callerBodies.Reserved() == 0 })
}

// A length that no gateway forwards is refused before memory is taken for it.
func TestForwardedBodyBeyondTheLongestOneIsRefused(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second}, newBlockingBackend())
	conn, err := net.Dial("tcp", hops.far.config.PeerListen)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST /a/b HTTP/1.1\r\nHost: h\r\nWait-Ms: 1000\r\n%s: 500\r\n%s: 300\r\n%s: 1\r\n%s: i\r\nContent-Length: %d\r\n\r\n",
		fieldDue, fieldTarget, fieldPriority, fieldInstance, int64(1)<<50)
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.Header.Get(fieldOutcome), string(outcomeNotRun))
	assert.Equal(t, hops.far.peerBodies.Reserved(), int64(0))
}

func TestBodyBeyondTheConfiguredLengthIsRefused(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second}, newBlockingBackend())
	_, reader := hops.sendHeader(t, "r-1", "20000", defaultMaxBody+1)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
}
