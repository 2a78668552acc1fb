package httpserver_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/httpserver"
)

// safePath marks requests that may be repeated.
func safePath(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/safe") }

// startPipelined serves a handler to callers that may send ahead.
func startPipelined(t testing.TB, handler http.HandlerFunc, settings httpserver.Pipelining) (*httpserver.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	if settings.Repeatable == nil {
		settings.Repeatable = safePath
	}
	inner := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	server := httpserver.NewPipelined(inner, listener.(*net.TCPListener), 0, settings)
	go func() { _ = server.Serve() }()
	return server, listener.Addr().String()
}

// caller is one connection of a caller.
type caller struct {
	t testing.TB
	net.Conn
	answers *bufio.Reader
}

func connect(t testing.TB, address string) *caller {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	return &caller{t, connection, bufio.NewReader(connection)}
}

// send writes requests without content.
func (c *caller) send(paths ...string) {
	c.t.Helper()
	for _, path := range paths {
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		assert.NilError(c.t, err)
	}
}

// answer reads the next answer and returns its status, body and whether the connection
// ends with it.
func (c *caller) answer() (status int, body string, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.answers, nil)
	assert.NilError(c.t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, string(content), response.Close
}

// stages lets a test see which requests have begun and end them.
type stages struct {
	begun chan string
	ends  map[string]chan string
}

func newStages(paths ...string) *stages {
	s := &stages{begun: make(chan string, len(paths)), ends: map[string]chan string{}}
	for _, path := range paths {
		s.ends[path] = make(chan string, 1)
	}
	return s
}

func (s *stages) serve(w http.ResponseWriter, r *http.Request) {
	s.begun <- r.URL.Path
	select {
	case body := <-s.ends[r.URL.Path]:
		_, _ = io.WriteString(w, body)
	case <-r.Context().Done():
	}
}

func (s *stages) end(path, body string) { s.ends[path] <- body }

// Requests that may be repeated run side by side; answers come in the order of the
// requests, each to its own.
func TestRequestsSentAheadRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	paths := []string{"/safe/1", "/safe/2", "/safe/3"}
	s := newStages(paths...)
	_, address := startPipelined(t, s.serve, httpserver.Pipelining{})
	c := connect(t, address)
	c.send(paths...)
	for range paths {
		<-s.begun
	}
	s.end("/safe/3", "three")
	s.end("/safe/2", strings.Repeat("2", 200<<10)) // more than is kept
	s.end("/safe/1", "one")
	for _, want := range []string{"one", strings.Repeat("2", 200<<10), "three"} {
		status, body, closes := c.answer()
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, body == want)
		assert.Assert(t, !closes)
	}
}

// What may not be repeated begins once everything before it is answered, and nothing
// behind it begins before it is.
func TestARequestThatMayNotBeRepeatedRunsAlone(t *testing.T) {
	paths := []string{"/safe/1", "/once", "/safe/2"}
	s := newStages(paths...)
	_, address := startPipelined(t, s.serve, httpserver.Pipelining{})
	c := connect(t, address)
	c.send(paths...)
	for _, path := range paths {
		assert.Equal(t, <-s.begun, path)
		select {
		case early := <-s.begun:
			t.Fatalf("%s began beside %s", early, path)
		case <-time.After(20 * time.Millisecond):
		}
		s.end(path, path)
		_, body, _ := c.answer()
		assert.Equal(t, body, path)
	}
}

// A body is the request's own, however it is framed and split, with requests before and
// behind it.
func TestBodiesInALine(t *testing.T) {
	_, address := startPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil)
		fmt.Fprintf(w, "%s %s %d", r.Method, r.URL.Path, len(body))
	}, httpserver.Pipelining{ReadAhead: 4 << 10})
	large := strings.Repeat("x", 100_000)
	line := "GET /safe/1 HTTP/1.1\r\nHost: a\r\n\r\n" +
		"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" + large +
		"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;ext=1\r\nGET /\r\n186a0\r\n" + large + "\r\n0\r\nTrailer: 1\r\n\r\n" +
		"GET /safe/2 HTTP/1.1\r\nHost: a\r\n\r\n"
	for _, piece := range []int{1 << 20, 1000, 7} {
		c := connect(t, address)
		go func() {
			for rest := []byte(line); len(rest) > 0; rest = rest[min(piece, len(rest)):] {
				_, _ = c.Write(rest[:min(piece, len(rest))])
			}
		}()
		for _, want := range []string{"GET /safe/1 0", "POST /a 100000", "POST /b 100005", "GET /safe/2 0"} {
			_, body, _ := c.answer()
			assert.Equal(t, body, want)
		}
	}
}

// A caller that leaves ends all of its requests in progress, also behind one another.
func TestACallerThatLeavesCancelsItsLine(t *testing.T) {
	for name, leave := range map[string]func(*caller){
		"close": func(c *caller) { _ = c.Close() },
		"reset": func(c *caller) {
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}, 8), make(chan struct{}, 8)
			_, address := startPipelined(t, func(_ http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				<-r.Context().Done()
				ended <- struct{}{}
			}, httpserver.Pipelining{Requests: 2})
			c := connect(t, address)
			c.send("/safe/1", "/safe/2", "/safe/3", "/safe/4")
			<-begun
			<-begun
			leave(c)
			<-ended
			<-ended
			select {
			case <-begun:
				t.Fatal("a request of a caller that is gone began")
			case <-time.After(20 * time.Millisecond):
			}
		})
	}
}

