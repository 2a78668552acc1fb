package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/metrics"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const subsystem = "gateway"

// requestBuckets, in seconds, range from a short look-up to the deadline of a caller, and
// queueBuckets from a free slot to the longest wait.
var (
	requestBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 5}
	queueBuckets   = []float64{.001, .005, .02, .05, .1, .2, .5, 1}
)

// Values of the label "hop" of attempts.
const (
	hopPeer    = "peer"
	hopBackend = "back-end"
)

// Values of the label "result" of grants, releases, departures and retries.
const (
	resultConfirmed = "confirmed"
	resultFailed    = "failed"
	resultAllowed   = "allowed"
	resultExhausted = "budget-exhausted"
)

// gatewayMetrics are the counters of the process. Every label has few values: services of the
// configuration, outcomes and reasons.
type gatewayMetrics struct {
	requests          *prometheus.CounterVec
	latency           *prometheus.HistogramVec
	attempts          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	callersLeft       *prometheus.CounterVec
	queue             prometheus.Histogram
	run               prometheus.Histogram
	grants            *prometheus.CounterVec
	releases          *prometheus.CounterVec
	peerRefreshes     *prometheus.CounterVec
	heartbeatsRefused *prometheus.CounterVec
	keysFreed         *prometheus.CounterVec
	// departures counts announced departures by whether the controllers recorded them in time.
	departures *prometheus.CounterVec
	// backendCrashes counts crashes of the back end with requests in progress, and
	// interruptedRuns those requests.
	backendCrashes  prometheus.Counter
	interruptedRuns prometheus.Counter
	// suspendedSeconds is the total time for which the machine was suspended.
	suspendedSeconds prometheus.Counter
	// sentAgain counts requests that were sent to the back end more than once.
	sentAgain prometheus.Counter
	// surplus counts responses of the back end that were discarded, since they state the id of another
	// request than the one whose response was due.
	surplus prometheus.Counter
	// notDelivered counts answers that were replaced by a failure because they could not be written
	// in time.
	notDelivered prometheus.Counter
	// noticesSent counts crash notices to other gateways.
	noticesSent *prometheus.CounterVec
	// heartbeats counts responses to heartbeats by whether they were delayed.
	heartbeats *prometheus.CounterVec
	unreadable *prometheus.CounterVec
	// pipelines counts pipelined requests.
	pipelines pipelineMetrics
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) prometheus.HistogramOpts {
	return prometheus.HistogramOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help, Buckets: buckets}
}

