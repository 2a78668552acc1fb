package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/ratelimit"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/warmup"
)

const (
	peerConnections = 256
	peerIdleTimeout = 20 * time.Second
	peerDialTimeout = 300 * time.Millisecond
	// initialPenalty is how long a gateway is avoided after a failure. It doubles with each
	// consecutive failure up to maxPenalty.
	initialPenalty = 200 * time.Millisecond
	maxPenalty     = 3200 * time.Millisecond
	// loadMaxAge is how long a reported load is used.
	loadMaxAge = 2 * time.Second
)

// peerLoad is the load that a gateway reports of its local back end.
type peerLoad struct {
	running, waiting, slots int
	// serviceTime is the average time that a request occupies a slot, and shortServiceTime that of
	// short requests.
	serviceTime      time.Duration
	shortServiceTime time.Duration
	// shortMaxTarget is the largest latency target of a request that counts as short.
	shortMaxTarget time.Duration
	// linkBacklog is the time that the link of its machine needs for the data queued there.
	linkBacklog time.Duration
	// maxRate is the number of requests a second that the back end can take, because it is cold or
	// states a limit; zero means no limit.
	maxRate float64
	// admitsAfter is the time until the back end's rate limit allows another request.
	admitsAfter time.Duration
}

// serviceTimeFor returns the average time that a request with this latency target occupies a slot.
func (l *peerLoad) serviceTimeFor(target time.Duration) time.Duration {
	if target <= l.shortMaxTarget {
		return l.shortServiceTime
	}
	return l.serviceTime
}

// expectedSeconds estimates the duration of a request, in seconds, if busy requests are already
// there.
func (l *peerLoad) expectedSeconds(busy int, target time.Duration) float64 {
	slots := l.slots
	if slots == 0 {
		slots = assumedSlots
	}
	utilization := float64(busy+1) / float64(slots)
	seconds := l.serviceTimeFor(target).Seconds() * (1 + congestionFactor*max(0, utilization-congestionThreshold))
	if l.maxRate > 0 {
		seconds += float64(l.waiting) / l.maxRate
	}
	return seconds
}

// peer is another gateway as seen by this one.
type peer struct {
	pool *upstream.Pool

	mutex sync.Mutex
	// pending is the number of requests that were sent there and have no response yet.
	// pendingAtReport is its value when load was reported.
	pending         int
	pendingAtReport int
	load            peerLoad
	loadReportedAt  time.Time
	failures        int
	avoidUntil      time.Time
	// coldShare limits what this gateway sends to the back end while it is cold, as its part of
	// the rate that the back end can take.
	coldShare warmup.Share
}

// peerSet holds the gateways that this one has sent requests to, by address.
type peerSet struct {
	mutex     sync.Mutex
	byAddress map[string]*peer
}

func newPeerSet() *peerSet { return &peerSet{byAddress: map[string]*peer{}} }

// get returns the peer at an address.
func (s *peerSet) get(address string) *peer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry, ok := s.byAddress[address]
	if ok {
		return entry
	}
	pool, err := upstream.New(upstream.Config{
		Address: address, MaxConnections: peerConnections, MinWarm: -1,
		DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout,
	})
	if err != nil {
		pool = nil
	}
	entry = &peer{pool: pool}
	s.byAddress[address] = entry
	return entry
}

// mayEndConnections reports whether changes of instances may concern open connections:
// instances were removed, or their gateways are stopping.
func mayEndConnections(all []*fleetwire.InstanceChanges) bool {
	return slices.ContainsFunc(all, func(changes *fleetwire.InstanceChanges) bool {
		return changes.Snapshot || len(changes.Gone) > 0 || slices.ContainsFunc(changes.Changed, func(instance fleetwire.Instance) bool { return instance.Leaving })
	})
}

