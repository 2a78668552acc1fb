package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/bodybudget"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

// rawBackend responds to each request on a connection with the text that its callback returns;
// an empty text closes the connection.
type rawBackend struct {
	listener net.Listener
	requests chan *http.Request
}

func startRawBackend(t *testing.T, respond func(r *http.Request) string) *rawBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := &rawBackend{listener: listener, requests: make(chan *http.Request, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, respond)
		}
	}()
	return b
}

func (b *rawBackend) serve(conn net.Conn, respond func(r *http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		b.requests <- request
		text := respond(request)
		if text == "" {
			return
		}
		if _, err := conn.Write([]byte(text)); err != nil {
			return
		}
		if strings.Contains(text, "Connection: close") {
			return
		}
	}
}

func testHeaders() HeaderNames {
	return HeaderNames{
		RequestID: "Try-Name", Deadline: "Wait-Ms", Seal: "Seal", TargetInstance: "Only-For",
		NotExecuted: "Never-Ran", CallerService: "From-Service", Key: "Key",
		APIKey: "Api-Key", Tenant: "Tenant-Name", RateLimit: "Limit", Leaving: "Leaving",
	}
}

func gatewayWithBackend(t *testing.T, backend *rawBackend) *Gateway {
	config := Config{BackendAddress: backend.listener.Addr().String(), Headers: testHeaders()}
	g := &Gateway{config: config.withDefaults()}
	g.metrics = newGatewayMetrics(g.config.Registry)
	g.pacer = newLinkPacer(0)
	g.peerBodies = bodybudget.New(0)
	g.views = newViewStore()
	g.slots = newSlotLimiter()
	g.keyLoad = newKeyLoad()
	g.registry = newRegistry(func() {})
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	g.extendLease(time.Hour)
	g.keys = newGrantManager(g)
	var err error
	g.egress, err = newEgress(g)
	assert.NilError(t, err)
	t.Cleanup(g.egress.pool.Close)
	g.registry.heartbeat(Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}, time.Second, steady.Reading())
	g.egress.setSlots(4)
	return g
}

func testRequest(id string) *forwardRequest {
	return &forwardRequest{
		Method: http.MethodGet, URI: "/a/b%2Fc?q=1", Host: "h", Header: http.Header{"Try-Name": {id}}, ID: id,
		Instance: "i-1", Target: time.Second, Due: steady.Reading().Add(time.Second), Deadline: steady.Reading().Add(5 * time.Second),
	}
}

func responseText(status, id, extra, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nTry-Name: %s\r\nContent-Length: %d\r\n%s\r\n%s", status, id, len(body), extra, body)
}

const seal = "Seal: x\r\n"

func TestResponseClassification(t *testing.T) {
	cases := map[string]struct {
		respond func(r *http.Request) string
		outcome outcome
		status  int
	}{
		"whole":                  {func(r *http.Request) string { return responseText("200 OK", "r1", seal, "body") }, outcomeAnswered, 200},
		"own failure":            {func(r *http.Request) string { return responseText("500 X", "r1", seal, "no") }, outcomeAnswered, 500},
		"another request's":      {func(r *http.Request) string { return responseText("200 OK", "r0", seal, "body") }, outcomeUnknown, 0},
		"success without a seal": {func(r *http.Request) string { return responseText("200 OK", "r1", "", "body") }, outcomeUnknown, 0},
		"encoded": {func(r *http.Request) string {
			return responseText("200 OK", "r1", seal+"Content-Encoding: gzip\r\n", "body")
		}, outcomeUnknown, 0},
		"proof that it did not run":  {func(r *http.Request) string { return responseText("503 X", "r1", "Never-Ran: 1\r\n", "") }, outcomeNotRun, 0},
		"another instance":           {func(r *http.Request) string { return responseText("421 X", "r1", "", "") }, outcomeNotRun, 0},
		"503 without proof":          {func(r *http.Request) string { return responseText("503 X", "r1", "", "") }, outcomeAnswered, 503},
		"closed without a response":  {func(r *http.Request) string { return "" }, outcomeUnknown, 0},
		"bytes that are no response": {func(r *http.Request) string { return "garbage\r\n\r\n" }, outcomeUnknown, 0},
		"body broken off": {func(r *http.Request) string {
			return "HTTP/1.1 200 OK\r\nTry-Name: r1\r\nSeal: x\r\nContent-Length: 9\r\nConnection: close\r\n\r\nab"
		}, outcomeUnknown, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			g := gatewayWithBackend(t, startRawBackend(t, c.respond))
			result := g.egress.serve(t.Context(), testRequest("r1"))
			assert.Equal(t, result.Outcome, c.outcome, "%+v", result)
			assert.Equal(t, result.Status, c.status)
			assert.Assert(t, result.Sent)
		})
	}
}

