package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/metrics"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const subsystem = "gateway"

// requestBuckets, in seconds, span a short look-up to a caller's deadline, and
// queueBuckets a free slot to the longest wait.
var (
	requestBuckets = []float64{.01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2, 5}
	queueBuckets   = []float64{.001, .005, .02, .05, .1, .2, .5, 1}
)

// Kinds of tries by the hop that made them.
const (
	hopPeer    = "peer"
	hopBackend = "back-end"
)

// Results of grants, releases and repeats.
const (
	resultConfirmed = "confirmed"
	resultFailed    = "failed"
	resultAllowed   = "allowed"
	resultExhausted = "budget-exhausted"
)

// gatewayMetrics are the process's counters. Every label has few values: the
// services of the configuration, outcomes and reasons.
type gatewayMetrics struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	tries    *prometheus.CounterVec
	repeats  *prometheus.CounterVec
	left     *prometheus.CounterVec
	queue    prometheus.Histogram
	run      prometheus.Histogram
	grants   *prometheus.CounterVec
	releases *prometheus.CounterVec
	words    *prometheus.CounterVec
	refused  *prometheus.CounterVec
	freed    *prometheus.CounterVec
	// backendEnds are ends of the back end with requests at work, and cut those requests.
	backendEnds prometheus.Counter
	cut         prometheus.Counter
	// suspendedSeconds is for how long the machine was suspended.
	suspendedSeconds prometheus.Counter
	// endsTold are ends that other gateways were told.
	endsTold *prometheus.CounterVec
	// heartbeats by how their answers came to leave.
	heartbeats *prometheus.CounterVec
	told       *prometheus.CounterVec
	// pipelines counts what callers send ahead.
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
		requests: counters("requests_total", "Requests of callers by what they were told; the reason is empty where a back end answered.", "service", "outcome", "reason"),
		latency:  prometheus.NewHistogramVec(histogram("request_seconds", "Time from a caller's request to the back end's answer.", requestBuckets), []string{"service"}),
		tries:    counters("tries_total", "Tries by the hop that made them and what became of them.", "hop", "outcome", "reason"),
		repeats:  counters("repeats_total", "Requests that were to be sent again, by whether the retry budget allowed it.", "service", "result"),
		left:     counters("callers_left_total", "Requests whose caller left before the answer.", "service"),
		queue:    prometheus.NewHistogram(histogram("queue_seconds", "Time that a try waited for a slot of the back end.", queueBuckets)),
		run:      prometheus.NewHistogram(histogram("run_seconds", "Time that a try used a slot of the back end.", requestBuckets)),
		grants:   counters("grants_total", "Grants and renewals of keys sent to the back end.", "result"),
		releases: counters("releases_total", "Ranges of keys taken back from the back end.", "result"),
	}
	m.words = counters("peer_words_total", "Other gateways that were asked for the leader's word, while it was not heard, by what became of it.", "result")
	m.refused = counters("heartbeats_refused_total", "Heartbeats that told nothing, by what is wrong with them.", "reason")
	m.told = counters("told_unread_total", "Words of other processes that told nothing, as they could not be read or had not come, by what they were to tell.", "of")
	m.freed = counters("keys_freed_total", "Times that the leader was told that keys may go to another owner, by what it rests on.", "proof")
	m.pipelines = newPipelineMetrics(registry)
	m.heartbeats = counters("heartbeat_answers_total", "Answers to heartbeats of back ends that get their keys by them: at once, held back until there was news, or held back in vain.", "left")
	m.backendEnds = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "back_end_ends_total", Help: "Ends of the back end while it was at work."})
	m.cut = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "requests_cut_by_ends_total", Help: "Requests that the back end was at work on when it ended."})
	m.suspendedSeconds = prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "suspended_seconds_total", Help: "Time for which the machine was suspended since the process started."})
	m.endsTold = counters("ends_told_total", "Other gateways that were told of ends of back ends, by what became of it.", "result")
	registry.MustRegister(m.backendEnds, m.cut, m.suspendedSeconds, m.endsTold, m.heartbeats, m.requests, m.latency, m.tries, m.repeats, m.left, m.queue, m.run, m.grants, m.releases, m.words, m.refused, m.freed, m.told)
	return m
}

// backendEnded counts an end of the back end with requests at work.
func (m *gatewayMetrics) backendEnded(atWork int) {
	m.backendEnds.Inc()
	m.cut.Add(float64(atWork))
}

func (m *gatewayMetrics) suspended(lasted time.Duration) { m.suspendedSeconds.Add(lasted.Seconds()) }

func (m *gatewayMetrics) endTold(err error) { m.endsTold.WithLabelValues(resultOf(err)).Inc() }

