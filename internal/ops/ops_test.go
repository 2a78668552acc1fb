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

func quiet() *slog.Logger { return slog.New(slog.DiscardHandler) }

func get(t *testing.T, handler http.Handler, path string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	return recorder
}

func TestMonitoringRoutes(t *testing.T) {
	notReady := errors.New("no leader is known")
	config := ServerConfig{Registry: metrics.NewRegistry("router", "r1"), Ready: func() error { return notReady }, Log: quiet()}
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

func TestSlowAndOversizedSendersAreCutOff(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	limits := Limits{HeaderTimeout: 50 * time.Millisecond, ReadTimeout: 100 * time.Millisecond, HeaderBytes: 1024, BodyBytes: 16}
	reader := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			AnswerReadError(w, err)
		}
	})
	server := NewHTTPServer(reader, limits, nil, quiet())
	go func() { _ = Serve(server, listener) }()
	defer server.Close()

	cases := []struct{ name, sent, answer string }{
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
			_, err = io.WriteString(connection, test.sent)
			assert.NilError(t, err)
			answer, _ := io.ReadAll(connection) // ends when the server closes
			assert.Assert(t, strings.Contains(string(answer), test.answer), "answer: %q", answer)
			assert.Assert(t, test.answer != "" || len(answer) == 0, "answer: %q", answer)
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

// runWith runs a lifecycle in a bubble of virtual time; script sends signals.
func runWith(t *testing.T, work time.Duration, script func(chan<- os.Signal)) (reloads int, took time.Duration, err error) {
	synctest.Test(t, func(t *testing.T) {
		life := Lifecycle{
			Run: func(ctx context.Context) error {
				<-ctx.Done()
				time.Sleep(work) // a request in progress
				return ctx.Err()
			},
			Reload:      func() { reloads++ },
			StopTimeout: time.Minute,
			Log:         quiet(),
		}
		signals := make(chan os.Signal)
		go script(signals)
		start := time.Now()
		err = life.runUntil(context.Background(), signals)
		took = time.Since(start)
		synctest.Wait()
		time.Sleep(2 * work) // lets an abandoned Run end
	})
	return reloads, took, err
}

func TestPlannedStopWaitsForWork(t *testing.T) {
	reloads, took, err := runWith(t, 40*time.Second, func(signals chan<- os.Signal) {
		signals <- syscall.SIGHUP
		signals <- syscall.SIGTERM
		signals <- syscall.SIGHUP // ignored while stopping
	})
	assert.NilError(t, err)
	assert.Equal(t, reloads, 1)
	assert.Equal(t, took, 40*time.Second)
}

func TestPlannedStopIsBounded(t *testing.T) {
	_, took, err := runWith(t, time.Hour, func(signals chan<- os.Signal) { signals <- syscall.SIGTERM })
	assert.ErrorIs(t, err, ErrStopTimeout)
	assert.Equal(t, took, time.Minute)
}

func TestSecondSignalEndsTheWait(t *testing.T) {
	_, took, err := runWith(t, time.Hour, func(signals chan<- os.Signal) {
		signals <- syscall.SIGTERM
		signals <- syscall.SIGINT
	})
	assert.ErrorIs(t, err, ErrStopTimeout)
	assert.Equal(t, took, time.Duration(0))
}

// Monitoring has a request in progress that lasts for longer than its stop may,
// as a profile does. The stop ends all the same.
func TestStopOfMonitoringIsBounded(t *testing.T) {
	entered, thaw := make(chan struct{}), make(chan struct{})
	defer close(thaw)
	server, err := StartServer(ServerConfig{
		Listen: "127.0.0.1:0", Registry: metrics.NewRegistry("router", "r1"), Log: quiet(),
		Ready: func() error {
			close(entered)
			<-thaw
			return nil
		},
	})
	assert.NilError(t, err)
	cutOff := make(chan error, 1)
	go func() {
		_, err := http.Get("http://" + server.Address() + "/readyz")
		cutOff <- err
	}()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, server.Stop(ctx), context.DeadlineExceeded)
	// Nothing of it is left behind: the listener has ended and so has the
	// connection, which the handler still holds.
	assert.Assert(t, <-cutOff != nil)
}
