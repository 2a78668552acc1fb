package ops

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/metrics"
)

func discardLogger() *slog.Logger { return slog.New(slog.DiscardHandler) }

func get(t *testing.T, handler http.Handler, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestMonitoringRoutes(t *testing.T) {
	notReady := errors.New("no leader is known")
	config := ServerConfig{Registry: metrics.NewRegistry("router", "r1"), Ready: func() error { return notReady }, Log: discardLogger()}
	handler := Handler(config)
	assert.Equal(t, get(t, handler, "/healthz").Code, http.StatusOK)
	ready := get(t, handler, "/readyz")
	assert.Equal(t, ready.Code, http.StatusServiceUnavailable)
	assert.Equal(t, ready.Body.String(), "not ready: no leader is known\n")
	notReady = nil
	assert.Equal(t, get(t, handler, "/readyz").Code, http.StatusOK)
	assert.Assert(t, strings.Contains(get(t, handler, "/metrics").Body.String(), `quartzdock_build_info{go_version="go`))
	assert.Equal(t, get(t, handler, "/debug/pprof/").Code, http.StatusNotFound)
	config.Pprof = true
	assert.Equal(t, get(t, Handler(config), "/debug/pprof/").Code, http.StatusOK)
}

func TestSlowAndOversizedRequestsAreRejected(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := Limits{HeaderTimeout: 50 * time.Millisecond, ReadTimeout: 100 * time.Millisecond, HeaderBytes: 1024, BodyBytes: 16}
	readBody := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			AnswerReadError(w, err)
		}
	})
	server := NewHTTPServer(readBody, limits, nil, discardLogger())
	go func() { _ = Serve(server, listener) }()
	defer server.Close()

	cases := []struct{ name, request, response string }{
		{"half a header", "GET / HTTP/1.1\r\nHost: a\r\n", ""},
		{"half a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n1234", "408 Request Timeout"},
		{"large header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n", "431 Request Header Fields Too Large"},
		{"large body declared", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 17\r\n\r\n", `{"error":"too-large","limit_bytes":16}`},
		{"large body in chunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n12345678901234567\r\n0\r\n\r\n", `{"error":"too-large","limit_bytes":16}`},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			connection, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer connection.Close()
			_, err = io.WriteString(connection, test.request)
			assert.NilError(t, err)
			response, _ := io.ReadAll(connection) // ends when the server closes
			assert.Assert(t, strings.Contains(string(response), test.response), "response: %q", response)
			assert.Assert(t, test.response != "" || len(response) == 0, "response: %q", response)
		})
	}
}

func TestLogLevelChangesWhileRunning(t *testing.T) {
	var out bytes.Buffer
	level := new(slog.LevelVar)
	log := NewLogger(&out, level, FormatJSON)
	log.Debug("hidden")
	assert.NilError(t, SetLevel(level, "debug"))
	log.Debug("shown")
	assert.Assert(t, strings.Contains(out.String(), `"msg":"shown"`))
	assert.Assert(t, !strings.Contains(out.String(), "hidden"))
	assert.ErrorContains(t, SetLevel(level, "loud"), "loud")
}

// runLifecycle runs a lifecycle on a fake clock (synctest), with a request in progress that
// takes the time work; script sends signals.
func runLifecycle(t *testing.T, work time.Duration, script func(chan<- os.Signal)) (reloads int, took time.Duration, err error) {
	synctest.Test(t, func(t *testing.T) {
		lifecycle := Lifecycle{
			Run: func(ctx context.Context) error {
				<-ctx.Done()
				time.Sleep(work) // a request in progress
				return ctx.Err()
			},
			Reload:      func() { reloads++ },
			StopTimeout: time.Minute,
			Log:         discardLogger(),
		}
		signals := make(chan os.Signal)
		go script(signals)
		start := time.Now()
		err = lifecycle.runUntil(context.Background(), signals)
		took = time.Since(start)
		synctest.Wait()
		time.Sleep(2 * work) // waits for a Run that outlived the stop timeout
	})
	return reloads, took, err
}

func TestPlannedStopWaitsForWork(t *testing.T) {
	reloads, took, err := runLifecycle(t, 40*time.Second, func(signals chan<- os.Signal) {
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
		signals <- syscall.SIGHUP // ignored while stopping
	})
	assert.NilError(t, err)
	assert.Equal(t, reloads, 1)
	assert.Equal(t, took, 40*time.Second)
}

func TestPlannedStopIsBounded(t *testing.T) {
	_, took, err := runLifecycle(t, time.Hour, func(signals chan<- os.Signal) { signals <- syscall.SIGTERM })
	assert.ErrorIs(t, err, ErrStopTimeout)
	assert.Equal(t, took, time.Minute)
}

func TestSecondSignalEndsTheWait(t *testing.T) {
	_, took, err := runLifecycle(t, time.Hour, func(signals chan<- os.Signal) {
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
	})
	assert.ErrorIs(t, err, ErrStopTimeout)
	assert.Equal(t, took, time.Duration(0))
}

// Stop must return in time while a request is in progress that lasts longer than
// the stop timeout, as the download of a profile does.
func TestMonitoringStopIsBounded(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	server, err := StartServer(ServerConfig{
		Listen: "127.0.0.1:0", Registry: metrics.NewRegistry("router", "r1"), Log: discardLogger(),
		Ready: func() error {
			close(entered)
			<-release
			return nil
		},
	})
	assert.NilError(t, err)
	requestError := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + server.Address() + "/readyz")
		requestError <- err
	}()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, server.Stop(ctx), context.DeadlineExceeded)
	// Stop must also close the connection of the handler that still runs.
	assert.Assert(t, <-requestError != nil)
}
