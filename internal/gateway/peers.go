package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/warmup"
)

const (
	peerConnections = 256
	peerIdle        = 20 * time.Second
	peerDial        = 300 * time.Millisecond
	// firstPenalty is how long a gateway that failed is avoided, doubled with
	// each failure in a row up to longestPenalty.
	firstPenalty   = 200 * time.Millisecond
	longestPenalty = 3200 * time.Millisecond
	// loadFresh is how long a reported load counts.
	loadFresh = 2 * time.Second
)

// peerLoad is what a gateway says of the back end beside it.
type peerLoad struct {
	running, waiting, slots int
	// serviceTime is how long a request uses a slot, on average, and
	// shortService a short one.
	serviceTime  time.Duration
	shortService time.Duration
	// shortUpTo is the longest target of a short request.
	shortUpTo time.Duration
	// linkBacklog is how long the link of its machine takes for what waits there.
	linkBacklog time.Duration
	// bears is how many requests a second the back end bears while it is cold; zero
	// is unbounded.
	bears float64
}

// service returns the service time of requests with a target.
func (l *peerLoad) service(target time.Duration) time.Duration {
	if target <= l.shortUpTo {
		return l.shortService
	}
	return l.serviceTime
}

// expected estimates how long a request takes, in seconds, where a number of
// requests are there.
func (l *peerLoad) expected(busy int, target time.Duration) float64 {
	slots := l.slots
	if slots == 0 {
		slots = unknownSlots
	}
	utilization := float64(busy+1) / float64(slots)
	seconds := l.service(target).Seconds() * (1 + crowding*max(0, utilization-crowdedFrom))
	if l.bears > 0 {
		seconds += float64(l.waiting) / l.bears
	}
	return seconds
}

// peer is another gateway as this one sees it.
type peer struct {
	pool *upstream.Pool

	mutex sync.Mutex
	// pending requests were sent there and have no answer yet; pendingThen is
	// how many there were when load was reported.
	pending     int
	pendingThen int
	load        peerLoad
	loadAt      time.Time
	failures    int
	avoidUntil  time.Time
	// share is what this gateway sends it of what it bears while it is cold.
	share warmup.Share
}

// peerSet holds the gateways that this one has sent requests to, by address.
type peerSet struct {
	mutex sync.Mutex
	byURL map[string]*peer
}

func newPeerSet() *peerSet { return &peerSet{byURL: map[string]*peer{}} }

// get returns the peer at an address.
func (s *peerSet) get(address string) *peer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found, ok := s.byURL[address]
	if ok {
		return found
	}
	pool, err := upstream.New(upstream.Config{
		Address: address, MaxConnections: peerConnections, MinWarm: -1,
		DialTimeout: peerDial, IdleTimeout: peerIdle,
	})
	if err != nil {
		pool = nil
	}
	found = &peer{pool: pool}
	s.byURL[address] = found
	return found
}

