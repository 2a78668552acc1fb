package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/transport"
)

const (
	// reportInterval is how often a gateway reports if nothing changes. keyedReportInterval
	// applies while its back end holds keys, since their load may shift.
	reportInterval      = 500 * time.Millisecond
	keyedReportInterval = 200 * time.Millisecond
	// sessionIdleTimeout is how long a session may receive nothing before it is closed.
	sessionIdleTimeout = 1600 * time.Millisecond
	sessionDialTimeout = 500 * time.Millisecond
	// sessionRetryDelay is the pause after all known controllers have been dialed.
	sessionRetryDelay = 100 * time.Millisecond
	// After a leader fails, the gateways reopen their sessions spread over reconnectDelayPerGateway
	// for each gateway of the fleet: a session costs the next leader about 0.5 ms of a full
	// core, and the users' machines have a quarter of one. maxReconnectDelay keeps the spread
	// well within a lease (keylease.DefaultLeaseDuration).
	reconnectDelayPerGateway = 3 * time.Millisecond
	maxReconnectDelay        = 1500 * time.Millisecond
	// firstMessageBase is how long a controller may take to respond when a session is opened,
	// plus reconnectDelayPerGateway for each gateway that may connect at the same time. It
	// covers several round trips between zones. A controller that hangs does not respond at
	// all.
	firstMessageBase = 400 * time.Millisecond
	// maxRedirects bounds the redirects followed from one address of the list.
	maxRedirects = 4
)

// sessionClient maintains the session with the leading controller.
type sessionClient struct {
	gateway *Gateway
	boot    uint64
	started time.Time
	// controllers is used only by the goroutine that maintains the session.
	controllers    controllerList
	reportRequests chan struct{}
	// confirmRequests requests a confirmation of the configuration in force.
	confirmRequests chan struct{}
	// receivedView reports whether the last session delivered a view.
	receivedView bool
	// lastLeaderMessageAt is when the last message of the leader arrived, in nanoseconds since
	// started.
	lastLeaderMessageAt atomic.Int64
	configurationLease  configurationLease
	// logStates and extendedByMajority are used only by the goroutine that maintains the
	// session. extendedByMajority is set once a majority of the controllers has extended the
	// configuration lease since a leader last delivered a view.
	logStates          configlease.LogStates
	extendedByMajority bool
}

func newSessionClient(g *Gateway) *sessionClient {
	return &sessionClient{
		gateway:         g,
		boot:            rand.Uint64(),
		started:         steady.Reading(),
		controllers:     newControllerList(g.config.Controllers),
		reportRequests:  make(chan struct{}, 1),
		confirmRequests: make(chan struct{}, 1),
	}
}

// receivedResponse reports whether the leader has responded to a report of this process.
func (s *sessionClient) receivedResponse() bool { return s.configurationLease.grantedByLeader() }

// now reads the clock that timestamps in reports refer to.
func (s *sessionClient) now() time.Duration { return steady.Elapsed(s.started) }

// leaderSilence returns the time since the last message of the leader.
func (s *sessionClient) leaderSilence(now time.Time) time.Duration {
	return now.Sub(s.started) - time.Duration(s.lastLeaderMessageAt.Load())
}

// requestReport asks the session to send the state of this process immediately.
func (s *sessionClient) requestReport() { notify(s.reportRequests) }

// notify signals on a channel with a buffer of one. It does nothing if a signal is already
// pending.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// run maintains a session until the context is canceled.
func (s *sessionClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range s.controllers.dialOrder() {
			s.followRedirects(ctx, address)
			if ctx.Err() != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(sessionRetryDelay):
		}
	}
}

// followRedirects opens a session at an address and follows redirects from there.
func (s *sessionClient) followRedirects(ctx context.Context, address string) {
	for range maxRedirects {
		if !s.delayReconnect(ctx) {
			return
		}
		redirect := s.runSession(ctx, address)
		if redirect == nil {
			return
		}
		s.controllers.update(redirect.Controllers)
		if redirect.Leader == address || !s.controllers.mayFollow(redirect.Leader) {
			return
		}
		address = redirect.Leader
	}
}

// delayReconnect waits for a random time if the previous session delivered a view. When a leader
// fails, all gateways connect to the next one, and the load must not delay its heartbeats. It
// reports whether the context is still active.
func (s *sessionClient) delayReconnect(ctx context.Context) bool {
	if !s.receivedView {
		return ctx.Err() == nil
	}
	s.receivedView = false
	maxDelay := min(maxReconnectDelay, time.Duration(len(s.gateway.views.load().byID))*reconnectDelayPerGateway)
	return sleep(ctx, time.Duration(rand.Float64()*float64(maxDelay)))
}

// runSession runs one session until it ends. It returns the redirect that the controller sent,
// if any.
func (s *sessionClient) runSession(ctx context.Context, address string) *fleetwire.Redirect {
	redirect, err := s.exchangeMessages(ctx, address)
	if failure := (net.Error)(nil); errors.As(err, &failure) && failure.Timeout() {
		s.controllers.markSilent(address)
	}
	if s.receivedView || err != nil && ctx.Err() == nil {
		s.gateway.config.Log.Info("session ended", "controller", address, "served", s.receivedView, "redirected", redirect != nil, "error", err)
	}
	return redirect
}

