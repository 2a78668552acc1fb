package gateway

import (
	"hash/fnv"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// tryRecord is one try of a request, as the log tells it.
type tryRecord struct {
	Instance string  `json:"instance"`
	Node     string  `json:"node"`
	Outcome  outcome `json:"outcome"`
	Reason   reason  `json:"reason,omitempty"`
	Status   int     `json:"status,omitempty"`
	// Running and Waiting are requests at the back end, and Slots what it has,
	// as the answer told.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// TookMillis is how long the try took.
	TookMillis int64 `json:"took_ms"`
}

// sampledOf is the number of requests of which one that was served in time is
// told. It is drawn by the request's id, so that all hops tell of the same ones.
const sampledOf = 256

func sampled(id string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()%sampledOf == 0
}

// record notes a try for the log.
func (c *call) record(instance, node string, result *forwardResult, took time.Duration) {
	c.tries = append(c.tries, tryRecord{
		Instance: instance, Node: node, Outcome: result.Outcome, Reason: result.Reason, Status: result.Status,
		Running: result.Load.running, Waiting: result.Load.waiting, Slots: result.Load.slots,
		TookMillis: took.Milliseconds(),
	})
}

// requestFields identify a caller's request and what it was decided by.
func (g *Gateway) requestFields(r *http.Request) []any {
	v := g.views.load()
	return []any{
		"request", r.Header.Get(g.config.Headers.RequestID), "host", r.Host, "path", r.URL.Path,
		"key", r.Header.Get(g.config.Headers.Key), "stated_ms", r.Header.Get(g.config.Headers.Deadline), "version", uint64(v.version()), "owners_index", v.ownersIndex,
	}
}

// logFailure tells of a request that was not served. Tries are nil where it was
// offered to no back end.
func (g *Gateway) logFailure(r *http.Request, status int, why reason, after time.Duration, tries []tryRecord) {
	fields := append(g.requestFields(r), "status", status, "reason", string(why), "tries", tries)
	if after > 0 {
		fields = append(fields, "retry_after_ms", after.Milliseconds())
	}
	g.config.Log.Info("request not served", fields...)
}

// logAnswer tells of a back end's answer where it failed, was late or was
// repeated, and of a sample of the others.
func (g *Gateway) logAnswer(c *call, result *forwardResult, took time.Duration) {
	failed := result.Status >= http.StatusInternalServerError
	late := took > c.route.TargetLatency
	if !failed && !late && len(c.tries) == 1 && !sampled(c.id) {
		return
	}
	fields := append(g.requestFields(c.request), "status", result.Status, "late", late, "took_ms", took.Milliseconds(),
		"target_ms", c.route.TargetLatency.Milliseconds(), "service", c.service.Name, "tries", c.tries)
	g.config.Log.Info("request answered", fields...)
}

// logRefusal tells why the gateway beside a back end did not send it a request.
func (e *egress) logRefusal(request *forwardRequest, why reason) {
	now := steady.Reading()
	fields := []any{"request", request.ID, "reason", string(why), "service", request.Service, "instance", request.Instance}
	switch why {
	case reasonNotOwner:
		fields = append(fields, "key", uint32(request.Key), "because", string(e.gateway.keys.whyNot(request.Key, now)))
	case reasonNotAdmitted:
		present := e.gateway.registry.snapshot()
		fields = append(fields, "present", present.ID, "state", int(present.State), "gateway_leaving", present.Leaving)
	default:
		load := e.gateway.slots.load()
		fields = append(fields, "running", load.running, "waiting", load.waiting, "slots", load.slots,
			"service_ms", load.service(request.Target).Milliseconds(), "due_in_ms", request.Due.Sub(now).Milliseconds(),
			"deadline_in_ms", request.Deadline.Sub(now).Milliseconds(), "patience_ms", e.demand(request).Patience.Milliseconds())
	}
	e.gateway.config.Log.Info("try refused", fields...)
}

// keyState says why a back end does not hold a key.
type keyState string

// States of a key at a gateway.
const (
	keyNotLeased  keyState = "not-leased"
	keyNotGranted keyState = "not-granted"
	keyExpired    keyState = "grant-expired"
	keyTakenBack  keyState = "taken-back"
	// keyNotTold: the back end gets its keys by heartbeat and has sent none since.
	keyNotTold keyState = "not-told"
	// keyNotTaken: it was told, by heartbeat, and does not name the key.
	keyNotTaken keyState = "not-taken"
)

// whyNot explains why holds is false.
func (k *keyKeeper) whyNot(key keyspace.Key, now time.Time) keyState {
	byHeartbeat := k.byHeartbeat()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	one := keyspace.Range{First: key, Last: key}
	if byHeartbeat {
		return k.whyNotReported(one)
	}
	state := keyNotLeased
	for _, held := range k.wanted {
		if !held.Keys.Contains(one) {
			continue
		}
		state = keyNotGranted
		for granted, sent := range k.grants {
			if granted.fence != held.Fence || !granted.keys.Contains(one) || sent.until.IsZero() {
				continue
			}
			state = keyExpired
			if now.Before(sent.until) {
				return keyTakenBack
			}
		}
	}
	return state
}

// whyNotReported is whyNot where keys are granted by heartbeat.
func (k *keyKeeper) whyNotReported(one keyspace.Range) keyState {
	for _, held := range k.wanted {
		if !held.Keys.Contains(one) {
			continue
		}
		sent, offered := k.grants[heldKey{held.Keys, held.Fence}]
		switch {
		case !offered || sent.sentAt.IsZero():
			return keyNotTold
		case sent.untaken > 0:
			return keyNotTaken
		}
		return keyExpired
	}
	return keyNotLeased
}