// A malformed request is answered in its turn and ends the connection; what stands before
// it is answered, and nothing behind it runs.
func TestAMalformedRequestEndsItsLine(t *testing.T) {
	for name, malformed := range map[string]string{
		"no protocol":     "GARBAGE\r\n\r\n",
		"two lengths":     "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"length and code": "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: gzip\r\n\r\nx",
		"no host":         "GET /safe/b HTTP/1.1\r\n\r\n",
		"long header":     "GET /safe/b HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n",
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
				status, _, closes := c.answer()
				assert.Equal(t, status, http.StatusOK)
				assert.Assert(t, !closes)
			}
			status, _, closes := c.answer()
			assert.Assert(t, status >= 400 && closes, "%d", status)
			assert.Equal(t, handled.Load(), int64(2))
		})
	}
}

// The read-ahead is bounded: what is beyond stays with the caller.
func TestTheReadAheadIsBounded(t *testing.T) {
	release := make(chan struct{})
	var begun atomic.Int64
	_, address := startPipelined(t, func(http.ResponseWriter, *http.Request) {
		begun.Add(1)
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
	assert.Equal(t, begun.Load(), int64(3))
	close(release)
	for range 1000 {
		c.answer()
	}
}

// A caller that takes nothing of an answer is cut off.
func TestACallerThatReadsNothingIsCutOff(t *testing.T) {
	stalled := &stalls{seen: make(chan struct{})}
	_, address := startPipelined(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 64<<20))
	}, httpserver.Pipelining{WriteStall: 50 * time.Millisecond, Observer: stalled})
	c := connect(t, address)
	c.send("/safe/1", "/safe/2")
	<-stalled.seen
}

type stalls struct{ seen chan struct{} }

func (s *stalls) Begun(*http.Request, int)                           {}
func (s *stalls) Waited(*http.Request, *http.Request, time.Duration) {}
func (s *stalls) Stalled(net.Addr, int)                              { close(s.seen) }

// A planned stop answers what was read, in order; the last answer ends the connection.
func TestStopAnswersALine(t *testing.T) {
	paths := []string{"/safe/1", "/safe/2"}
	s := newStages(paths...)
	server, address := startPipelined(t, s.serve, httpserver.Pipelining{})
	c := connect(t, address)
	c.send(paths...)
	<-s.begun
	<-s.begun
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	s.end("/safe/2", "two")
	s.end("/safe/1", "one")
	for _, want := range []string{"one", "two"} {
		_, body, _ := c.answer()
		assert.Equal(t, body, want)
	}
	assert.NilError(t, <-stopped)
	_, err := c.answers.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// An answer that asks to end the connection does so only where nothing was read behind it.
func TestOnlyTheLastAnswerEndsTheConnection(t *testing.T) {
	arrived, leave := make(chan struct{}, 2), make(chan struct{})
	_, address := startPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		arrived <- struct{}{}
		<-leave
		httpserver.EndConnection(w, r)
		_, _ = io.WriteString(w, r.URL.Path)
	}, httpserver.Pipelining{})
	c := connect(t, address)
	c.send("/safe/1", "/safe/2")
	<-arrived
	<-arrived
	close(leave)
	_, _, closes := c.answer()
	assert.Assert(t, !closes)
	_, body, closes := c.answer()
	assert.Assert(t, closes && body == "/safe/2")
}

// An answer that breaks off ends its connection; it does not look whole, and what was sent
// behind it has no answer.
func TestAnAnswerThatBreaksOffEndsItsLine(t *testing.T) {
	_, address := startPipelined(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/safe/broken" {
			w.Header().Set("Content-Length", "10")
			_, _ = io.WriteString(w, "half")
			panic(http.ErrAbortHandler)
		}
	}, httpserver.Pipelining{})
	c := connect(t, address)
	c.send("/safe/1", "/safe/broken", "/safe/2")
	c.answer()
	rest, _ := io.ReadAll(c.answers)
	assert.Assert(t, !strings.Contains(string(rest), "HTTP/1.1 200 OK\r\nDate") || !bytes.Contains(rest, []byte("Content-Length: 0")), "%s", rest)
	assert.Assert(t, strings.HasSuffix(string(rest), "half") || len(rest) == 0, "%s", rest)
}

// An idle connection is closed after its time, and one without a request after the time
// for a header.
func TestIdlePipelinesEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	inner := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: 30 * time.Millisecond, IdleTimeout: 30 * time.Millisecond}
	server := httpserver.NewPipelined(inner, listener.(*net.TCPListener), 0, httpserver.Pipelining{Repeatable: safePath})
	go func() { _ = server.Serve() }()
	silent, partial, idle := connect(t, listener.Addr().String()), connect(t, listener.Addr().String()), connect(t, listener.Addr().String())
	_, _ = io.WriteString(partial, "GET / HTTP/1.1\r\n")
	idle.send("/safe/1")
	idle.answer()
	for _, c := range []*caller{silent, partial, idle} {
		rest, err := io.ReadAll(c.answers)
		assert.Assert(t, err == nil && len(rest) == 0, "%v %q", err, rest)
	}
	assert.NilError(t, server.Stop(t.Context()))
}
