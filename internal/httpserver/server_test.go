package httpserver_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/httpserver"
)

// constructor makes a server as httpserver.New does.
type constructor func(server *http.Server, listener httpserver.Listener, maximumConnections int) *httpserver.Server

// forEachServer runs a test with connections that carry one request after the other, and
// with those on which callers may send ahead.
func forEachServer(t *testing.T, test func(*testing.T, constructor)) {
	t.Run("sequential", func(t *testing.T) { test(t, httpserver.New) })
	t.Run("pipelined", func(t *testing.T) {
		test(t, func(server *http.Server, listener httpserver.Listener, maximumConnections int) *httpserver.Server {
			always := func(*http.Request) bool { return true }
			return httpserver.NewPipelined(server, listener, maximumConnections, httpserver.Pipelining{Repeatable: always})
		})
	})
}

// start serves a handler and returns the server, its address and what Serve
// returns.
func start(t *testing.T, newServer constructor, handler http.HandlerFunc, maximumConnections int) (*httpserver.Server, string, chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := newServer(&http.Server{Handler: handler}, listener.(*net.TCPListener), maximumConnections)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	return server, listener.Addr().String(), served
}

// One connection may be open and carries a slow request, so that ten others wait
// in the backlog with theirs: closing a listener resets such connections.
func TestStopServesTheBacklog(t *testing.T) { forEachServer(t, testStopServesTheBacklog) }

func testStopServesTheBacklog(t *testing.T, newServer constructor) {
	entered, thaw := make(chan struct{}, 1), make(chan struct{})
	var handled atomic.Int64
	server, address, served := start(t, newServer, func(_ http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		if r.URL.Path == "/slow" {
			entered <- struct{}{}
			<-thaw
		}
	}, 1)
	slow := make(chan error, 1)
	go func() { slow <- get("http://" + address + "/slow") }()
	<-entered
	const waiting = 10
	errs := make(chan error, waiting)
	var connections [waiting]net.Conn
	for i := range connections {
		var err error
		connections[i], err = net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = io.WriteString(connections[i], "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
	}
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	for _, connection := range connections {
		go func() {
			_, err := http.ReadResponse(bufio.NewReader(connection), nil)
			errs <- err
		}()
	}
	for range waiting {
		assert.NilError(t, <-errs)
	}
	assert.NilError(t, <-served)
	close(thaw)
	assert.NilError(t, <-slow)
	assert.NilError(t, <-stopped)
	assert.Equal(t, handled.Load(), int64(waiting+1))
}

func get(url string) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// The request's first bytes arrived before the stop and its last ones after:
// net/http alone closes the connection without an answer.
func TestRequestThatIsBeingReadIsAnswered(t *testing.T) {
	forEachServer(t, testRequestThatIsBeingReadIsAnswered)
}

func testRequestThatIsBeingReadIsAnswered(t *testing.T, newServer constructor) {
	server, address, served := start(t, newServer, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 0)
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n")
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	assert.NilError(t, <-served)
	_, err = io.WriteString(connection, "\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close)
	assert.NilError(t, <-stopped)
}

func TestStopReportsWhatItCutsOff(t *testing.T) { forEachServer(t, testStopReportsWhatItCutsOff) }

func testStopReportsWhatItCutsOff(t *testing.T, newServer constructor) {
	entered := make(chan struct{})
	server, address, _ := start(t, newServer, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	}, 0)
	cutOff := make(chan error, 1)
	go func() { cutOff <- get("http://" + address) }()
	<-entered
	assert.Equal(t, server.Open(http.StateActive), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	var cutOffError *httpserver.CutOffError
	assert.Assert(t, errors.As(server.Stop(ctx), &cutOffError))
	assert.Equal(t, cutOffError.Requests, 1)
	assert.Assert(t, <-cutOff != nil)
}

// All connections that may be open are open and idle; a stop is not held up.
func TestStopAtTheLimitOfConnections(t *testing.T) { forEachServer(t, testStopAtTheLimitOfConnections) }

func testStopAtTheLimitOfConnections(t *testing.T, newServer constructor) {
	server, address, served := start(t, newServer, func(http.ResponseWriter, *http.Request) {}, 1)
	client := &http.Client{Transport: &http.Transport{}}
	response, err := client.Get("http://" + address)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	waiting, err := net.Dial("tcp", address) // in the backlog
	assert.NilError(t, err)
	defer waiting.Close()
	assert.NilError(t, server.Stop(t.Context()))
	assert.NilError(t, <-served)
	client.CloseIdleConnections()
}

// The first server has a request in progress until its time is over. One after
// the other, the second would go on accepting connections until then, and would
// have no time left for its own requests.
func TestStopAllStopsEachAtOnce(t *testing.T) { forEachServer(t, testStopAllStopsEachAtOnce) }

func testStopAllStopsEachAtOnce(t *testing.T, newServer constructor) {
	entered, thaw := make(chan struct{}), make(chan struct{})
	busy, address, _ := start(t, newServer, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-thaw
	}, 0)
	other, _, otherServed := start(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
	slow := make(chan error, 1)
	go func() { slow <- get("http://" + address) }()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- httpserver.StopAll(t.Context(), busy, other) }()
	assert.NilError(t, <-otherServed, "the second has stopped accepting while the first still waits")
	close(thaw)
	assert.NilError(t, <-slow)
	assert.NilError(t, <-stopped)
}

// A connection that never sent a byte carries no request. Where the time of a
// stop ends while one is open, nothing was cut off, and the stop did not fail.
func TestAStopThatCutsNothingOffIsNoFailure(t *testing.T) {
	forEachServer(t, testAStopThatCutsNothingOffIsNoFailure)
}

func testAStopThatCutsNothingOffIsNoFailure(t *testing.T, newServer constructor) {
	server, address, _ := start(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	for server.Open(http.StateNew) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, server.Stop(ctx))
}

// countingListener tells each read of its connections.
type countingListener struct {
	*net.TCPListener
	read chan struct{}
}

func (l countingListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	return countingConnection{connection, l.read}, err
}

type countingConnection struct {
	net.Conn
	read chan struct{}
}

func (c countingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.read <- struct{}{}
	}
	return count, err
}

