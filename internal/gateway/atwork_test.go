package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// endingBackend is a back end whose process a test can end.
type endingBackend struct {
	*httptest.Server
	began chan string
	hold  chan struct{}
}

func startEndingBackend(t *testing.T) *endingBackend {
	t.Helper()
	b := &endingBackend{began: make(chan string, 16), hold: make(chan struct{})}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.began <- r.RequestURI
		select {
		case <-b.hold:
			answerWhole(w, r)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(b.Server.Close)
	return b
}

// end ends the process: nothing listens, and all connections are gone.
func (b *endingBackend) end() {
	_ = b.Listener.Close()
	b.CloseClientConnections()
}

// egressBeside returns the egress of a gateway beside a back end that serves as life "i".
func egressBeside(t *testing.T, address string) *egress {
	t.Helper()
	g, err := Start(Config{Name: "n", Zone: "a", Service: "s", CallerListen: freeAddress(t), PeerListen: freeAddress(t), BackendAddress: address, Headers: testHeaders()})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = g.Stop() })
	g.vouch(time.Hour)
	_, err = g.Heartbeat(Registration{ID: "i", Service: "s", Slots: 8, State: fleetwire.InstanceReady, Sequence: 1})
	assert.NilError(t, err)
	return g.egress
}

// serveAll sends requests to the back end at once and returns where their results come.
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

// All that a back end was at work on when its process ended is told, by the digests that
// their next copies will have.
func TestTheEndOfABackEndIsToldOfAllThatItWorkedOn(t *testing.T) {
	backend := startEndingBackend(t)
	e := egressBeside(t, backend.Listener.Addr().String())
	results := serveAll(t.Context(), e, "/a", "/b")
	<-backend.began
	<-backend.began
	backend.end()
	for range 2 {
		result := <-results
		assert.Equal(t, result.Outcome, outcomeUnknown)
		assert.Equal(t, result.Reason, reasonEnded)
	}
	atWork, ended := e.gateway.atWork.hasEnded("i")
	assert.Assert(t, ended)
	assert.Equal(t, atWork, 2)
}

// A connection that ends, a caller that leaves and a deadline are no end of the back end.
func TestABrokenConnectionIsNoEndOfTheBackEnd(t *testing.T) {
	backend := startEndingBackend(t)
	e := egressBeside(t, backend.Listener.Addr().String())
	results := serveAll(t.Context(), e, "/a")
	<-backend.began
	backend.CloseClientConnections()
	assert.Equal(t, (<-results).Reason, reasonBroken)
	ctx, leave := context.WithCancel(t.Context())
	results = serveAll(ctx, e, "/b")
	<-backend.began
	leave()
	assert.Assert(t, (<-results).Reason != reasonEnded)
	_, ended := e.gateway.atWork.hasEnded("i")
	assert.Assert(t, !ended)
}

// One that was leaving ends as it was to.
func TestAPlannedEndIsNoneUnderItsRequests(t *testing.T) {
	backend := startEndingBackend(t)
	e := egressBeside(t, backend.Listener.Addr().String())
	results := serveAll(t.Context(), e, "/a")
	<-backend.began
	e.gateway.Deregister("i")
	backend.end()
	assert.Equal(t, (<-results).Reason, reasonBroken)
}

// A life that is back at its address before anything was refused is known by its heartbeat.
// Of the connections that broke off, those of long ago have nothing to do with it.
func TestTheNextLifeTellsOfTheEndOfTheFormer(t *testing.T) {
	w := &atWork{}
	now := steady.Now()
	for _, run := range []struct {
		target string
		life   string
		ago    time.Duration
	}{{"/recent", "i", time.Second}, {"/old", "i", 5 * time.Second}, {"/other", "j", 0}} {
		request := &forwardRequest{ID: run.target, URI: run.target, Instance: run.life}
		w.begin(request)
		w.breaks(request, now-steady.Instant(run.ago))
	}
	w.begin(&forwardRequest{ID: "/running", URI: "/running", Instance: "i"})
	cut, first := w.ends("i", now)
	assert.Assert(t, first)
	var ids []string
	for _, run := range cut {
		ids = append(ids, run.id)
	}
	slices.Sort(ids)
	assert.Equal(t, strings.Join(ids, " "), "/recent /running")
	_, first = w.ends("i", now)
	assert.Assert(t, !first, "told once")
}
