package agent

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// idleTimeout closes idle connections from routers. It is longer than the
	// idle timeout in package upstream, so that a router does not write to a
	// connection that is being closed here.
	idleTimeout = 3 * time.Minute
	// grantWait bounds how long a request waits until the back end is granted a
	// shard that this agent already owns.
	grantWait = time.Second
)

func (agent *Agent) newServer() *http.Server {
	routes := chi.NewRouter()
	routes.Post(recordPath, agent.receiveRecord)
	routes.HandleFunc("/*", agent.serveRequest)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // the only version that package upstream supports
	return &http.Server{
		Handler:           routes,
		TLSConfig:         agent.config.ServerTLS,
		Protocols:         protocols,
		ReadHeaderTimeout: agent.config.HeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    agent.config.MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(agent.config.Log.Handler(), slog.LevelDebug),
	}
}

// result is how the handling of a request ended.
type result struct {
	// refused is the refusal to send, or nil if an answer of the back end was
	// released.
	refused *refusal
	// ran is set if the back end answered completely, notRun if it certainly
	// did not run the request. If neither is set, it is unknown whether it ran.
	ran, notRun bool
	// answer is the back end's answer if it is short enough to keep.
	answer *requestrecord.Answer
	// aborted is set if the answer's header was sent but its rest can't be.
	aborted bool
	// answerBroken is set if the back end's answer ended early.
	answerBroken bool
}

func refusedResult(refused *refusal) result {
	return result{refused: refused, notRun: refused.outcome == wire.OutcomeNotRun}
}

func (agent *Agent) serveRequest(w http.ResponseWriter, r *http.Request) {
	if agent.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	parsed, err := parseRequest(r, agent.config.RequestTimeout)
	if err != nil {
		agent.finish(w, refusedResult(notRun(http.StatusBadRequest, wire.ReasonInvalid, err.Error())))
		return
	}
	parsed.deadline = time.Now().Add(parsed.timeout)
	ctx, cancel := requestContext(r, parsed)
	defer cancel()
	agent.finish(w, agent.serve(ctx, w, r, parsed))
}

// requestContext returns a context with the deadline and, for repeatable
// requests, the router's cancellation. A non-repeatable request continues when
// its router disconnects, so that a resend finds its answer.
func requestContext(r *http.Request, parsed request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if parsed.nonRepeatable {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, parsed.deadline)
}

// finish counts the outcome. It sends a refusal, if there is one, or aborts the
// connection if the router must see that the answer is incomplete.
func (agent *Agent) finish(w http.ResponseWriter, ended result) {
	switch {
	case ended.aborted:
		agent.countOutcome(wire.OutcomeUnknown, wire.ReasonTruncated)
		panic(http.ErrAbortHandler)
	case ended.refused != nil:
		agent.countOutcome(ended.refused.outcome, ended.refused.reason)
		ended.refused.write(w)
	default:
		agent.countOutcome(wire.OutcomeAnswered, "")
	}
}

func (agent *Agent) serve(ctx context.Context, w http.ResponseWriter, r *http.Request, parsed request) result {
	inFlight, refused := agent.admit(ctx, parsed)
	if refused != nil {
		return refusedResult(refused)
	}
	defer inFlight.end()
	shard := inFlight.shard
	parsed.admittedTo = shard
	if parsed.hasKey {
		shard.countKey(parsed.key)
	}
	body, refused := agent.readBody(w, r)
	if refused != nil {
		return refusedResult(refused)
	}
	defer body.release()
	if parsed.nonRepeatable {
		return agent.runOnce(ctx, w, r, parsed, shard, body)
	}
	return agent.forward(ctx, w, r, parsed, shard, body)
}

// checkAdmission returns why a request may not be admitted now, or nil.
func (agent *Agent) checkAdmission(parsed request) error {
	if agent.stopping.Load() {
		return errStopping
	}
	if !agent.admission.Admits(parsed.deadline) {
		return errOutlastsStop
	}
	if agent.closedToNew.Load() {
		return ownership.ErrReleasing
	}
	if parsed.bound {
		return agent.holder.Admits(parsed.shard, parsed.epoch, agent.now())
	}
	return agent.checkLease()
}

