package httpserver_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/httpserver"
)

// isSafePath reports whether a request may be repeated.
func isSafePath(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe") }

// startPipelined serves a handler with pipelining and returns the server and its address.
func startPipelined(t testing.TB, handler http.HandlerFunc, settings httpserver.Pipelining) (*httpserver.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if settings.Repeatable == nil {
		settings.Repeatable = isSafePath
	}
	inner := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	server := httpserver.NewPipelined(inner, listener.(*net.TCPListener), 0, settings)
	go func() { _ = server.Serve() }()
	return server, listener.Addr().String()
}

// testClient is one connection of a client.
type testClient struct {
	t testing.TB
	net.Conn
	responses *bufio.Reader
}

func connect(t testing.TB, address string) *testClient {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return &testClient{t, connection, bufio.NewReader(connection)}
}

// send writes requests without content.
func (c *testClient) send(paths ...string) {
	c.t.Helper()
	for _, path := range paths {
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		assert.NilError(c.t, err)
	}
}

// readResponse reads the next response and returns its status, its body and whether the
// connection ends with it.
func (c *testClient) readResponse() (status int, body string, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.responses, nil)
	assert.NilError(c.t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, string(content), response.Close
}

// controlledHandler is a handler that tells a test which requests have started, and
// responds when the test says so.
type controlledHandler struct {
	started chan string
	bodies  map[string]chan string
}

func newControlledHandler(paths ...string) *controlledHandler {
	h := &controlledHandler{started: make(chan string, len(paths)), bodies: map[string]chan string{}}
	for _, path := range paths {
		h.bodies[path] = make(chan string, 1)
	}
	return h
}

func (h *controlledHandler) serve(w http.ResponseWriter, r *http.Request) {
	h.started <- r.URL.Path
	select {
	case body := <-h.bodies[r.URL.Path]:
		_, _ = io.WriteString(w, body)
	case <-r.Context().Done():
	}
}

// respond ends the request for a path with a body.
func (h *controlledHandler) respond(path, body string) { h.bodies[path] <- body }

// Pipelined requests that may be repeated run concurrently, and their responses are sent in
// the order of the requests.
func TestRepeatableRequestsRunConcurrentlyAndAreAnsweredInOrder(t *testing.T) {
	paths := []string{"/safe/1", "/safe/2", "/safe/3"}
	h := newControlledHandler(paths...)
	_, address := startPipelined(t, h.serve, httpserver.Pipelining{})
	c := connect(t, address)
	c.send(paths...)
	for range paths {
		<-h.started
	}
	h.respond("/safe/3", "three")
	h.respond("/safe/2", strings.Repeat("2", 200<<10)) // more than OutputBuffer
	h.respond("/safe/1", "one")
	for _, want := range []string{"one", strings.Repeat("2", 200<<10), "three"} {
		status, body, closes := c.readResponse()
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, body == want)
		assert.Assert(t, !closes)
	}
}

// A request that may not be repeated starts once all requests before it are answered, and
// the ones after it start once it is answered.
func TestNonRepeatableRequestRunsAlone(t *testing.T) {
	paths := []string{"/safe/1", "/once", "/safe/2"}
	h := newControlledHandler(paths...)
	_, address := startPipelined(t, h.serve, httpserver.Pipelining{})
	c := connect(t, address)
	c.send(paths...)
	for _, path := range paths {
		assert.Equal(t, <-h.started, path)
		select {
		case early := <-h.started:
			t.Fatalf("%s started while %s was in progress", early, path)
		case <-time.After(20 * time.Millisecond):
		}
		h.respond(path, path)
		_, body, _ := c.readResponse()
		assert.Equal(t, body, path)
	}
}

// Bodies must reach their own requests, however they are framed and split into writes, with
// other requests before and after them.
func TestBodiesOfPipelinedRequests(t *testing.T) {
	_, address := startPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil)
		fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
	}, httpserver.Pipelining{ReadAhead: 4 << 10})
	large := strings.Repeat("x", 100_000)
	requests := "GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n" +
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + large +
		"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=1\r\nGET /\r\n186a0\r\n" + large + "\r\n0\r\nTrailer: 1\r\n\r\n" +
		"GET /safe/2 HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, chunk := range []int{1 << 20, 1000, 7} {
		c := connect(t, address)
		go func() {
			for rest := []byte(requests); len(rest) > 0; rest = rest[min(chunk, len(rest)):] {
				_, _ = c.Write(rest[:min(chunk, len(rest))])
			}
		}()
		for _, want := range []string{"GET /safe/1 0", "POST /a 100000", "POST /b 100005", "GET /safe/2 0"} {
			_, body, _ := c.readResponse()
			assert.Equal(t, body, want)
		}
	}
}