func newGatewayMetrics(registry prometheus.Registerer) *gatewayMetrics {
	m := &gatewayMetrics{
		requests:    counters("requests_total", "Requests of callers by what they were told; the reason is empty where a back end answered.", "service", "outcome", "reason"),
		latency:     prometheus.NewHistogramVec(histogram("request_seconds", "Time from a caller's request to the back end's answer.", requestBuckets), []string{"service"}),
		attempts:    counters("tries_total", "Tries by the hop that made them and what became of them.", "hop", "outcome", "reason"),
		retries:     counters("repeats_total", "Requests that were to be sent again, by whether the retry budget allowed it.", "service", "result"),
		callersLeft: counters("callers_left_total", "Requests whose caller left before the answer.", "service"),
		queue:       prometheus.NewHistogram(histogram("queue_seconds", "Time that a try waited for a slot of the back end.", queueBuckets)),
		run:         prometheus.NewHistogram(histogram("run_seconds", "Time that a try used a slot of the back end.", requestBuckets)),
		grants:      counters("grants_total", "Grants and renewals of keys sent to the back end.", "result"),
		releases:    counters("releases_total", "Ranges of keys taken back from the back end.", "result"),
	}
	m.peerRefreshes = counters("peer_words_total", "Other gateways that were asked for the leader's word, while it was not heard, by what became of it.", "result")
	m.heartbeatsRefused = counters("heartbeats_refused_total", "Heartbeats that told nothing, by what is wrong with them.", "reason")
	m.unreadable = counters("told_unread_total", "Words of other processes that told nothing, as they could not be read or had not come, by what they were to tell.", "of")
	m.keysFreed = counters("keys_freed_total", "Times that the leader was told that keys may go to another owner, by what it rests on.", "proof")
	m.departures = counters("departures_total", "Departures that back ends announced, by whether the controllers recorded them in time; a failed one was not acknowledged.", "result")
	m.pipelines = newPipelineMetrics(registry)
	m.heartbeats = counters("heartbeat_answers_total", "Answers to heartbeats of back ends that get their keys by them: at once, held back until there was news, or held back in vain.", "left")
	m.backendCrashes = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "back_end_ends_total", Help: "Ends of the back end while it was at work."})
	m.interruptedRuns = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "requests_cut_by_ends_total", Help: "Requests that the back end was at work on when it ended."})
	m.suspendedSeconds = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "suspended_seconds_total", Help: "Time for which the machine was suspended since the process started."})
	m.notDelivered = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "answers_not_delivered_total", Help: "Answers of back ends that were replaced by a failure, since the link was not free for them by the deadline or the end of a planned stop."})
	m.sentAgain = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "sent_again_total", Help: "Requests that were sent to the back end once more, each over a new connection."})
	m.noticesSent = counters("ends_told_total", "Other gateways that were told of ends of back ends, by what became of it.", "result")
	m.surplus = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "surplus_answers_total", Help: "Answers of the back end that were discarded, since they answer another request than the one that was due."})
	registry.MustRegister(m.surplus, m.backendCrashes, m.interruptedRuns, m.suspendedSeconds, m.noticesSent, m.heartbeats, m.requests, m.latency, m.attempts, m.retries, m.callersLeft, m.queue, m.run, m.grants, m.releases, m.peerRefreshes, m.heartbeatsRefused, m.keysFreed, m.departures, m.sentAgain, m.notDelivered, m.unreadable)
	return m
}

// backendCrashed counts a crash of the back end with requests in progress.
func (m *gatewayMetrics) backendCrashed(interrupted int) {
	m.backendCrashes.Inc()
	m.interruptedRuns.Add(float64(interrupted))
}

func (m *gatewayMetrics) suspended(length time.Duration) { m.suspendedSeconds.Add(length.Seconds()) }

func (m *gatewayMetrics) noticeSent(err error) { m.noticesSent.WithLabelValues(resultOf(err)).Inc() }

// request counts a finished request of a caller.
func (m *gatewayMetrics) request(service string, result outcome, cause reason) {
	m.requests.WithLabelValues(service, string(result), string(cause)).Inc()
}

// requestFinished counts a finished request and observes its duration.
func (m *gatewayMetrics) requestFinished(c *call, result *forwardResult, duration time.Duration) {
	m.request(c.service.Name, result.Outcome, result.Reason)
	if result.Outcome == outcomeAnswered {
		m.latency.WithLabelValues(c.service.Name).Observe(duration.Seconds())
	}
}

func (m *gatewayMetrics) callerLeft(service string) { m.callersLeft.WithLabelValues(service).Inc() }

// Kinds of messages of other processes that could not be used.
const (
	unreadableLoad    = "load"
	unreadableWarmUp  = "warmth"
	unreadableCrashes = "ends"
	unreadableLimit   = "limit"
)

// countUnreadable counts a message of another process that was missing or malformed.
func (m *gatewayMetrics) countUnreadable(kind string) { m.unreadable.WithLabelValues(kind).Inc() }

func (m *gatewayMetrics) peerAttempt(result *forwardResult) {
	if result.Outcome == outcomeAnswered && !result.loadRead {
		m.countUnreadable(unreadableLoad)
	}
	m.attempts.WithLabelValues(hopPeer, string(result.Outcome), string(result.Reason)).Inc()
}

