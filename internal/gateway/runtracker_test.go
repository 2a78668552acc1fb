package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// crashableBackend is a back end whose process a test can crash.
type crashableBackend struct {
	*httptest.Server
	started chan string
	release chan struct{}
}

func startCrashableBackend(t *testing.T) *crashableBackend {
	t.Helper()
	b := &crashableBackend{started: make(chan string, 16), release: make(chan struct{})}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.started <- r.RequestURI
		select {
		case <-b.release:
			serveComplete(w, r)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(b.Server.Close)
	return b
}

// crash ends the process: its listener and all of its connections are closed.
func (b *crashableBackend) crash() {
	_ = b.Listener.Close()
	b.CloseClientConnections()
}

// startEgress returns the egress of a gateway whose local back end has incarnation "i".
func startEgress(t *testing.T, address string) *egress {
	t.Helper()
	g, err := Start(Config{Name: "n", Zone: "a", Service: "s", CallerListen: freeAddress(t), PeerListen: freeAddress(t), BackendAddress: address, Headers: testHeaders()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = g.Stop() })
	g.extendLease(time.Hour)
	_, err = g.Heartbeat(context.Background(), Registration{ID: "i", Service: "s", Slots: 8, State: fleetwire.InstanceReady, Sequence: 1})
	assert.NilError(t, err)
	return g.egress
}

// serveAll sends requests to the back end concurrently and returns a channel for their
// results.
func serveAll(ctx context.Context, e *egress, targets ...string) chan *forwardResult {
	results := make(chan *forwardResult, len(targets))
	for _, target := range targets {
		request := &forwardRequest{
			Method: http.MethodGet, URI: target, Host: "h", Header: http.Header{}, ID: "id" + target, Service: "s", Instance: "i",
			Target: time.Second, Due: steady.Reading().Add(time.Second), Deadline: steady.Reading().Add(20 * time.Second),
		}
		go func() { results <- e.serve(ctx, request) }()
	}
	return results
}

// All requests that were in progress when the back end crashed must be reported, with the same
// digests as their retries.
func TestCrashReportsAllRequestsInProgress(t *testing.T) {
	backend := startCrashableBackend(t)
	e := startEgress(t, backend.Listener.Addr().String())
	results := serveAll(t.Context(), e, "/a", "/b")
	<-backend.started
	<-backend.started
	backend.crash()
	for range 2 {
		result := <-results
		assert.Equal(t, result.Outcome, outcomeUnknown)
		assert.Equal(t, result.Reason, reasonBackendCrashed)
	}
	inProgress, crashed := e.gateway.runs.crashed("i")
	assert.Assert(t, crashed)
	assert.Equal(t, inProgress, 2)
}

// A process that ends may close its connections before its listener. The crash is recorded all
// the same, with the run whose connection broke first.
func TestCrashIsRecordedWhereListenerClosesLast(t *testing.T) {
	backend := startCrashableBackend(t)
	e := startEgress(t, backend.Listener.Addr().String())
	results := serveAll(t.Context(), e, "/a")
	<-backend.started
	backend.CloseClientConnections()
	assert.Equal(t, (<-results).Reason, reasonInterrupted, "the listener is still open")
	backend.crash()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if inProgress, crashed := e.gateway.runs.crashed("i"); !crashed || inProgress != 1 {
			return poll.Continue("crashed: %v, in progress: %d", crashed, inProgress)
		}
		return poll.Success()
	})
}

// A back end that ends while a connection of an earlier incarnation is still being watched, as that
// one's successor listened at once, has crashed as well.
func TestCrashIsRecordedWhileAnotherIncarnationIsWatched(t *testing.T) {
	backend := startCrashableBackend(t)
	e := startEgress(t, backend.Listener.Addr().String())
	g := e.gateway
	earlier, other := net.Pipe() // stays open
	defer other.Close()
	g.watchForCrash(earlier, endOf(earlier), "earlier")

	results := serveAll(t.Context(), e, "/a")
	<-backend.started
	backend.CloseClientConnections()
	assert.Equal(t, (<-results).Reason, reasonInterrupted, "the listener is still open")
	backend.crash()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if inProgress, crashed := g.runs.crashed("i"); !crashed || inProgress != 1 {
			return poll.Continue("crashed: %v, in progress: %d", crashed, inProgress)
		}
		return poll.Success()
	})
}

// A closed connection, a caller that leaves and an expired deadline do not count as a crash.
func TestBrokenConnectionIsNotACrash(t *testing.T) {
	backend := startCrashableBackend(t)
	e := startEgress(t, backend.Listener.Addr().String())
	results := serveAll(t.Context(), e, "/a")
	<-backend.started
	backend.CloseClientConnections()
	assert.Equal(t, (<-results).Reason, reasonInterrupted)
	ctx, cancel := context.WithCancel(t.Context())
	results = serveAll(ctx, e, "/b")
	<-backend.started
	cancel()
	assert.Assert(t, (<-results).Reason != reasonBackendCrashed)
	_, crashed := e.gateway.runs.crashed("i")
	assert.Assert(t, !crashed)
}

// A back end that deregistered before it exited has not crashed.
func TestPlannedExitIsNotACrash(t *testing.T) {
	backend := startCrashableBackend(t)
	e := startEgress(t, backend.Listener.Addr().String())
	results := serveAll(t.Context(), e, "/a")
	<-backend.started
	recordDeparture(e.gateway, "i")
	assert.NilError(t, e.gateway.Deregister(t.Context(), "i"))
	backend.crash()
	assert.Equal(t, (<-results).Reason, reasonInterrupted)
}

// If a back end restarts before a connection was refused, the crash is detected by the
// heartbeat of the next incarnation. Connections that broke long before are not attributed to
// the crash.
func TestNextIncarnationRevealsCrashOfPrevious(t *testing.T) {
	w := &runTracker{}
	now := steady.Now()
	for _, run := range []struct {
		target      string
		incarnation string
		ago         time.Duration
	}{{"/recent", "i", time.Second}, {"/old", "i", 5 * time.Second}, {"/other", "j", 0}} {
		request := &forwardRequest{ID: run.target, URI: run.target, Instance: run.incarnation}
		w.begin(request)
		w.connectionBroke(request, now-steady.Instant(run.ago))
	}
	w.begin(&forwardRequest{ID: "/running", URI: "/running", Instance: "i"})
	interrupted, first := w.recordCrash("i", now)
	assert.Assert(t, first)
	var ids []string
	for _, run := range interrupted {
		ids = append(ids, run.id)
	}
	slices.Sort(ids)
	assert.Equal(t, strings.Join(ids, " "), "/recent /running")
	_, first = w.recordCrash("i", now)
	assert.Assert(t, !first, "a crash is reported once")
}