// exchangeMessages runs one session. It returns the redirect that the controller sent, or the
// error that closed the session.
func (s *sessionClient) exchangeMessages(ctx context.Context, address string) (*fleetwire.Redirect, error) {
	dialContext, cancelDial := context.WithTimeout(ctx, sessionDialTimeout)
	conn, err := transport.Dial(dialContext, address, transport.Options{WriteTimeout: time.Second, IdleTimeout: s.firstMessageTimeout()})
	cancelDial()
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	known := s.gateway.views.load()
	hello := &fleetwire.Hello{
		Node: s.gateway.config.Name, Boot: s.boot,
		Version: known.version(), OwnersIndex: known.ownersIndex, OwnersDigest: known.owners.Digest(),
	}
	s.gateway.quotas.beginSession()
	requestedAt := s.now()
	if err := conn.Send(fleetwire.ToController{Hello: hello}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	go s.sendReports(ctx, conn)
	for {
		var message fleetwire.FromController
		if err := conn.Receive(&message); err != nil {
			return nil, err
		}
		s.controllers.markResponsive(address)
		conn.SetIdleTimeout(sessionIdleTimeout)
		if message.Redirect != nil {
			s.recordLogState(message.Redirect.Standing, requestedAt)
			return message.Redirect, nil
		}
		silence := s.leaderSilence(steady.Reading())
		s.lastLeaderMessageAt.Store(int64(s.now()))
		hadView := s.receivedView
		if err := s.take(&message); err != nil {
			return nil, err
		}
		if s.receivedView && !hadView {
			s.gateway.config.Log.Info("session serves", "controller", address, "silence_ms", silence.Milliseconds())
		}
	}
}

// firstMessageTimeout returns how long this gateway waits for the first message of a
// controller.
func (s *sessionClient) firstMessageTimeout() time.Duration {
	return firstMessageTimeout(len(s.gateway.views.load().byID))
}

// firstMessageTimeout returns how long a gateway waits for the first message of a controller
// in a fleet with this many gateways.
func firstMessageTimeout(gateways int) time.Duration {
	return min(sessionIdleTimeout, firstMessageBase+time.Duration(gateways)*reconnectDelayPerGateway)
}

// take applies a message from a controller.
func (s *sessionClient) take(message *fleetwire.FromController) error {
	g := s.gateway
	if message.Known != nil {
		g.config.Log.Info("leader knows the back end", "instance", message.Known.ID, "state", int(message.Known.State), "sequence", message.Known.Sequence)
		g.registry.restore(*message.Known, g.config.DrainWithin, steady.Reading())
	}
	if message.Departures != nil {
		g.takeDepartures(message.Departures)
	}
	if message.View != nil {
		if err := s.applyView(message.View); err != nil {
			return err
		}
	}
	if message.ReportNow {
		s.requestReport()
	}
	if message.Lease != nil {
		firstLease := !s.receivedResponse()
		// The lease must be extended last, since it covers the view that was applied above.
		s.configurationLease.take(message.Lease, s.started)
		g.keys.applyLease(message.Lease, s.started)
		g.quotas.apply(message.Lease.Quota, message.Lease.SentAt)
		g.quarantine.confirm(message.Lease.EndsKnown)
		if firstLease {
			g.registry.retryCandidate(steady.Reading())
		}
	}
	return nil
}

func (s *sessionClient) applyView(update *fleetwire.View) error {
	g := s.gateway
	if err := update.Unpack(); err != nil {
		return err
	}
	oldVersion := g.views.load().version()
	if err := g.views.apply(update, s.configurationLease.currentAsOf()); err != nil {
		return err
	}
	s.receivedView, s.extendedByMajority = true, false
	s.controllers.update(update.Controllers)
	if newVersion := g.views.load().version(); newVersion != oldVersion {
		g.config.Log.Info("configuration in force", "version", uint64(newVersion))
		notify(s.confirmRequests)
	}
	if update.HasInstances && mayEndConnections(update.Instances) {
		g.peers.pruneConnections(g.views.load())
	}
	return nil
}

// sendReports sends reports at intervals and when something changes.
func (s *sessionClient) sendReports(ctx context.Context, conn *transport.Conn) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		report := s.buildReport()
		if conn.Send(fleetwire.ToController{Report: report}) != nil {
			_ = conn.Close()
			return
		}
		interval := reportInterval
		if len(report.Load) > 0 {
			interval = keyedReportInterval
		}
		timer.Reset(interval)
		if !s.awaitNextReport(ctx, conn, timer.C) {
			return
		}
	}
}

// awaitNextReport blocks until the next report is due. It returns false if the session is over.
// While it waits it sends the confirmations that a pending operator request needs. All gateways
// confirm at the same moment, and a separate confirmation costs the leader a fraction of a
// report and its response.
func (s *sessionClient) awaitNextReport(ctx context.Context, conn *transport.Conn, due <-chan time.Time) (ok bool) {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case <-s.reportRequests:
			return true
		case <-s.confirmRequests:
		}
		confirmed := &fleetwire.Confirmed{Boot: s.boot, Version: s.gateway.views.load().version()}
		if conn.Send(fleetwire.ToController{Confirmed: confirmed}) != nil {
			_ = conn.Close()
			return false
		}
	}
}

func (s *sessionClient) buildReport() *fleetwire.Report {
	g := s.gateway
	v := g.views.load()
	report := &fleetwire.Report{SentAt: s.now(), Boot: s.boot, Version: v.version()}
	report.Quota = g.quotas.report(report.SentAt)
	report.Departing = g.departures.pending()
	report.Quarantine = g.quarantine.report(v, g.config.Name, s.boot)
	if instance := g.registry.snapshot(); instance.ID != "" {
		report.Instance = &instance
		report.Silent = g.registry.silent()
		report.Released = g.keys.reportReleases(report.SentAt)
		report.EarlierOver = g.keys.earlierExpired(instance.ID, steady.Reading())
		g.keyLoad.moveTo(report)
		report.Running, report.Waiting = g.slots.counts()
		report.LimitedSlots = g.slots.limitedSlots()
	}
	return report
}
