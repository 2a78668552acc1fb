package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// surplusProxy passes exchanges on to a back end. It sends each refusal a second time when the next
// request comes on its connection.
type surplusProxy struct {
	address string
	// hidesNumber is set if the back end does not repeat the number of a sending.
	hidesNumber bool
	// surplus counts the refusals that were sent twice.
	surplus atomic.Int32
}

// startSurplusProxy listens before a back end and returns the address.
func startSurplusProxy(t *testing.T, proxy *surplusProxy) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go proxy.serve(conn)
		}
	}()
	return listener.Addr().String()
}

func (p *surplusProxy) serve(conn net.Conn) {
	defer conn.Close()
	behind, err := net.Dial("tcp", p.address)
	if err != nil {
		return
	}
	defer behind.Close()
	requests, responses := bufio.NewReader(conn), bufio.NewReader(behind)
	var late []byte
	for {
		request, err := http.ReadRequest(requests)
		if err != nil || request.Write(behind) != nil {
			return
		}
		response, err := http.ReadResponse(responses, request)
		if err != nil {
			return
		}
		if p.hidesNumber {
			response.Header.Del(wire.HeaderSending)
		}
		refused := response.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun) && request.Method == http.MethodPost
		if refused {
			// Without a body it leaves the connection in use.
			_, _ = io.Copy(io.Discard, response.Body)
			response.Body, response.ContentLength = http.NoBody, 0
		}
		answer, err := httputil.DumpResponse(response, true)
		if err != nil {
			return
		}
		if len(late) > 0 {
			p.surplus.Add(1)
		}
		if _, err := conn.Write(append(late, answer...)); err != nil {
			return
		}
		late = nil
		if refused {
			late = answer
		}
	}
}

// startHarnessWithSurplus is startHarness with a surplusProxy before the back end.
func startHarnessWithSurplus(t *testing.T, proxy *surplusProxy) *harness {
	t.Helper()
	started, path := startBackend(t, backend.Config{})
	proxy.address = started.Address()
	r := startAgent(t, self, startSurplusProxy(t, proxy), t.TempDir(), shortClockBound)
	r.backend, r.ledger = started, path
	r.ownShard(1, 1)
	return r
}

// post is a request that must not run twice.
func (r *harness) post(id string) testRequest {
	return testRequest{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: id}
}

// A surplus refusal came in the place of the answer to the next sending of the same request. It was taken
// for proof that this one has not run, although it ran, so that a third sending would have run it twice.
func TestSurplusRefusalIsNotTakenForTheAnswerToTheNextSending(t *testing.T) {
	for _, hidesNumber := range []bool{false, true} {
		r := startHarnessWithSurplus(t, &surplusProxy{hidesNumber: hidesNumber})
		id := r.freshID()
		r.setBehaviour(`{"shed_requests":true}`)
		assert.Equal(t, r.send(r.post(id)).outcome, wire.OutcomeNotRun)
		r.setBehaviour(`{}`)
		assert.Equal(t, r.send(r.post(id)).outcome, wire.OutcomeAnswered)
		assert.Equal(t, r.countEntries(id, ledger.KindRun), 1)
	}
}

// A surplus refusal of one request is not taken for the answer to another one either, if the back end
// repeats the number of the sending: it is discarded, and that one gets its own answer.
func TestSurplusRefusalIsNotTakenForTheAnswerToAnotherRequest(t *testing.T) {
	proxy := &surplusProxy{}
	r := startHarnessWithSurplus(t, proxy)
	r.setBehaviour(`{"shed_requests":true}`)
	assert.Equal(t, r.send(r.post(r.freshID())).outcome, wire.OutcomeNotRun)
	r.setBehaviour(`{}`)
	id := r.freshID()
	assert.Equal(t, r.send(r.post(id)).outcome, wire.OutcomeAnswered)
	assert.Equal(t, proxy.surplus.Load(), int32(1))
	assert.Equal(t, r.countEntries(id, ledger.KindRun), 1)
}
