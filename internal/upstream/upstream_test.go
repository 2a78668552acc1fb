package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// scriptedPeer is a server that runs a script on each connection.
type scriptedPeer struct {
	listener net.Listener
	requests atomic.Int64
}

// startPeer starts a scripted peer. The script gets the number of the
// connection, counted from 1, and a function that reads the next request.
func startPeer(t *testing.T, script func(number int, conn net.Conn, next func() (*http.Request, error))) *scriptedPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	scripted := &scriptedPeer{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			reader := bufio.NewReader(conn)
			go func() {
				defer conn.Close()
				script(number, conn, func() (*http.Request, error) {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return nil, err
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return nil, err
					}
					scripted.requests.Add(1)
					return request, nil
				})
			}()
		}
	}()
	return scripted
}

func newPool(t *testing.T, config Config) *Pool {
	t.Helper()
	pool, err := New(config)
	assert.NilError(t, err)
	t.Cleanup(pool.Close)
	return pool
}

func newRequest(t *testing.T, method, body string) *http.Request {
	t.Helper()
	request, err := http.NewRequest(method, "http://backend/path", strings.NewReader(body))
	assert.NilError(t, err)
	return request
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return string(body)
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// The peer closes a reused connection after it has read the second request, and
// without a response. The request may have run, so it must not be sent again, even
// with an Idempotency-Key; http.Transport sends it again.
func TestRequestOnBrokenReusedConnectionIsNotResent(t *testing.T) {
	respondOnceThenClose := func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		if _, err := next(); err != nil {
			return
		}
		_, _ = io.WriteString(conn, okResponse)
		_, _ = next() // reads the second request and closes without a response
	}
	send := func(t *testing.T, do func(*http.Request) (*http.Response, error)) error {
		t.Helper()
		response, err := do(newRequest(t, http.MethodPost, "first"))
		assert.NilError(t, err)
		readAll(t, response)
		second := newRequest(t, http.MethodPost, "second")
		second.Header.Set("Idempotency-Key", "018f0000-0000-7000-8000-000000000001")
		response, err = do(second)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	t.Run("net/http resends", func(t *testing.T) {
		scripted := startPeer(t, respondOnceThenClose)
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		err := send(t, func(request *http.Request) (*http.Response, error) {
			request.URL.Host = scripted.listener.Addr().String()
			return transport.RoundTrip(request)
		})
		assert.NilError(t, err)
		assert.Equal(t, scripted.requests.Load(), int64(3))
	})
	t.Run("pool does not resend", func(t *testing.T) {
		scripted := startPeer(t, respondOnceThenClose)
		pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1})
		err := send(t, func(request *http.Request) (*http.Response, error) {
			return pool.Do(context.Background(), request)
		})
		assert.ErrorIs(t, err, ErrInterrupted)
		assert.Assert(t, !errors.Is(err, ErrNotSent))
		assert.Equal(t, scripted.requests.Load(), int64(2))
		assert.Equal(t, pool.Stats().Reused, uint64(1))
	})
}

func TestConnectionClosedWhileIdleIsDetectedBeforeWriting(t *testing.T) {
	closed := make(chan struct{})
	scripted := startPeer(t, func(number int, conn net.Conn, next func() (*http.Request, error)) {
		if _, err := next(); err != nil {
			return
		}
		_, _ = io.WriteString(conn, okResponse)
		if number == 1 {
			_ = conn.Close()
			close(closed)
			return
		}
		_, _ = next()
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1})
	response, err := pool.Do(context.Background(), newRequest(t, http.MethodGet, ""))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
	<-closed
	response, err = pool.Do(context.Background(), newRequest(t, http.MethodGet, ""))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
	assert.Equal(t, pool.Stats().FoundClosed, uint64(1))
}

func TestRefusedConnectionReturnsErrNotSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	pool := newPool(t, Config{Address: address, MinWarm: -1})
	_, err = pool.Do(context.Background(), newRequest(t, http.MethodPost, "x"))
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Equal(t, pool.Stats().Open, 0)
}

func TestTruncatedResponsesAreDetected(t *testing.T) {
	for name, truncated := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
				_, _ = next()
				_, _ = io.WriteString(conn, truncated)
			})
			pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1})
			response, err := pool.Do(context.Background(), newRequest(t, http.MethodGet, ""))
			assert.NilError(t, err)
			_, err = io.ReadAll(response.Body)
			assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
		})
	}
	t.Run("neither", func(t *testing.T) {
		scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
			_, _ = next()
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
		})
		pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1})
		_, err := pool.Do(context.Background(), newRequest(t, http.MethodGet, ""))
		assert.ErrorIs(t, err, ErrUndelimited)
		assert.ErrorIs(t, err, ErrInterrupted)
	})
}

