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
	// idleTimeout of connections from routers; longer than upstream's, so that
	// a router never writes to a connection that is being closed here.
	idleTimeout = 3 * time.Minute
	// grantWait bounds how long a request waits for the back end to be granted
	// a shard that this agent owns already.
	grantWait = time.Second
)

func (agent *Agent) newServer() *http.Server {
	routes := chi.NewRouter()
	routes.Post(recordPath, agent.takeRecord)
	routes.HandleFunc("/*", agent.serveRequest)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // what internal/upstream speaks
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

// result is the end of a request.
type result struct {
	// refused is nil for an answer of the back end that was released.
	refused *refusal
	// ran says that the back end answered it whole; notRun that it is proved
	// not to have run it. Otherwise whether it ran is not known.
	ran, notRun bool
	// answer is the back end's answer where it is short enough to keep.
	answer *requestrecord.Answer
	// cut: the answer's header was sent but its rest can't be.
	cut bool
	// broken: the back end's answer broke off.
	broken bool
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

// requestContext carries the deadline and, for repeatable requests, the
// router's cancellation. A non-repeatable request runs on when its router goes
// away, so that a resend finds its answer.
func requestContext(r *http.Request, parsed request) (context.Context, context.CancelFunc) {
	ctx := r.Context()
	if parsed.nonRepeatable {
		ctx = context.WithoutCancel(ctx)
	}
	return context.WithDeadline(ctx, parsed.deadline)
}

// finish sends the agent's own answer, or breaks the connection where the
// reader must see that the answer is not whole.
func (agent *Agent) finish(w http.ResponseWriter, ended result) {
	switch {
	case ended.cut:
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
	entered, refused := agent.admit(ctx, parsed)
	if refused != nil {
		return refusedResult(refused)
	}
	defer entered.leave()
	shard := entered.shard
	parsed.served = shard
	if parsed.hasKey {
		shard.saw(parsed.key)
	}
	body, refused := agent.takeBody(w, r)
	if refused != nil {
		return refusedResult(refused)
	}
	defer body.release()
	if parsed.nonRepeatable {
		return agent.runOnce(ctx, w, r, parsed, shard, body)
	}
	return agent.run(ctx, w, r, parsed, shard, body)
}

// fence says why a request may not be admitted now, or nil.
func (agent *Agent) fence(parsed request) error {
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
	return agent.leased()
}

// stillOwns says why an admitted request may not go on, or nil.
func (agent *Agent) stillOwns(parsed request) error {
	if !parsed.bound {
		return agent.leased()
	}
	err := agent.holder.Owns(parsed.shard, parsed.epoch, agent.now())
	if err != nil && agent.continues(parsed.served) {
		return nil
	}
	return err
}

func (agent *Agent) leased() error {
	if !agent.holder.Valid(agent.now()) {
		return ownership.ErrNoLease
	}
	return nil
}

// find returns where the request is counted, or nil while the back end has not
// been granted its shard.
func (current *view) find(parsed request) *served {
	if !parsed.bound {
		return current.unbound
	}
	shard, ok := current.shards[parsed.shard]
	if !ok || shard.epoch != parsed.epoch {
		return nil
	}
	return shard
}

// admit checks the fence and counts the request in. It waits while the back
// end is being granted the shard.
func (agent *Agent) admit(ctx context.Context, parsed request) (visit, *refusal) {
	var timeout <-chan time.Time
	for {
		current := agent.view.Load()
		if err := agent.fence(parsed); err != nil {
			return visit{}, fenceRefusal(err)
		}
		if found := current.find(parsed); found != nil {
			if entered, open := found.enter(); open {
				return entered, nil
			}
			return visit{}, notRun(http.StatusMisdirectedRequest, wire.ReasonDraining, "the shard is being moved")
		}
		if !parsed.bound {
			return visit{}, notRun(http.StatusMisdirectedRequest, wire.ReasonDraining, "the back end is leaving")
		}
		if timeout == nil {
			timer := time.NewTimer(grantWait)
			defer timer.Stop()
			timeout = timer.C
		}
		if refused := current.awaitChange(ctx, timeout); refused != nil {
			return visit{}, refused
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

// runOnce passes the record of request ids around run.
func (agent *Agent) runOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, parsed request, shard *served, body *requestBody) result {
	verdict, err := agent.record.Admit(ctx, parsed.shard, parsed.epoch, parsed.id, fingerprint(r, body))
	if err != nil {
		return refusedResult(admitRefusal(err))
	}
	switch verdict.Decision {
	case requestrecord.Fresh:
	case requestrecord.Answered:
		writeAnswer(w, verdict.Answer)
		return result{ran: true}
	default:
		return refusedResult(repeatRefusal(verdict.Decision))
	}
	ended := agent.run(ctx, w, r, parsed, shard, body)
	agent.recordEnd(parsed.shard, parsed.id, ended)
	for _, heir := range agent.heirs(shard) {
		agent.recordEnd(heir, parsed.id, ended)
	}
	return ended
}

func (agent *Agent) recordEnd(shard topology.ShardID, id requestid.ID, ended result) {
	switch {
	case ended.ran:
		agent.record.Finish(shard, id, ended.answer)
	case ended.notRun:
		agent.record.Abandon(shard, id)
	default:
		agent.record.Lose(shard, id)
	}
}
