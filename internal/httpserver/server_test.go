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

// constructor is a function that creates a server, as httpserver.New does.
type constructor func(server *http.Server, listener httpserver.Listener, maximumConnections int) *httpserver.Server

// forEachServer runs a test without and with pipelining.
func forEachServer(t *testing.T, test func(*testing.T, constructor)) {
	t.Run("sequential", func(t *testing.T) { test(t, httpserver.New) })
	t.Run("pipelined", func(t *testing.T) {
		test(t, func(server *http.Server, listener httpserver.Listener, maximumConnections int) *httpserver.Server {
			always := func(*http.Request) bool { return true }
			return httpserver.NewPipelined(server, listener, maximumConnections, httpserver.Pipelining{Repeatable: always})
		})
	})
}

// startServer serves a handler and returns the server, its address and what Serve
// returns.
func startServer(t *testing.T, newServer constructor, handler http.HandlerFunc, maximumConnections int) (*httpserver.Server, string, chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := newServer(&http.Server{Handler: handler}, listener.(*net.TCPListener), maximumConnections)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	return server, listener.Addr().String(), served
}

// The only connection that may be open carries a slow request, so that ten others wait
// in the backlog with their requests. Closing a listener resets such connections, so Stop
// must accept them first.
func TestStopServesTheBacklog(t *testing.T) { forEachServer(t, testStopServesTheBacklog) }