// request counts the end of a caller's request.
func (m *gatewayMetrics) request(service string, told outcome, why reason) {
	m.requests.WithLabelValues(service, string(told), string(why)).Inc()
}

// answered counts the end of a request and how long it took.
func (m *gatewayMetrics) answered(c *call, result *forwardResult, took time.Duration) {
	m.request(c.service.Name, result.Outcome, result.Reason)
	if result.Outcome == outcomeAnswered {
		m.latency.WithLabelValues(c.service.Name).Observe(took.Seconds())
	}
}

func (m *gatewayMetrics) callerLeft(service string) { m.left.WithLabelValues(service).Inc() }

// What words of other processes are to tell.
const (
	toldLoad   = "load"
	toldWarmth = "warmth"
	toldEnds   = "ends"
)

// unread counts a word of another process that told nothing.
func (m *gatewayMetrics) unread(of string) { m.told.WithLabelValues(of).Inc() }

func (m *gatewayMetrics) peerTry(result *forwardResult) {
	if result.Outcome == outcomeAnswered && !result.loadRead {
		m.unread(toldLoad)
	}
	m.tries.WithLabelValues(hopPeer, string(result.Outcome), string(result.Reason)).Inc()
}

// backendTry counts a try at the back end beside the gateway.
func (m *gatewayMetrics) backendTry(result *forwardResult, waited, used time.Duration) {
	m.tries.WithLabelValues(hopBackend, string(result.Outcome), string(result.Reason)).Inc()
	m.queue.Observe(waited.Seconds())
	if result.Sent {
		m.run.Observe(used.Seconds())
	}
}

func (m *gatewayMetrics) repeat(service string, allowed bool) {
	result := resultAllowed
	if !allowed {
		result = resultExhausted
	}
	m.repeats.WithLabelValues(service, result).Inc()
}

func resultOf(err error) string {
	if err != nil {
		return resultFailed
	}
	return resultConfirmed
}

func (m *gatewayMetrics) grant(err error) { m.grants.WithLabelValues(resultOf(err)).Inc() }
func (m *gatewayMetrics) peerWord(err error) {
	m.words.WithLabelValues(resultOf(err)).Inc()
}
func (m *gatewayMetrics) release(err error) { m.releases.WithLabelValues(resultOf(err)).Inc() }

// gauge returns one that is read when metrics are collected.
func gauge(name, help string, read func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help}, read)
}

// gauges of a gateway's state.
func (g *Gateway) gauges() []prometheus.Collector {
	return []prometheus.Collector{
		gauge("ready", "1 where the gateway can serve callers.", func() float64 { return one(g.Ready()) }),
		gauge("stopping", "1 while a planned stop is in progress.", func() float64 { return one(g.admission.Stopping()) }),
		gauge("peers_in_flight", "Requests of other gateways in progress.", func() float64 { return float64(g.peerActive.Load()) }),
		gauge("in_flight", "Requests of callers in progress.", func() float64 { return float64(g.active.Load()) }),
		gauge("slots", "Slots of the back end beside the gateway.", func() float64 { return float64(g.slots.load().slots) }),
		gauge("slots_used", "Slots in use.", func() float64 { return float64(g.slots.load().running) }),
		gauge("queue_length", "Requests that wait for a slot.", func() float64 { return float64(g.slots.load().waiting) }),
		gauge("held_bytes", "Bodies of requests and answers that are kept until they are sent.", func() float64 { return float64(g.held.held.Load()) }),
		gauge("configuration_version", "Version of the configuration in force.", func() float64 { return float64(g.views.load().version()) }),
		gauge("configuration_age_seconds", "Time since the configuration in force was taken.", func() float64 { return g.views.load().age(steady.Reading()).Seconds() }),
		gauge("instances_ready", "Ready back ends that the gateway knows.", func() float64 { return float64(g.views.load().count(fleetwire.InstanceReady)) }),
		gauge("session_silence_seconds", "Time since the leading controller was heard.", func() float64 { return g.session.silence(steady.Reading()).Seconds() }),
		gauge("configuration_lease_seconds", "Time left for which the gateway may serve by its configuration; negative where it refuses.", func() float64 { return g.session.vouched.left(steady.Reading()).Seconds() }),
		gauge("lease_seconds", "Time left of the lease on the back end's keys; negative where it has run out.", func() float64 { return g.keys.leaseLeft(steady.Reading()).Seconds() }),
		gauge("suspects", "Requests under which back ends have ended and which run only on trial.", func() float64 { return float64(len(g.views.load().suspects)) }),
		gauge("ranges_held", "Ranges of keys that the back end may hold.", func() float64 { return float64(g.keys.rangesHeld()) }),
	}
}

// one is a truth as a gauge tells it.
func one(truth bool) float64 {
	if truth {
		return 1
	}
	return 0
}