// A connection is kept open after a request, and the next one's first bytes were
// read before the stop. net/http counts the connection as idle until the whole
// header was read, and closes it without an answer.
func TestRequestThatIsBeingReadOnAKeptConnectionIsAnswered(t *testing.T) {
	forEachServer(t, testRequestThatIsBeingReadOnAKeptConnectionIsAnswered)
}

func testRequestThatIsBeingReadOnAKeptConnectionIsAnswered(t *testing.T, newServer constructor) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counting := countingListener{listener.(*net.TCPListener), make(chan struct{}, 100)}
	server := newServer(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, counting, 0)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, !response.Close)
	<-counting.read

	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n")
	assert.NilError(t, err)
	<-counting.read
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	assert.NilError(t, <-served)
	_, err = io.WriteString(connection, "\r\n")
	assert.NilError(t, err)
	response, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close)
	assert.NilError(t, <-stopped)
}

// The next request on a kept-open connection has arrived in the kernel when the
// stop begins, and was not read yet: closing the connection as idle loses it.
func TestRequestThatHasArrivedOnAKeptConnectionIsAnswered(t *testing.T) {
	forEachServer(t, testRequestThatHasArrivedOnAKeptConnectionIsAnswered)
}

func testRequestThatHasArrivedOnAKeptConnectionIsAnswered(t *testing.T, newServer constructor) {
	const rounds, connections = 10, 16
	for range rounds {
		server, address, served := start(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
		var readers [connections]*bufio.Reader
		var kept [connections]net.Conn
		for i := range kept {
			var err error
			kept[i], err = net.Dial("tcp", address)
			assert.NilError(t, err)
			defer kept[i].Close()
			readers[i] = bufio.NewReader(kept[i])
			request(t, kept[i])
			response, err := http.ReadResponse(readers[i], nil)
			assert.NilError(t, err)
			assert.Assert(t, !response.Close)
		}
		for _, connection := range kept {
			request(t, connection)
		}
		stopped := make(chan error, 1)
		go func() { stopped <- server.Stop(t.Context()) }()
		for _, reader := range readers {
			_, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
		}
		assert.NilError(t, <-served)
		assert.NilError(t, <-stopped)
	}
}

// A caller that goes on sending on a connection that it keeps is told to leave
// it, and has an answer to each request.
func TestStopTellsCallersToLeaveKeptConnections(t *testing.T) {
	forEachServer(t, testStopTellsCallersToLeaveKeptConnections)
}

func testStopTellsCallersToLeaveKeptConnections(t *testing.T, newServer constructor) {
	server, address, served := start(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	request(t, connection)
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	assert.NilError(t, <-served)
	request(t, connection)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, response.Close)
	assert.NilError(t, <-stopped)
}

func request(t *testing.T, connection net.Conn) {
	t.Helper()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
}

// Over TLS the same holds, with HTTP/1.1 and with HTTP/2: a request that has
// arrived on a kept-open connection is answered, and the idle connection then
// does not hold the stop up.
func TestStopOverTLSAnswersOnKeptConnections(t *testing.T) {
	forEachServer(t, testStopOverTLSAnswersOnKeptConnections)
}

func testStopOverTLSAnswersOnKeptConnections(t *testing.T, newServer constructor) {
	for _, second := range []bool{false, true} {
		certified := httptest.NewUnstartedServer(nil)
		certified.EnableHTTP2 = second
		certified.StartTLS()
		defer certified.Close()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := newServer(&http.Server{Handler: handler, TLSConfig: certified.TLS.Clone()}, listener.(*net.TCPListener), 0)
		served := make(chan error, 1)
		go func() { served <- server.Serve() }()
		url := "https://" + listener.Addr().String()
		client := certified.Client()
		send := func() error {
			response, err := client.Get(url)
			if err != nil {
				return err
			}
			assert.Check(t, (response.ProtoMajor == 2) == second, response.Proto)
			return response.Body.Close()
		}
		assert.NilError(t, send())
		stopped := make(chan error, 1)
		go func() { stopped <- server.Stop(t.Context()) }()
		assert.NilError(t, <-served)
		assert.NilError(t, send())
		assert.NilError(t, <-stopped)
	}
}