// When a client closes or resets its connection, all its requests in progress are cancelled,
// not only the first, and those that have not started are dropped.
func TestClosedConnectionCancelsAllRequests(t *testing.T) {
	for name, disconnect := range map[string]func(*testClient){
		"close": func(c *testClient) { _ = c.Close() },
		"reset": func(c *testClient) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			started, ended := make(chan struct{}, 8), make(chan struct{}, 8)
			_, address := startPipelined(t, func(_ http.ResponseWriter, r *http.Request) {
				started <- struct{}{}
				<-r.Context().Done()
				ended <- struct{}{}
			}, httpserver.Pipelining{Requests: 2})
			c := connect(t, address)
			c.send("/safe/1", "/safe/2", "/safe/3", "/safe/4")
			<-started
			<-started
			disconnect(c)
			<-ended
			<-ended
			select {
			case <-started:
				t.Fatal("a request started after its client had disconnected")
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
}

// A malformed request gets its error response after the responses to the requests before
// it, and ends the connection. Requests after it don't run.
func TestMalformedRequestEndsPipeline(t *testing.T) {
	for name, malformed := range map[string]string{
		"no protocol":         "GARBAGE\r\n\r\n",
		"two lengths":         "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"length and encoding": "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\nx",
		"no host":             "GET /safe/b HTTP/1.1\r\n\r\n",
		"long header":         "GET /safe/b HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var handled atomic.Int64
			_, address := startPipelined(t, func(w http.ResponseWriter, r *http.Request) {
				handled.Add(1)
				assert.Check(t, r.URL.Path == "/safe/a")
			}, httpserver.Pipelining{})
			c := connect(t, address)
			c.send("/safe/a", "/safe/a")
			go func() { _, _ = io.WriteString(c, malformed+"GET /safe/c HTTP/1.1\r\nHost: a\r\n\r\n") }()
			for range 2 {
				status, _, closes := c.readResponse()
				assert.Equal(t, status, http.StatusOK)
				assert.Assert(t, !closes)
			}
			status, _, closes := c.readResponse()
			assert.Assert(t, status >= 400 && closes, "%d", status)
			assert.Equal(t, handled.Load(), int64(2))
		})
	}
}

// A client that sends more requests than ReadAhead must be stopped by flow control.
func TestReadAheadIsBounded(t *testing.T) {
	release := make(chan struct{})
	var started atomic.Int64
	_, address := startPipelined(t, func(http.ResponseWriter, *http.Request) {
		started.Add(1)
		<-release
	}, httpserver.Pipelining{Requests: 3, ReadAhead: 1000})
	c := connect(t, address)
	written := make(chan struct{})
	go func() {
		defer close(written)
		// More than the kernel's buffers on both sides hold.
		_, _ = c.Write(bytes.Repeat([]byte("GET /safe HTTP/1.1\r\nHost: a\r\n\r\n"), 1<<20))
	}()
	select {
	case <-written:
		t.Fatal("30 MB were read ahead")
	case <-time.After(200 * time.Millisecond):
	}
	assert.Equal(t, started.Load(), int64(3))
	close(release)
	for range 1000 {
		c.readResponse()
	}
}

// The connection of a client that doesn't read its response is closed.
func TestStalledClientIsDisconnected(t *testing.T) {
	observer := &stallObserver{stalled: make(chan struct{})}
	_, address := startPipelined(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<20))
	}, httpserver.Pipelining{WriteStall: 50 * time.Millisecond, Observer: observer})
	c := connect(t, address)
	c.send("/safe/1", "/safe/2")
	<-observer.stalled
}

// stallObserver closes stalled when Stalled is called.
type stallObserver struct{ stalled chan struct{} }

