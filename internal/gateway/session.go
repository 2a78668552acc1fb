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
	// reportInterval is how often a gateway reports when nothing changes, and
	// keyedInterval where its back end holds keys, whose load may shift.
	reportInterval = 500 * time.Millisecond
	keyedInterval  = 200 * time.Millisecond
	// sessionSilence is when a session that hears nothing is given up.
	sessionSilence = 1600 * time.Millisecond
	sessionDial    = 500 * time.Millisecond
	// sessionRetry is the pause after all known controllers were tried.
	sessionRetry = 100 * time.Millisecond
	// spreadPerGateway is for each gateway of the fleet the time over which all open
	// their sessions after a leader's end: a session costs the next leader about 0.5
	// ms of a whole core, of which the users' machines have a quarter. longestSpread
	// bounds it well within a lease (keylease.DefaultLeaseDuration).
	spreadPerGateway = 3 * time.Millisecond
	longestSpread    = 1500 * time.Millisecond
	// greetingBase is how long a controller may take to answer the opening of a session,
	// beside spreadPerGateway for each gateway that may come at the same time. It is
	// several round trips between zones; one that stands still says nothing at all.
	greetingBase = 400 * time.Millisecond
	// maxRedirects bounds how often one search follows a redirect.
	maxRedirects = 4
)

// sessionClient keeps a session with the leading controller.
type sessionClient struct {
	gateway *Gateway
	boot    uint64
	started time.Time
	// controllers belong to the goroutine that keeps the session.
	controllers controllerList
	wake        chan struct{}
	// confirm asks for a word of the configuration that is in force.
	confirm chan struct{}
	// served says that the last session brought a view.
	served bool
	// heardAt is when the leader was last heard, in nanoseconds since started.
	heardAt atomic.Int64
	vouched vouched
	// standings belong to the goroutine that keeps the session, and so does byMajority: a
	// majority of them has vouched since a leader last served.
	standings  configlease.Standings
	byMajority bool
}

func newSessionClient(g *Gateway) *sessionClient {
	return &sessionClient{
		gateway:     g,
		boot:        rand.Uint64(),
		started:     steady.Reading(),
		controllers: newControllerList(g.config.Controllers),
		wake:        make(chan struct{}, 1),
		confirm:     make(chan struct{}, 1),
	}
}

// answered reports whether the leader has answered a report of this process.
func (s *sessionClient) answered() bool { return s.vouched.heardLeader() }

// now is the clock that reports carry.
func (s *sessionClient) now() time.Duration { return steady.Elapsed(s.started) }

// silence is how long the leader has not been heard.
func (s *sessionClient) silence(now time.Time) time.Duration {
	return now.Sub(s.started) - time.Duration(s.heardAt.Load())
}

// report asks for a report at once.
func (s *sessionClient) report() { wakeUp(s.wake) }

// wakeUp wakes who waits at a channel with room for one.
func wakeUp(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}

// run keeps a session until the context ends.
func (s *sessionClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range s.controllers.order() {
			s.follow(ctx, address)
			if ctx.Err() != nil {
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(sessionRetry):
		}
	}
}

// follow opens a session at an address and goes on where it is redirected.
func (s *sessionClient) follow(ctx context.Context, address string) {
	for range maxRedirects {
		if !s.spread(ctx) {
			return
		}
		redirect := s.hold(ctx, address)
		if redirect == nil {
			return
		}
		s.controllers.learn(redirect.Controllers)
		if redirect.Leader == address || !s.controllers.follows(redirect.Leader) {
			return
		}
		address = redirect.Leader
	}
}

// spread waits before the next session after one that served: when a leader ends,
// all gateways come to the next one, which must not be late with its heartbeats for
// their sake. It reports whether the context still runs.
func (s *sessionClient) spread(ctx context.Context) bool {
	if !s.served {
		return ctx.Err() == nil
	}
	s.served = false
	longest := min(longestSpread, time.Duration(len(s.gateway.views.load().byID))*spreadPerGateway)
	return pauseFor(ctx, time.Duration(rand.Float64()*float64(longest)))
}

// hold runs one session to its end and returns where the controller sent the
// gateway, if it did.
func (s *sessionClient) hold(ctx context.Context, address string) *fleetwire.Redirect {
	redirect, err := s.converse(ctx, address)
	if failure := (net.Error)(nil); errors.As(err, &failure) && failure.Timeout() {
		s.controllers.fellSilent(address)
	}
	if s.served || err != nil && ctx.Err() == nil {
		s.gateway.config.Log.Info("session ended", "controller", address, "served", s.served, "redirected", redirect != nil, "error", err)
	}
	return redirect
}