// pruneConnections closes the connections to addresses that a view does not list, and the idle
// connections to gateways that are stopping: a request sent while such a gateway closes the
// connection would fail without a response.
func (s *peerSet) pruneConnections(v *view) {
	listed := make(map[string]bool, len(v.byID))
	stopping := make(map[string]bool)
	for _, instance := range v.byID {
		listed[instance.Address] = true
		stopping[instance.Address] = stopping[instance.Address] || instance.Leaving
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, entry := range s.byAddress {
		switch {
		case !listed[address]:
			if entry.pool != nil {
				entry.pool.Close()
			}
			delete(s.byAddress, address)
		case stopping[address] && entry.pool != nil:
			entry.pool.CloseIdle()
		}
	}
}

// expect returns what is known of the time that a request takes at the peer. The estimate decreases
// once the last report is older than half of reliance, so that a back end that was slow gets
// requests again.
func (p *peer) expect(target, reliance time.Duration, now time.Time) expectation {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	load := p.load
	if load.slots == 0 {
		load.serviceTime, load.shortServiceTime = time.Second, time.Second
	}
	busy := p.pending
	age := now.Sub(p.loadReportedAt)
	recent := age < loadMaxAge
	if recent {
		busy = max(load.running+load.waiting+p.pending-p.pendingAtReport, p.pending)
	}
	seconds := load.expectedSeconds(busy, target)
	measured := load.slots > 0
	if measured && age > reliance/2 {
		seconds *= float64(reliance) / float64(reliance+age)
	}
	return expectation{
		seconds:        seconds,
		serviceSeconds: load.serviceTimeFor(target).Seconds(),
		measured:       measured,
		recent:         recent,
		avoided:        now.Before(p.avoidUntil),
		linkBacklog:    max(load.linkBacklog-age, 0),
		limitWait:      max(load.admitsAfter-age, 0),
	}
}

const (
	// assumedSlots is used for a back end that has not reported its slots.
	assumedSlots = 16
	// congestionThreshold is the utilization above which a back end is assumed to slow down,
	// and congestionFactor the relative slowdown per unit of utilization above it.
	congestionThreshold = 0.5
	congestionFactor    = 6
)

func (p *peer) beginAttempt() {
	p.mutex.Lock()
	p.pending++
	p.mutex.Unlock()
}

// endAttempt records the result of a finished attempt.
func (p *peer) endAttempt(result *forwardResult, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pending--
	if result.Load.slots > 0 {
		p.load, p.loadReportedAt, p.pendingAtReport = result.Load, now, p.pending
	}
	switch {
	case result.Outcome == outcomeAnswered && result.Status < http.StatusInternalServerError:
		p.failures = 0
	case result.Reason == reasonUnreachable || result.Reason == reasonInterrupted || result.Reason == reasonBackendCrashed || result.Reason == reasonTimeout:
		penalty := min(initialPenalty<<min(p.failures, 8), maxPenalty)
		p.failures++
		p.avoidUntil = now.Add(penalty)
	}
}

// send forwards an attempt to a peer, for its local back end.
func (p *peer) send(ctx context.Context, request *forwardRequest) *forwardResult {
	if p.pool == nil {
		return notRun(reasonUnreachable)
	}
	outgoing, err := encodeForward(request)
	if err != nil {
		return notRun(reasonInterrupted)
	}
	if request.Transfer {
		return p.sendTransfer(ctx, outgoing)
	}
	response, err := p.pool.Do(ctx, outgoing)
	if err != nil {
		return failedAttempt(err)
	}
	return readResult(response)
}

// readResult reads the complete response of a peer.
func readResult(response *http.Response) *forwardResult {
	defer response.Body.Close()
	body, err := readResponseBody(response)
	if err != nil {
		return failedAttempt(errors.Join(upstream.ErrInterrupted, err))
	}
	return decodeResult(response, body)
}

// failedAttempt classifies an attempt without a result. The request may have reached the back
// end.
func failedAttempt(err error) *forwardResult {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return notRun(reasonUnreachable)
	case errors.Is(err, context.DeadlineExceeded):
		return &forwardResult{Outcome: outcomeUnknown, Reason: reasonTimeout, Sent: true}
	}
	return &forwardResult{Outcome: outcomeUnknown, Reason: reasonInterrupted, Sent: true}
}

// encodeForward encodes an attempt as a request to a peer.
func encodeForward(request *forwardRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	header := request.Header
	header[fieldService] = []string{request.Service}
	header[fieldInstance] = []string{request.Instance}
	header[fieldPriority] = []string{strconv.Itoa(request.Priority)}
	header[fieldDue] = []string{milliseconds(max(steady.Until(request.Due), 0))}
	header[fieldTarget] = []string{milliseconds(request.Target)}
	if request.Transfer {
		header[fieldTransfer] = []string{"1"}
	}
	if request.Limit.Limited {
		header[fieldLimit] = []string{ratelimit.Format(request.Limit.PerSecond)}
	}
	if request.Trial != 0 {
		header[fieldTrial] = []string{strconv.FormatUint(request.Trial, 10)}
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	outgoing := &http.Request{Method: request.Method, URL: target, Host: request.Host, Header: header, ContentLength: int64(len(request.Body))}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return outgoing, nil
}

// decodeResult decodes the response of a peer.
func decodeResult(response *http.Response, body []byte) *forwardResult {
	header := response.Header
	result := &forwardResult{
		Outcome: outcome(header.Get(fieldOutcome)),
		Reason:  reason(header.Get(fieldReason)),
		Sent:    header.Get(fieldSent) != "",
	}
	if !result.Reason.known() {
		result.Reason = reasonInterrupted
	}
	if reported := header.Values(fieldLoad); len(reported) == 1 {
		result.Load, result.loadRead = parseLoad(reported[0])
	}
	result.RetryAfter, _ = parseMilliseconds(header.Get(fieldRetryAfter))
	result.Load.admitsAfter, _ = parseMilliseconds(header.Get(fieldAdmitsAfter))
	if inProgress, err := strconv.Atoi(header.Get(fieldRequestsRunning)); err == nil {
		result.RequestsRunning = inProgress
	}
	switch result.Outcome {
	case outcomeAnswered:
		result.Status, result.Body, result.Header = response.StatusCode, body, forwardable(header)
	case outcomeNotRun, outcomeUnknown:
	default: // not a response of a gateway
		return &forwardResult{Outcome: outcomeUnknown, Reason: reasonInterrupted, Sent: true}
	}
	return result
}