func (s *stallObserver) Begun(*http.Request, int)                           {}
func (s *stallObserver) Waited(*http.Request, *http.Request, time.Duration) {}
func (s *stallObserver) Stalled(net.Addr, int)                              { close(s.stalled) }

// Stop lets all requests that were read be answered, in order, and then ends the connection.
func TestStopAnswersPipelinedRequests(t *testing.T) {
	paths := []string{"/safe/1", "/safe/2"}
	h := newControlledHandler(paths...)
	server, address := startPipelined(t, h.serve, httpserver.Pipelining{})
	c := connect(t, address)
	c.send(paths...)
	<-h.started
	<-h.started
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	h.respond("/safe/2", "two")
	h.respond("/safe/1", "one")
	for _, want := range []string{"one", "two"} {
		_, body, _ := c.readResponse()
		assert.Equal(t, body, want)
	}
	assert.NilError(t, <-stopped)
	_, err := c.responses.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// EndConnection ends the connection only if no request was read after the present one.
func TestOnlyLastResponseEndsConnection(t *testing.T) {
	arrived, respond := make(chan struct{}, 2), make(chan struct{})
	_, address := startPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-respond
		httpserver.EndConnection(w, r)
		_, _ = io.WriteString(w, r.URL.Path)
	}, httpserver.Pipelining{})
	c := connect(t, address)
	c.send("/safe/1", "/safe/2")
	<-arrived
	<-arrived
	close(respond)
	_, _, closes := c.readResponse()
	assert.Assert(t, !closes)
	_, body, closes := c.readResponse()
	assert.Assert(t, closes && body == "/safe/2")
}

// A response that a handler aborts ends its connection. It must not look complete, and
// requests after it get no response.
func TestAbortedResponseEndsPipeline(t *testing.T) {
	_, address := startPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/broken" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		}
	}, httpserver.Pipelining{})
	c := connect(t, address)
	c.send("/safe/1", "/safe/broken", "/safe/2")
	c.readResponse()
	rest, _ := io.ReadAll(c.responses)
	assert.Assert(t, !strings.Contains(string(rest), "HTTP/1.1 200 OK\r\nDate") || !bytes.Contains(rest, []byte("Content-Length: 0")), "%s", rest)
	assert.Assert(t, strings.HasSuffix(string(rest), "half") || len(rest) == 0, "%s", rest)
}

// An idle connection is closed after IdleTimeout, and one without a complete header after
// ReadHeaderTimeout.
func TestIdleAndSilentConnectionsTimeOut(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	inner := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: 30 * time.Millisecond, IdleTimeout: 30 * time.Millisecond}
	server := httpserver.NewPipelined(inner, listener.(*net.TCPListener), 0, httpserver.Pipelining{Repeatable: isSafePath})
	go func() { _ = server.Serve() }()
	silent, partial, idle := connect(t, listener.Addr().String()), connect(t, listener.Addr().String()), connect(t, listener.Addr().String())
	_, _ = io.WriteString(partial, "GET / HTTP/1.1\r\n")
	idle.send("/safe/1")
	idle.readResponse()
	for _, c := range []*testClient{silent, partial, idle} {
		rest, err := io.ReadAll(c.responses)
		assert.Assert(t, err == nil && len(rest) == 0, "%v %q", err, rest)
	}
	assert.NilError(t, server.Stop(t.Context()))
}

// The rest of a body whose request was refused was kept in memory until its connection ended.
func TestRestOfRefusedBodyIsNotKept(t *testing.T) {
	_, address := startPipelined(t, func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "refused", http.StatusServiceUnavailable)
	}, httpserver.Pipelining{})
	c := connect(t, address)
	const length = 32 << 20
	before := liveHeap()
	_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", length)
	assert.NilError(t, err)
	status, _, closes := c.readResponse()
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Assert(t, closes)
	rest := make([]byte, 64<<10)
	sent := 0
	for sent < length-len(rest) {
		count, err := c.Write(rest)
		sent += count
		if err != nil {
			break
		}
	}
	kept := liveHeap() - before
	assert.Assert(t, kept < int64(sent)/4, "%d bytes are kept of %d that were sent", kept, sent)
}

// liveHeap returns the bytes of live objects.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
