package gateway

import (
	"hash/fnv"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// attemptRecord is one attempt of a request as it is logged.
type attemptRecord struct {
	Instance string  `json:"instance"`
	Node     string  `json:"node"`
	Outcome  outcome `json:"outcome"`
	Reason   reason  `json:"reason,omitempty"`
	Status   int     `json:"status,omitempty"`
	// Running, Waiting and Slots are the load of the back end as reported with the result:
	// its running and waiting requests and its slots.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
	// TookMillis is how long the attempt took.
	TookMillis int64 `json:"took_ms"`
}

// logSampleInterval is the sampling interval of requests that are served in time: one in so
// many is logged. Sampling goes by the request's ID, so that all hops log the same requests.
const logSampleInterval = 256

func isSampled(id string) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return hash.Sum32()%logSampleInterval == 0
}

// recordAttempt adds an attempt to those that are logged.
func (c *call) recordAttempt(instance, node string, result *forwardResult, took time.Duration) {
	c.attempts = append(c.attempts, attemptRecord{
		Instance: instance, Node: node, Outcome: result.Outcome, Reason: result.Reason, Status: result.Status,
		Running: result.Load.running, Waiting: result.Load.waiting, Slots: result.Load.slots,
		TookMillis: took.Milliseconds(),
	})
}

// requestFields are the log fields that identify a caller's request and the configuration
// that it was routed by.
func (g *Gateway) requestFields(r *http.Request) []any {
	v := g.views.load()
	return []any{
		"request", r.Header.Get(g.config.Headers.RequestID), "host", r.Host, "path", r.URL.Path,
		"tenant", v.tenantName(r.Header.Get(g.config.Headers.APIKey)), "key", r.Header.Get(g.config.Headers.Key), "stated_ms", r.Header.Get(g.config.Headers.Deadline), "version", uint64(v.version()), "owners_index", v.ownersIndex,
	}
}

// logFailure logs a request that was not served. Attempts are nil if it was offered to no
// back end.
func (g *Gateway) logFailure(r *http.Request, status int, why reason, after time.Duration, attempts []attemptRecord) {
	fields := append(g.requestFields(r), "status", status, "reason", string(why), "tries", attempts)
	if after > 0 {
		fields = append(fields, "retry_after_ms", after.Milliseconds())
	}
	g.config.Log.Info("request not served", fields...)
}

// logResponse logs a back end's response if it failed, was late or took more than one
// attempt, and a sample of the others.
func (g *Gateway) logResponse(c *call, result *forwardResult, took time.Duration) {
	failed := result.Status >= http.StatusInternalServerError
	late := took > c.route.TargetLatency
	if !failed && !late && len(c.attempts) == 1 && !isSampled(c.id) {
		return
	}
	fields := append(g.requestFields(c.request), "status", result.Status, "late", late, "took_ms", took.Milliseconds(),
		"target_ms", c.route.TargetLatency.Milliseconds(), "service", c.service.Name, "tries", c.attempts)
	g.config.Log.Info("request answered", fields...)
}

// logRefusal logs why the gateway did not send a request to the local back end.
func (e *egress) logRefusal(request *forwardRequest, why reason) {
	now := steady.Reading()
	fields := []any{"request", request.ID, "reason", string(why), "service", request.Service, "instance", request.Instance}
	switch why {
	case reasonNotOwner:
		fields = append(fields, "key", uint32(request.Key), "because", string(e.gateway.keys.missingState(request.Key, now)))
	case reasonNotAdmitted:
		current := e.gateway.registry.snapshot()
		fields = append(fields, "present", current.ID, "state", int(current.State), "gateway_leaving", current.Leaving)
	default:
		load := e.gateway.slots.load()
		fields = append(fields, "running", load.running, "waiting", load.waiting, "slots", load.slots,
			"service_ms", load.serviceTimeFor(request.Target).Milliseconds(), "due_in_ms", request.Due.Sub(now).Milliseconds(),
			"deadline_in_ms", request.Deadline.Sub(now).Milliseconds(), "patience_ms", e.slotDemand(request).InTimeWait.Milliseconds())
	}
	e.gateway.config.Log.Info("try refused", fields...)
}

// keyState is the reason why a back end does not hold a key.
type keyState string

// States of a key at a gateway.
const (
	keyNotLeased  keyState = "not-leased"
	keyNotGranted keyState = "not-granted"
	keyExpired    keyState = "grant-expired"
	keyRevoked    keyState = "taken-back"
	// keyNotOffered: the back end gets its keys by heartbeat and has sent none since the
	// lease began.
	keyNotOffered keyState = "not-told"
	// keyNotAccepted: the key was offered in response to a heartbeat, and later heartbeats do
	// not name it as held.
	keyNotAccepted keyState = "not-taken"
)

// missingState returns why a key is not held, for a key for which holds returns false.
func (k *grantManager) missingState(key keyspace.Key, now time.Time) keyState {
	byHeartbeat := k.byHeartbeat()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	keyRange := keyspace.Range{First: key, Last: key}
	if byHeartbeat {
		return k.missingStateByHeartbeat(keyRange)
	}
	state := keyNotLeased
	for _, held := range k.leasedRanges {
		if !held.Keys.Contains(keyRange) {
			continue
		}
		state = keyNotGranted
		for granted, grant := range k.grants {
			if granted.fence != held.Fence || !granted.keys.Contains(keyRange) || grant.heldUntil.IsZero() {
				continue
			}
			state = keyExpired
			if now.Before(grant.heldUntil) {
				return keyRevoked
			}
		}
	}
	return state
}

// missingStateByHeartbeat is missingState for back ends that get their keys by heartbeat.
func (k *grantManager) missingStateByHeartbeat(keyRange keyspace.Range) keyState {
	for _, held := range k.leasedRanges {
		if !held.Keys.Contains(keyRange) {
			continue
		}
		grant, offered := k.grants[fencedRange{held.Keys, held.Fence}]
		switch {
		case !offered || grant.sentAt.IsZero():
			return keyNotOffered
		case grant.unacceptedOffers > 0:
			return keyNotAccepted
		}
		return keyExpired
	}
	return keyNotLeased
}