// checkOwned returns why an admitted request may not continue, or nil.
func (agent *Agent) checkOwned(parsed request) error {
	if !parsed.bound {
		return agent.checkLease()
	}
	err := agent.holder.Owns(parsed.shard, parsed.epoch, agent.now())
	if err != nil && agent.mayContinue(parsed.admittedTo) {
		return nil
	}
	return err
}

func (agent *Agent) checkLease() error {
	if !agent.holder.Valid(agent.now()) {
		return ownership.ErrNoLease
	}
	return nil
}

// lookup returns the shard with which a request registers, or nil while the
// back end has not been granted it at the request's epoch.
func (current *view) lookup(parsed request) *servedShard {
	if !parsed.bound {
		return current.unbound
	}
	shard, ok := current.shards[parsed.shard]
	if !ok || shard.epoch != parsed.epoch {
		return nil
	}
	return shard
}

// admit checks that the request may be admitted and registers it with its
// shard. It waits while the back end is being granted the shard.
func (agent *Agent) admit(ctx context.Context, parsed request) (inFlightRequest, *refusal) {
	var timeout <-chan time.Time
	for {
		current := agent.view.Load()
		if err := agent.checkAdmission(parsed); err != nil {
			return inFlightRequest{}, ownershipRefusal(err)
		}
		if found := current.lookup(parsed); found != nil {
			if inFlight, open := found.beginRequest(); open {
				return inFlight, nil
			}
			return inFlightRequest{}, notRun(http.StatusMisdirectedRequest, wire.ReasonDraining, "the shard is being moved")
		}
		if !parsed.bound {
			return inFlightRequest{}, notRun(http.StatusMisdirectedRequest, wire.ReasonDraining, "the back end is leaving")
		}
		if timeout == nil {
			timer := time.NewTimer(grantWait)
			defer timer.Stop()
			timeout = timer.C
		}
		if refused := current.awaitChange(ctx, timeout); refused != nil {
			return inFlightRequest{}, refused
		}
	}
}

func (current *view) awaitChange(ctx context.Context, timeout <-chan time.Time) *refusal {
	select {
	case <-current.changed:
		return nil
	case <-timeout:
		return notRun(http.StatusMisdirectedRequest, wire.ReasonNoLease, "the back end has not taken the grant")
	case <-ctx.Done():
		return notRun(http.StatusGatewayTimeout, wire.ReasonExpired, "the deadline passed before the grant")
	}
}

// runOnce forwards a non-repeatable request unless the record of request ids
// has seen it, and records the outcome.
func (agent *Agent) runOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, parsed request, shard *servedShard, body *requestBody) result {
	verdict, err := agent.record.Admit(ctx, parsed.shard, parsed.epoch, parsed.id, fingerprint(r, body))
	if err != nil {
		return refusedResult(recordRefusal(err))
	}
	switch verdict.Decision {
	case requestrecord.Fresh:
	case requestrecord.Answered:
		writeAnswer(w, verdict.Answer)
		return result{ran: true}
	default:
		return refusedResult(duplicateRefusal(verdict.Decision))
	}
	ended := agent.forward(ctx, w, r, parsed, shard, body)
	agent.recordOutcome(parsed.shard, parsed.id, ended)
	for _, successor := range agent.successorShards(shard) {
		agent.recordOutcome(successor, parsed.id, ended)
	}
	return ended
}

func (agent *Agent) recordOutcome(shard topology.ShardID, id requestid.ID, ended result) {
	switch {
	case ended.ran:
		agent.record.Finish(shard, id, ended.answer)
	case ended.notRun:
		agent.record.Abandon(shard, id)
	default:
		agent.record.MarkOutcomeUnknown(shard, id)
	}
}