func TestLateResponseNeverReachesAnotherRequest(t *testing.T) {
	cancelled := make(chan struct{})
	scripted := startPeer(t, func(number int, conn net.Conn, next func() (*http.Request, error)) {
		if _, err := next(); err != nil {
			return
		}
		if number == 1 {
			<-cancelled
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			return
		}
		_, _ = io.WriteString(conn, okResponse)
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1, MaxConnections: 1})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if scripted.requests.Load() == 1 {
				return poll.Success()
			}
			return poll.Continue("request has not arrived yet")
		})
		cancel()
	}()
	_, err := pool.Do(ctx, newRequest(t, http.MethodGet, ""))
	assert.ErrorIs(t, err, context.Canceled)
	assert.ErrorIs(t, err, ErrInterrupted)
	close(cancelled)
	response, err := pool.Do(context.Background(), newRequest(t, http.MethodGet, ""))
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, response), "ok")
}

func TestUnsolicitedBytesCloseConnection(t *testing.T) {
	wrote := make(chan struct{})
	scripted := startPeer(t, func(number int, conn net.Conn, next func() (*http.Request, error)) {
		if _, err := next(); err != nil {
			return
		}
		_, _ = io.WriteString(conn, okResponse)
		if number == 1 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			close(wrote)
		}
		_, _ = next()
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1})
	for range 2 {
		response, err := pool.Do(context.Background(), newRequest(t, http.MethodGet, ""))
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, response), "ok")
		<-wrote
	}
	assert.Equal(t, pool.Stats().Dials, uint64(2))
}

func TestConnectionsNeverExceedLimit(t *testing.T) {
	const limit, callers = 3, 40
	var open, highest atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			highest.Store(max(highest.Load(), open.Add(1)))
		case http.StateClosed:
			open.Add(-1)
		}
	}
	server.Start()
	defer server.Close()
	pool := newPool(t, Config{Address: server.Listener.Addr().String(), MaxConnections: limit})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			response, err := pool.Do(context.Background(), newRequest(t, http.MethodPost, "x"))
			if assert.Check(t, err) {
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
	group.Wait()
	assert.Assert(t, highest.Load() <= limit, "%d connections", highest.Load())
	assert.Assert(t, pool.Stats().Open <= limit)
}

func TestWaitingForConnectionEndsWithContext(t *testing.T) {
	finish := make(chan struct{})
	scripted := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		_, _ = next()
		<-finish
	})
	defer close(finish)
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MaxConnections: 1, MinWarm: -1})
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _, _ = pool.Do(ctx, newRequest(t, http.MethodGet, "")) })
	waitForWaiters(t, pool, scripted, 0)
	waitingContext, cancelWaiting := context.WithCancel(context.Background())
	result := make(chan error, 1)
	go func() {
		_, err := pool.Do(waitingContext, newRequest(t, http.MethodGet, ""))
		result <- err
	}()
	waitForWaiters(t, pool, scripted, 1)
	cancelWaiting()
	err := <-result
	assert.ErrorIs(t, err, ErrNotSent)
	assert.Equal(t, scripted.requests.Load(), int64(1))
	cancel()
	group.Wait()
}

// waitForWaiters waits until the peer has read one request and a number of others
// wait for a connection.
func waitForWaiters(t *testing.T, pool *Pool, scripted *scriptedPeer, waiting int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if scripted.requests.Load() == 1 && pool.Stats().Waiting == waiting {
			return poll.Success()
		}
		return poll.Continue("%+v", pool.Stats())
	})
}

func TestEarlyResponseToLargeBodyIsRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	finish := make(chan struct{})
	defer close(finish)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 100))
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\n\r\n")
		<-finish
	}()
	pool := newPool(t, Config{Address: listener.Addr().String(), MinWarm: -1})
	request := newRequest(t, http.MethodPut, "")
	request.Body = io.NopCloser(io.LimitReader(zeros{}, 64<<20))
	request.ContentLength = 64 << 20
	response, err := pool.Do(context.Background(), request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, pool.Stats().Open, 0, "a connection with a partly written request must not be kept")
}

func TestFailedRequestBodyClosesConnection(t *testing.T) {
	readErr := make(chan error, 1)
	scripted := startPeer(t, func(_ int, _ net.Conn, next func() (*http.Request, error)) {
		_, err := next()
		readErr <- err
	})
	pool := newPool(t, Config{Address: scripted.listener.Addr().String(), MinWarm: -1})
	bodyErr := errors.New("caller disconnected")
	request := newRequest(t, http.MethodPut, "")
	request.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, 100)), errorReader{bodyErr}))
	request.ContentLength = 1 << 20
	_, err := pool.Do(context.Background(), request)
	assert.ErrorIs(t, err, bodyErr)
	assert.ErrorIs(t, err, ErrInterrupted)
	assert.ErrorIs(t, <-readErr, io.ErrUnexpectedEOF)
}

type zeros struct{}

func (zeros) Read(buffer []byte) (int, error) { return len(buffer), nil }

type errorReader struct{ err error }

func (source errorReader) Read([]byte) (int, error) { return 0, source.err }