// A second response sent after the first is neither returned with the first nor taken as the
// response to the next request.
func TestSurplusResponseIsDiscarded(t *testing.T) {
	backend := startRawBackend(t, func(r *http.Request) string {
		id := r.Header.Get("Try-Name")
		return responseText("200 OK", id, seal, "own") + responseText("200 OK", id, seal, "surplus")
	})
	g := gatewayWithBackend(t, backend)
	for i := range 5 {
		id := fmt.Sprintf("r%d", i)
		result := g.egress.serve(t.Context(), testRequest(id))
		assert.Equal(t, result.Outcome, outcomeAnswered)
		assert.Equal(t, result.Header.Get("Try-Name"), id)
		assert.Equal(t, string(result.Body), "own")
	}
}

func TestBackendReceivesUnalteredRequest(t *testing.T) {
	backend := startRawBackend(t, func(r *http.Request) string { return responseText("200 OK", "r1", seal, "") })
	g := gatewayWithBackend(t, backend)
	assert.Equal(t, g.egress.serve(t.Context(), testRequest("r1")).Outcome, outcomeAnswered)
	got := <-backend.requests
	assert.Equal(t, got.RequestURI, "/a/b%2Fc?q=1")
	assert.Equal(t, got.Header.Get("Only-For"), "i-1")
	left, ok := parseMilliseconds(got.Header.Get("Wait-Ms"))
	assert.Assert(t, ok && left <= 5*time.Second)
}

func TestRefusedConnectionProvesNotRun(t *testing.T) {
	backend := startRawBackend(t, func(*http.Request) string { return "" })
	g := gatewayWithBackend(t, backend)
	assert.NilError(t, backend.listener.Close())
	result := g.egress.serve(t.Context(), testRequest("r1"))
	assert.Equal(t, result.Outcome, outcomeNotRun)
	assert.Assert(t, !result.Sent)
}

func TestRequestForOtherOrLeavingInstanceIsNotSent(t *testing.T) {
	backend := startRawBackend(t, func(*http.Request) string { return "" })
	g := gatewayWithBackend(t, backend)
	other := testRequest("r1")
	other.Instance = "i-0"
	assert.Equal(t, g.egress.serve(t.Context(), other).Reason, reasonNotAdmitted)
	keyed := testRequest("r2")
	keyed.HasKey, keyed.Key = true, 5
	assert.Equal(t, g.egress.serve(t.Context(), keyed).Reason, reasonNotOwner)
	g.registry.deregister("i-1", 0, steady.Reading())
	assert.Equal(t, g.egress.serve(t.Context(), testRequest("r3")).Reason, reasonNotAdmitted)
	assert.Equal(t, len(backend.requests), 0)
}

// A result keeps its outcome when it is passed on between gateways.
func TestAttemptThroughPeerKeepsOutcome(t *testing.T) {
	backend := startRawBackend(t, func(r *http.Request) string {
		if r.Header.Get("Try-Name") == "shed" {
			return responseText("503 X", "shed", "Never-Ran: 1\r\n", "")
		}
		return responseText("200 OK", r.Header.Get("Try-Name"), seal, "body")
	})
	g := gatewayWithBackend(t, backend)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(g.peerHandler)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	peers := newPeerSet()
	target := peers.get(listener.Addr().String())
	send := func(id string) *forwardResult {
		request := testRequest(id)
		request.Header.Set("Wait-Ms", "4000")
		return target.send(t.Context(), request)
	}
	answered := send("r1")
	assert.Equal(t, answered.Outcome, outcomeAnswered)
	assert.Equal(t, string(answered.Body), "body")
	assert.Equal(t, answered.Header.Get("Seal"), "x")
	assert.Equal(t, answered.Header.Get(fieldOutcome), "", "header fields between gateways must not be passed on")
	shed := send("shed")
	assert.Equal(t, shed.Outcome, outcomeNotRun)
	assert.Assert(t, shed.Sent)
	assert.Equal(t, shed.Load.slots, 4)
	target.pool.Close()
}
