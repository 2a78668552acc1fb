package agent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/answer"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// TestSlotsAndConnectionsAreNeverExceeded: there are far more callers than
// slots, and some of them time out or disconnect while their request runs.
func TestSlotsAndConnectionsAreNeverExceeded(t *testing.T) {
	const callers, each = 40, 12
	r := startHarness(t, backend.Config{Slots: 4, Connections: 20, ConnectCost: time.Millisecond}, shortClockBound)
	r.ownShard(1, 1)
	var group sync.WaitGroup
	var answered atomic.Int64
	for caller := range callers {
		group.Go(func() {
			for i := range each {
				sent := testRequest{method: http.MethodGet, path: "/closures/route/k?work=5ms", epoch: 1}
				switch (caller + i) % 4 {
				case 0:
					sent.path = "/closures/route/k?work=60ms"
					sent.header = map[string]string{wire.HeaderDeadline: "30"}
				case 1:
					cancel, done := r.sendCancellable(testRequest{method: http.MethodGet, path: "/closures/route/k?work=60ms", epoch: 1})
					time.Sleep(time.Duration(i) * time.Millisecond)
					cancel()
					<-done
					continue
				}
				if exchange(r.newRequest(sent)).outcome == wire.OutcomeAnswered {
					answered.Add(1)
				}
			}
		})
	}
	group.Wait()
	assert.Assert(t, answered.Load() > 0)
	assert.Equal(t, r.countAllEntries(ledger.KindOverSlots), 0)
	assert.Equal(t, r.countAllEntries(ledger.KindOverConnections), 0)
	r.waitFor("slots free", func() bool { return r.agent.gate.Running() == 0 })
}

// countAllEntries counts the ledger entries of one kind over all requests.
func (r *harness) countAllEntries(kind ledger.Kind) int {
	r.t.Helper()
	entries, err := ledger.ReadBackends(r.ledger)
	assert.NilError(r.t, err)
	found := 0
	for _, entry := range entries {
		if entry.Kind == kind {
			found++
		}
	}
	return found
}

func TestCancellationReachesTheBackEnd(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	id := r.freshID()
	cancel, done := r.sendCancellable(testRequest{method: http.MethodGet, path: "/closures/route/k?work=1h", epoch: 1,
		header: map[string]string{wire.HeaderRequestID: id}})
	r.waitRunning(id)
	cancel()
	<-done
	r.waitFor("the request to be abandoned", func() bool { return r.countEntries(id, ledger.KindAbandoned) == 1 })
}

func TestDeadlineReachesTheBackEnd(t *testing.T) {
	var given atomic.Int64
	r, _ := startFakeHarness(t, func(_ http.ResponseWriter, request *http.Request) {
		left, _ := strconv.ParseInt(request.Header.Get(wire.HeaderDeadline), 10, 64)
		given.Store(left)
		<-request.Context().Done() // ends when the agent cancels the request
	}, shortClockBound)
	got := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1,
		header: map[string]string{wire.HeaderDeadline: "200"}})
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.outcome, wire.OutcomeUnknown)
	assert.Equal(t, got.reason, wire.ReasonTimedOut)
	assert.Assert(t, given.Load() > 0 && given.Load() <= 200, "%d", given.Load())
}

// hijack sends text that no correct server would send on the raw connection,
// and closes it.
func hijack(t *testing.T, w http.ResponseWriter, text string) {
	connection, _, err := http.NewResponseController(w).Hijack()
	assert.Check(t, err)
	_, _ = io.WriteString(connection, text)
	_ = connection.Close()
}

func TestTruncatedAnswerIsSeenByTheRouter(t *testing.T) {
	for name, test := range map[string]struct {
		answer  string
		outcome wire.Outcome
		reason  wire.Reason
	}{
		"short, in its body": {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", wire.OutcomeUnknown, wire.ReasonTruncated},
		"short, in a chunk":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nhalf", wire.OutcomeUnknown, wire.ReasonTruncated},
		"between chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", wire.OutcomeUnknown, wire.ReasonTruncated},
		"in its header":      {"HTTP/1.1 200 OK\r\nContent-Le", wire.OutcomeUnknown, wire.ReasonInterrupted},
		"without an end":     {"HTTP/1.1 200 OK\r\n\r\nall of it?", wire.OutcomeUnknown, wire.ReasonInterrupted},
		"nothing":            {"", wire.OutcomeUnknown, wire.ReasonInterrupted},
	} {
		t.Run(name, func(t *testing.T) {
			r, _ := startFakeHarness(t, func(w http.ResponseWriter, _ *http.Request) { hijack(t, w, test.answer) }, shortClockBound)
			got := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1})
			assert.Equal(t, got.outcome, test.outcome, "%+v", got)
			assert.Equal(t, got.reason, test.reason)
		})
	}
	for name, header := range map[string]string{
		"long, with length": "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n",
		"long, in chunks":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sent := header + string(bytes.Repeat([]byte("x"), 3*maxBufferedBytes))
			r, _ := startFakeHarness(t, func(w http.ResponseWriter, _ *http.Request) { hijack(t, w, sent) }, shortClockBound)
			got := r.send(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1})
			assert.ErrorIs(t, got.err, io.ErrUnexpectedEOF)
		})
	}
}