// backendAttempt counts an attempt at the local back end.
func (m *gatewayMetrics) backendAttempt(result *forwardResult, waited, used time.Duration) {
	m.attempts.WithLabelValues(hopBackend, string(result.Outcome), string(result.Reason)).Inc()
	m.queue.Observe(waited.Seconds())
	if result.Sent {
		m.run.Observe(used.Seconds())
	}
}

func (m *gatewayMetrics) retry(service string, allowed bool) {
	result := resultAllowed
	if !allowed {
		result = resultExhausted
	}
	m.retries.WithLabelValues(service, result).Inc()
}

func resultOf(err error) string {
	if err != nil {
		return resultFailed
	}
	return resultConfirmed
}

func (m *gatewayMetrics) grant(err error) { m.grants.WithLabelValues(resultOf(err)).Inc() }
func (m *gatewayMetrics) peerRefresh(err error) {
	m.peerRefreshes.WithLabelValues(resultOf(err)).Inc()
}
func (m *gatewayMetrics) release(err error) { m.releases.WithLabelValues(resultOf(err)).Inc() }

// gauge returns a gauge whose value is read when the metrics are collected.
func gauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help}, read)
}

// gauges returns the gauges of the gateway's state.
func (g *Gateway) gauges() []prometheus.Collector {
	return []prometheus.Collector{
		gauge("ready", "1 where the gateway can serve callers.", func() float64 { return boolGauge(g.Ready()) }),
		gauge("stopping", "1 while a planned stop is in progress.", func() float64 { return boolGauge(g.admission.Stopping()) }),
		gauge("peers_in_flight", "Requests of other gateways in progress.", func() float64 { return float64(g.activePeers.Load()) }),
		gauge("in_flight", "Requests of callers in progress.", func() float64 { return float64(g.activeCallers.Load()) }),
		gauge("slots", "Slots of the back end beside the gateway.", func() float64 { return float64(g.slots.load().slots) }),
		gauge("slots_used", "Slots in use.", func() float64 { return float64(g.slots.load().running) }),
		gauge("queue_length", "Requests that wait for a slot.", func() float64 { return float64(g.slots.load().waiting) }),
		gauge("rate_limit", "Requests per second that the back end takes, by its own statement; -1 where it states none.", g.rateLimitGauge),
		gauge("held_bytes", "Bodies of answers that are kept until they are sent.", func() float64 { return float64(g.held.count.Load()) }),
		gauge("caller_body_bytes", "Reserved for bodies of callers' requests.", func() float64 { return float64(g.callerBodies.Reserved()) }),
		gauge("peer_body_bytes", "Reserved for bodies of requests that other gateways forward.", func() float64 { return float64(g.peerBodies.Reserved()) }),
		gauge("configuration_version", "Version of the configuration in force.", func() float64 { return float64(g.views.load().version()) }),
		gauge("configuration_age_seconds", "Time since the configuration in force was taken.", func() float64 { return g.views.load().age(steady.Reading()).Seconds() }),
		gauge("instances_ready", "Ready back ends that the gateway knows.", func() float64 { return float64(g.views.load().countInState(fleetwire.InstanceReady)) }),
		gauge("session_silence_seconds", "Time since the leading controller was heard.", func() float64 { return g.session.leaderSilence(steady.Reading()).Seconds() }),
		gauge("configuration_lease_seconds", "Time left for which the gateway may serve by its configuration; negative where it refuses.", func() float64 { return g.session.configurationLease.remaining(steady.Reading()).Seconds() }),
		gauge("lease_seconds", "Time left of the lease on the back end's keys; negative where it has run out.", func() float64 { return g.keys.leaseRemaining(steady.Reading()).Seconds() }),
		gauge("suspects", "Requests under which back ends have ended and which run only on trial.", func() float64 { return float64(len(g.views.load().suspects)) }),
		gauge("ranges_held", "Ranges of keys that the back end may hold.", func() float64 { return float64(g.keys.leasedRangeCount()) }),
	}
}

// boolGauge converts a condition to the value of a gauge.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