// follow closes the connections to addresses that a view does not name, and the
// idle ones to gateways that are being stopped: a request on one of them could
// cross its close and end without an answer.
func (s *peerSet) follow(v *view) {
	named := make(map[string]bool, len(v.byID))
	leaving := make(map[string]bool)
	for _, instance := range v.byID {
		named[instance.Address] = true
		leaving[instance.Address] = leaving[instance.Address] || instance.Leaving
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, known := range s.byURL {
		switch {
		case !named[address]:
			if known.pool != nil {
				known.pool.Close()
			}
			delete(s.byURL, address)
		case leaving[address] && known.pool != nil:
			known.pool.CloseIdle()
		}
	}
}

// linkBacklog is how long a large answer of the peer waits for its link, by what it
// told last.
func (p *peer) linkBacklog(now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return max(p.load.linkBacklog-now.Sub(p.loadAt), 0)
}

// expected estimates how long a request takes at the peer, in seconds; avoided
// says that it failed a moment ago. What was heard long ago counts less and
// less, so that a back end that was slow is tried again.
func (p *peer) expected(target time.Duration, now time.Time) (seconds float64, avoided bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	load := p.load
	if load.slots == 0 {
		load.serviceTime, load.shortService = overload.InitialServiceTime, overload.InitialServiceTime
	}
	busy := p.pending
	age := now.Sub(p.loadAt)
	if age < loadFresh {
		busy = max(load.running+load.waiting+p.pending-p.pendingThen, p.pending)
	}
	seconds = load.expected(busy, target)
	if age > loadFresh/2 {
		seconds *= float64(loadFresh) / (float64(loadFresh) + float64(age)) // of one that was never heard, age is the longest there is
	}
	return seconds, now.Before(p.avoidUntil)
}

const (
	// unknownSlots stands for the slots of a back end that has told none.
	unknownSlots = 16
	// crowdedFrom is the utilization from which a back end is expected to be
	// slower, and crowding by how much for each whole utilization more.
	crowdedFrom = 0.5
	crowding    = 6
)

func (p *peer) begin() {
	p.mutex.Lock()
	p.pending++
	p.mutex.Unlock()
}

// end takes the result of a try.
func (p *peer) end(result *forwardResult, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pending--
	if result.Load.slots > 0 {
		p.load, p.loadAt, p.pendingThen = result.Load, now, p.pending
	}
	switch {
	case result.Outcome == outcomeAnswered && result.Status < http.StatusInternalServerError:
		p.failures = 0
	case result.Reason == reasonUnreachable || result.Reason == reasonBroken || result.Reason == reasonEnded || result.Reason == reasonTimeout:
		penalty := min(firstPenalty<<min(p.failures, 8), longestPenalty)
		p.failures++
		p.avoidUntil = now.Add(penalty)
	}
}

// send tries a request at the back end beside a peer.
func (p *peer) send(ctx context.Context, request *forwardRequest) *forwardResult {
	if p.pool == nil {
		return notRun(reasonUnreachable)
	}
	outgoing, err := encodeForward(request)
	if err != nil {
		return notRun(reasonBroken)
	}
	if request.Transfer {
		return p.sendTransfer(ctx, outgoing)
	}
	response, err := p.pool.Do(ctx, outgoing)
	if err != nil {
		return peerFailed(err)
	}
	return readResult(response)
}

// readResult takes a peer's word and the whole answer.
func readResult(response *http.Response) *forwardResult {
	defer response.Body.Close()
	body, err := readAnswer(response)
	if err != nil {
		return peerFailed(errors.Join(upstream.ErrInterrupted, err))
	}
	return decodeResult(response, body)
}

// peerFailed classifies a try without a result. The back end may have been sent
// the request.
func peerFailed(err error) *forwardResult {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return notRun(reasonUnreachable)
	case errors.Is(err, context.DeadlineExceeded):
		return &forwardResult{Outcome: outcomeUnknown, Reason: reasonTimeout, Sent: true}
	}
	return &forwardResult{Outcome: outcomeUnknown, Reason: reasonBroken, Sent: true}
}

// encodeForward writes a try as a request to a peer.
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

// decodeResult reads a peer's word.
func decodeResult(response *http.Response, body []byte) *forwardResult {
	header := response.Header
	result := &forwardResult{
		Outcome: outcome(header.Get(fieldOutcome)),
		Reason:  reason(header.Get(fieldReason)),
		Sent:    header.Get(fieldSent) != "",
	}
	if !result.Reason.known() {
		result.Reason = reasonBroken
	}
	if told := header.Values(fieldLoad); len(told) == 1 {
		result.Load, result.loadRead = parseLoad(told[0])
	}
	result.RetryAfter, _ = parseMilliseconds(header.Get(fieldRetryAfter))
	if atWork, err := strconv.Atoi(header.Get(fieldAtWork)); err == nil {
		result.AtWork = atWork
	}
	switch result.Outcome {
	case outcomeAnswered:
		result.Status, result.Body, result.Header = response.StatusCode, body, forwardable(header)
	case outcomeNotRun, outcomeUnknown:
	default: // no gateway's answer
		return &forwardResult{Outcome: outcomeUnknown, Reason: reasonBroken, Sent: true}
	}
	return result
}