// TestLargeAnswersStreamWithBoundedMemory: the back end can be ahead of a slow
// reader by no more than the buffers of two connections, however long the
// answer is.
func TestLargeAnswersStreamWithBoundedMemory(t *testing.T) {
	const part, parts = 1 << 20, 256
	const bound = 32 << 20
	var sent atomic.Int64
	r, _ := startFakeHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		for range parts {
			if _, err := w.Write(make([]byte, part)); err != nil {
				return
			}
			sent.Add(part)
		}
	}, shortClockBound)
	response, err := (&http.Transport{}).RoundTrip(r.newRequest(testRequest{method: http.MethodGet, path: "/closures/pack/k", epoch: 1,
		header: map[string]string{wire.HeaderClass: classBulk}}))
	assert.NilError(t, err)
	defer response.Body.Close()
	received, most := int64(0), int64(0)
	buffer := make([]byte, part)
	for err == nil {
		var count int
		count, err = response.Body.Read(buffer)
		received += int64(count)
		most = max(most, sent.Load()-received)
		if received < part {
			time.Sleep(10 * time.Millisecond) // lets the back end send ahead
		}
	}
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, received, int64(part*parts))
	assert.Assert(t, most < bound, "%d bytes ahead", most)
	assert.Assert(t, response.Trailer.Get(wire.TrailerDigest) != "", "a body of unknown length must be followed by its digest")
}

// TestLateAnswersReachNoOtherCaller: every second caller disconnects while its
// request runs. The others must receive the answers to their own requests.
func TestLateAnswersReachNoOtherCaller(t *testing.T) {
	r := startHarness(t, backend.Config{}, shortClockBound)
	r.ownShard(1, 1)
	var group sync.WaitGroup
	for caller := range 8 {
		group.Go(func() {
			for i := range 20 {
				id := newID(time.Now())
				sent := testRequest{method: http.MethodGet, path: "/closures/route/k?work=3ms&bytes=2000", epoch: 1,
					header: map[string]string{wire.HeaderRequestID: id}}
				if (caller+i)%2 == 0 {
					cancel, done := r.sendCancellable(sent)
					time.Sleep(time.Duration(i%5) * time.Millisecond)
					cancel()
					<-done
					continue
				}
				got := exchange(r.newRequest(sent))
				assert.Check(t, got.err)
				if got.outcome == wire.OutcomeAnswered {
					assert.Check(t, answer.Check([]byte(got.body), id, "k"))
				}
			}
		})
	}
	group.Wait()
}

// TestBrokenReusedConnectionNeverResends: the back end reads a request on a
// connection on which it has answered before, and closes it without an answer.
// http.Transport would send such a request again because of its Idempotency-Key
// header.
func TestBrokenReusedConnectionNeverResends(t *testing.T) {
	var requests, broken atomic.Int64
	r, _ := startFakeHarness(t, func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		requests.Add(1)
		if broken.Load() > 0 {
			hijack(t, w, "")
		}
	}, func(config *Config) {
		shortClockBound(config)
		config.WarmConnections = -1
	})
	send := func(id string) testResponse {
		return r.send(testRequest{method: http.MethodPost, path: "/closures/edit/k", body: "closed", epoch: 1, id: id,
			header: map[string]string{"Idempotency-Key": id}})
	}
	assert.Equal(t, send(r.freshID()).outcome, wire.OutcomeAnswered)
	reused := r.agent.requests.Stats().Reused
	broken.Store(1)
	id := r.freshID()
	for range 3 {
		got := send(id)
		assert.Equal(t, got.outcome, wire.OutcomeUnknown)
		assert.Equal(t, got.reason, wire.ReasonInterrupted)
	}
	assert.Equal(t, r.agent.requests.Stats().Reused, reused+1, "the connection was reused")
	assert.Equal(t, requests.Load(), int64(2))
}

// TestUnreachableBackEndMeansNotRun: no connection can be opened, so the
// request was certainly not run.
func TestUnreachableBackEndMeansNotRun(t *testing.T) {
	r := startHarness(t, backend.Config{}, func(config *Config) {
		shortClockBound(config)
		config.WarmConnections = -1
	})
	r.ownShard(1, 1)
	stopNow(t, r.backend)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	got := exchange(r.newRequest(testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 1, id: r.freshID()}).WithContext(ctx))
	assert.Equal(t, got.outcome, wire.OutcomeNotRun, "%+v", got)
	assert.Equal(t, got.reason, wire.ReasonUnreachable)
}