// converse runs one session. It returns where the controller sent the gateway, or
// why it ended.
func (s *sessionClient) converse(ctx context.Context, address string) (*fleetwire.Redirect, error) {
	dialing, dialed := context.WithTimeout(ctx, sessionDial)
	conn, err := transport.Dial(dialing, address, transport.Options{WriteTimeout: time.Second, IdleTimeout: s.greetingLimit()})
	dialed()
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	has := s.gateway.views.load()
	hello := &fleetwire.Hello{
		Node: s.gateway.config.Name, Boot: s.boot,
		Version: has.version(), OwnersIndex: has.ownersIndex, OwnersDigest: has.owners.Digest(),
	}
	asked := s.now()
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
		s.controllers.heard(address)
		conn.SetIdleTimeout(sessionSilence)
		if message.Redirect != nil {
			s.takeStanding(message.Redirect.Standing, asked)
			return message.Redirect, nil
		}
		silence := s.silence(steady.Reading())
		s.heardAt.Store(int64(s.now()))
		servedBefore := s.served
		if err := s.take(&message); err != nil {
			return nil, err
		}
		if s.served && !servedBefore {
			s.gateway.config.Log.Info("session serves", "controller", address, "silence_ms", silence.Milliseconds())
		}
	}
}

// greetingLimit is how long this gateway waits for a controller's first word.
func (s *sessionClient) greetingLimit() time.Duration {
	return greetingLimit(len(s.gateway.views.load().byID))
}

// greetingLimit is how long one of a number of gateways waits for a controller's first
// word.
func greetingLimit(gateways int) time.Duration {
	return min(sessionSilence, greetingBase+time.Duration(gateways)*spreadPerGateway)
}

// take puts a controller's message in force.
func (s *sessionClient) take(message *fleetwire.FromController) error {
	g := s.gateway
	if message.Known != nil {
		g.registry.restore(*message.Known, g.config.DrainWithin, steady.Reading())
	}
	if message.View != nil {
		if err := s.takeView(message.View); err != nil {
			return err
		}
	}
	if message.ReportNow {
		s.report()
	}
	if message.Lease != nil {
		first := !s.answered()
		// Only now: the view above is what it vouches for.
		s.vouched.take(message.Lease, s.started)
		g.keys.take(message.Lease, s.started)
		g.quarantine.confirm(message.Lease.EndsKnown)
		if first {
			g.registry.retry(steady.Reading())
		}
	}
	return nil
}

func (s *sessionClient) takeView(news *fleetwire.View) error {
	g := s.gateway
	if err := news.Unpack(); err != nil {
		return err
	}
	before := g.views.load().version()
	if err := g.views.advance(news, s.vouched.since()); err != nil {
		return err
	}
	s.served, s.byMajority = true, false
	s.controllers.learn(news.Controllers)
	if after := g.views.load().version(); after != before {
		g.config.Log.Info("configuration in force", "version", uint64(after))
		wakeUp(s.confirm)
	}
	if news.HasInstances {
		g.peers.follow(g.views.load())
	}
	return nil
}

// sendReports reports at intervals and on changes.
func (s *sessionClient) sendReports(ctx context.Context, conn *transport.Conn) {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		report := s.build()
		if conn.Send(fleetwire.ToController{Report: report}) != nil {
			_ = conn.Close()
			return
		}
		interval := reportInterval
		if len(report.Load) > 0 {
			interval = keyedInterval
		}
		timer.Reset(interval)
		if !s.awaitReport(ctx, conn, timer.C) {
			return
		}
	}
}

// awaitReport returns when the next report is due, and whether the session goes on. What
// an operator waits for is confirmed meanwhile: a word of its own costs the leader, which
// hears all gateways at the same moment then, a fraction of a report and its answer.
func (s *sessionClient) awaitReport(ctx context.Context, conn *transport.Conn, due <-chan time.Time) (goesOn bool) {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-due:
			return true
		case <-s.wake:
			return true
		case <-s.confirm:
		}
		confirmed := &fleetwire.Confirmed{Boot: s.boot, Version: s.gateway.views.load().version()}
		if conn.Send(fleetwire.ToController{Confirmed: confirmed}) != nil {
			_ = conn.Close()
			return false
		}
	}
}

func (s *sessionClient) build() *fleetwire.Report {
	g := s.gateway
	v := g.views.load()
	report := &fleetwire.Report{SentAt: s.now(), Boot: s.boot, Version: v.version()}
	report.Quarantine = g.quarantine.report(v, g.config.Name, s.boot)
	if instance := g.registry.snapshot(); instance.ID != "" {
		report.Instance = &instance
		report.Silent = g.registry.silent()
		report.Released = g.keys.promises(report.SentAt)
		report.EarlierOver = g.keys.earlierOver(instance.ID, steady.Reading())
		g.keyLoad.take(report)
		report.Running, report.Waiting = g.slots.counts()
	}
	return report
}