func testStopServesTheBacklog(t *testing.T, newServer constructor) {
	entered, release := make(chan struct{}, 1), make(chan struct{})
	var handled atomic.Int64
	server, address, served := startServer(t, newServer, func(_ http.ResponseWriter, r *http.Request) {
		handled.Add(1)
		if r.URL.Path == "/slow" {
			entered <- struct{}{}
			<-release
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
	close(release)
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

// The request's first bytes arrive before the stop and its last ones after it.
// http.Server.Shutdown closes such a connection without a response.
func TestStopAnswersPartlyReadRequest(t *testing.T) {
	forEachServer(t, testStopAnswersPartlyReadRequest)
}

func testStopAnswersPartlyReadRequest(t *testing.T, newServer constructor) {
	server, address, served := startServer(t, newServer, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 0)
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

func TestStopReportsCutOffRequests(t *testing.T) { forEachServer(t, testStopReportsCutOffRequests) }

func testStopReportsCutOffRequests(t *testing.T, newServer constructor) {
	entered := make(chan struct{})
	server, address, _ := startServer(t, newServer, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	}, 0)
	failed := make(chan error, 1)
	go func() { failed <- get("http://" + address) }()
	<-entered
	assert.Equal(t, server.Open(http.StateActive), 1)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	var cutOffError *httpserver.CutOffError
	assert.Assert(t, errors.As(server.Stop(ctx), &cutOffError))
	assert.Equal(t, cutOffError.Requests, 1)
	assert.Assert(t, <-failed != nil)
}

// All connections that may be open are open and idle, and another one waits in the
// backlog. The stop must not wait for a free slot.
func TestStopAtConnectionLimit(t *testing.T) { forEachServer(t, testStopAtConnectionLimit) }

func testStopAtConnectionLimit(t *testing.T, newServer constructor) {
	server, address, served := startServer(t, newServer, func(http.ResponseWriter, *http.Request) {}, 1)
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

// The first server has a long request in progress. If the servers were stopped one
// after the other, the second would accept connections until that ends, and would have
// no time left for its own requests.
func TestStopAllIsConcurrent(t *testing.T) { forEachServer(t, testStopAllIsConcurrent) }

func testStopAllIsConcurrent(t *testing.T, newServer constructor) {
	entered, release := make(chan struct{}), make(chan struct{})
	busy, address, _ := startServer(t, newServer, func(http.ResponseWriter, *http.Request) {
		close(entered)
		<-release
	}, 0)
	other, _, otherServed := startServer(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
	slow := make(chan error, 1)
	go func() { slow <- get("http://" + address) }()
	<-entered
	stopped := make(chan error, 1)
	go func() { stopped <- httpserver.StopAll(t.Context(), busy, other) }()
	assert.NilError(t, <-otherServed, "the second must stop accepting while the first still waits")
	close(release)
	assert.NilError(t, <-slow)
	assert.NilError(t, <-stopped)
}

// A connection on which no byte was sent carries no request. If the stop runs out of
// time while only such connections are open, no request was cut off, so it must not
// return an error.
func TestStopTimeoutWithoutRequestsIsNoError(t *testing.T) {
	forEachServer(t, testStopTimeoutWithoutRequestsIsNoError)
}

func testStopTimeoutWithoutRequestsIsNoError(t *testing.T, newServer constructor) {
	server, address, _ := startServer(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
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

// readSignallingListener signals each read of its connections that returned bytes.
type readSignallingListener struct {
	*net.TCPListener
	read chan struct{}
}

func (l readSignallingListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	return readSignallingConnection{connection, l.read}, err
}

type readSignallingConnection struct {
	net.Conn
	read chan struct{}
}

func (c readSignallingConnection) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.read <- struct{}{}
	}
	return count, err
}

// The first bytes of the next request on a keep-alive connection were read before the
// stop. net/http counts the connection as idle until the whole header was read, and
// closes it without a response.
func TestStopAnswersPartlyReadRequestOnKeepAliveConnection(t *testing.T) {
	forEachServer(t, testStopAnswersPartlyReadRequestOnKeepAliveConnection)
}

func testStopAnswersPartlyReadRequestOnKeepAliveConnection(t *testing.T, newServer constructor) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counting := readSignallingListener{listener.(*net.TCPListener), make(chan struct{}, 100)}
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

// The next request on a keep-alive connection has arrived in the kernel when the stop
// begins, and was not read yet. Closing the connection as idle would lose it.
func TestStopAnswersArrivedRequestOnKeepAliveConnection(t *testing.T) {
	forEachServer(t, testStopAnswersArrivedRequestOnKeepAliveConnection)
}

func testStopAnswersArrivedRequestOnKeepAliveConnection(t *testing.T, newServer constructor) {
	const rounds, connections = 10, 16
	for range rounds {
		server, address, served := startServer(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
		var readers [connections]*bufio.Reader
		var kept [connections]net.Conn
		for i := range kept {
			var err error
			kept[i], err = net.Dial("tcp", address)
			assert.NilError(t, err)
			defer kept[i].Close()
			readers[i] = bufio.NewReader(kept[i])
			sendGet(t, kept[i])
			response, err := http.ReadResponse(readers[i], nil)
			assert.NilError(t, err)
			assert.Assert(t, !response.Close)
		}
		for _, connection := range kept {
			sendGet(t, connection)
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

// A client that goes on sending requests on a keep-alive connection during the stop gets
// a response with "Connection: close".
func TestStopSendsConnectionCloseOnKeepAliveConnections(t *testing.T) {
	forEachServer(t, testStopSendsConnectionCloseOnKeepAliveConnections)
}

func testStopSendsConnectionCloseOnKeepAliveConnections(t *testing.T, newServer constructor) {
	server, address, served := startServer(t, newServer, func(http.ResponseWriter, *http.Request) {}, 0)
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	reader := bufio.NewReader(connection)
	sendGet(t, connection)
	_, err = http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	stopped := make(chan error, 1)
	go func() { stopped <- server.Stop(t.Context()) }()
	assert.NilError(t, <-served)
	sendGet(t, connection)
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.Assert(t, response.Close)
	assert.NilError(t, <-stopped)
}

func sendGet(t *testing.T, connection net.Conn) {
	t.Helper()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
}

// With TLS, both for HTTP/1.1 and for HTTP/2, a request that is sent on a keep-alive
// connection during the stop is answered, and the idle connection doesn't delay the
// stop after that.
func TestStopAnswersOnKeepAliveConnectionsWithTLS(t *testing.T) {
	forEachServer(t, testStopAnswersOnKeepAliveConnectionsWithTLS)
}

func testStopAnswersOnKeepAliveConnectionsWithTLS(t *testing.T, newServer constructor) {
	for _, useHTTP2 := range []bool{false, true} {
		// Provides the certificate and a client that trusts it.
		tlsServer := httptest.NewUnstartedServer(nil)
		tlsServer.EnableHTTP2 = useHTTP2
		tlsServer.StartTLS()
		defer tlsServer.Close()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
		server := newServer(&http.Server{Handler: handler, TLSConfig: tlsServer.TLS.Clone()}, listener.(*net.TCPListener), 0)
		served := make(chan error, 1)
		go func() { served <- server.Serve() }()
		url := "https://" + listener.Addr().String()
		client := tlsServer.Client()
		send := func() error {
			response, err := client.Get(url)
			if err != nil {
				return err
			}
			assert.Check(t, (response.ProtoMajor == 2) == useHTTP2, response.Proto)
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
