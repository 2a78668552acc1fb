package backend

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/answer"
	"github.com/quartzdock/quartzdock/lab/ledger"
	"github.com/quartzdock/quartzdock/lab/pause"
)

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 16 << 20

// statusClientClosed is the non-standard status for a run that its caller
// cancelled; nobody reads it.
const statusClientClosed = 499

// run is one request on its way through the stand-in.
type run struct {
	id        string
	service   string
	operation string
	key       string
	shard     string
	epoch     topology.Epoch
	writes    bool
	work      time.Duration
	pace      time.Duration
	bytes     int
}

func parseRun(r *http.Request) run {
	query := r.URL.Query()
	work, _ := time.ParseDuration(query.Get("work"))
	pace, _ := time.ParseDuration(query.Get("pace"))
	bytes, _ := strconv.Atoi(query.Get("bytes"))
	epoch, _ := strconv.ParseUint(r.Header.Get(wire.HeaderEpoch), 10, 64)
	return run{
		id:        r.Header.Get(wire.HeaderRequestID),
		service:   chi.URLParam(r, "service"),
		operation: chi.URLParam(r, "operation"),
		key:       chi.URLParam(r, "key"),
		shard:     r.Header.Get(wire.HeaderShard),
		epoch:     topology.Epoch(epoch),
		writes:    r.Method != http.MethodGet && r.Method != http.MethodHead,
		work:      work,
		pace:      pace,
		bytes:     bytes,
	}
}

// refuse answers a request that was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeNotRun))
	http.Error(w, reason, status)
}

func (b *Backend) handleRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderSending, r.Header.Get(wire.HeaderSending))
	// The body is read first: a request is whole before it takes a slot.
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxRequestBytes)); err != nil {
		refuse(w, http.StatusBadRequest, "body incomplete")
		return
	}
	request := parseRun(r)
	ctx, cancel := withDeadline(r)
	defer cancel()
	behaviour := b.behaviour.Load()
	if behaviour.ShedRequests || b.draining.Load() {
		refuse(w, http.StatusServiceUnavailable, "shed")
		return
	}
	if b.running.Add(1) > int64(b.config.Slots) {
		b.running.Add(-1)
		b.record(request, ledger.KindOverSlots, time.Now(), "")
		refuse(w, http.StatusServiceUnavailable, "no slot")
		return
	}
	defer b.running.Add(-1)
	b.serve(ctx, w, request, behaviour)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	milliseconds, err := strconv.ParseInt(r.Header.Get(wire.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(milliseconds)*time.Millisecond)
}

// serve runs a request that holds a slot.
func (b *Backend) serve(ctx context.Context, w http.ResponseWriter, request run, behaviour *Behaviour) {
	if err := b.warmth.prepare(ctx, request.shard); err != nil {
		refuse(w, http.StatusServiceUnavailable, "shard is cold")
		return
	}
	started := time.Now()
	if reason := b.fenced(request, started); reason != "" {
		refuse(w, http.StatusPreconditionFailed, reason)
		return
	}
	b.record(request, ledger.KindRun, started, "")
	if behaviour.FailRequests {
		b.record(request, ledger.KindAbandoned, time.Now(), "told to fail")
		http.Error(w, "told to fail", http.StatusInternalServerError)
		return
	}
	if behaviour.SwallowRequests {
		<-ctx.Done()
	}
	if err := pause.For(ctx, scale(request.work, behaviour.SlowFactor)); err != nil {
		b.record(request, ledger.KindAbandoned, time.Now(), err.Error())
		http.Error(w, err.Error(), statusClientClosed)
		return
	}
	b.finish(ctx, w, request)
}

// finish keeps the effect of a write, if the fence still allows it, and sends
// the answer.
func (b *Backend) finish(ctx context.Context, w http.ResponseWriter, request run) {
	if request.writes {
		finished := time.Now()
		if reason := b.fenced(request, finished); reason != "" {
			b.record(request, ledger.KindAbandoned, finished, reason)
			http.Error(w, reason, http.StatusConflict)
			return
		}
		b.store.write(request.key)
		b.record(request, ledger.KindWrite, finished, "")
	}
	body := answer.New(request.id, request.key, request.bytes)
	w.Header().Set("Content-Type", "text/plain")
	w.Header().Set("Content-Length", strconv.Itoa(body.Len()))
	w.WriteHeader(http.StatusOK)
	sendPaced(ctx, w, body.Bytes(), request.pace)
}

// paceParts is into how many parts a paced answer is cut.
const paceParts = 50

func sendPaced(ctx context.Context, w http.ResponseWriter, body []byte, pace time.Duration) {
	if pace <= 0 {
		w.Write(body)
		return
	}
	size := max(1, len(body)/paceParts)
	controller := http.NewResponseController(w)
	for len(body) > 0 {
		part := body[:min(size, len(body))]
		body = body[len(part):]
		if _, err := w.Write(part); err != nil {
			return
		}
		controller.Flush()
		if pause.For(ctx, pace/paceParts) != nil {
			return
		}
	}
}

func (b *Backend) fenced(request run, now time.Time) string {
	if b.config.Unfenced {
		return ""
	}
	return b.fence.check(request.shard, request.epoch, now)
}

func (b *Backend) record(request run, kind ledger.Kind, now time.Time, reason string) {
	b.ledger.Append(ledger.BackendEntry{
		Time:      now.UnixNano(),
		Kind:      kind,
		Backend:   b.config.Name,
		RequestID: request.id,
		Service:   request.service,
		Operation: request.operation,
		Key:       request.key,
		Shard:     request.shard,
		Epoch:     request.epoch,
		Reason:    reason,
	})
}

func scale(duration time.Duration, factor float64) time.Duration {
	if factor == 0 {
		return duration
	}
	return time.Duration(float64(duration) * factor)
}
