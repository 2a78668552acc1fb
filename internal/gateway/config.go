package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// HeaderNames are the names of the fields between callers, gateways and back
// ends, in canonical form.
type HeaderNames struct {
	// RequestID names one attempt of a caller, Deadline how many milliseconds
	// it waits.
	RequestID, Deadline string
	// Seal is on every whole answer of a back end.
	Seal string
	// TargetInstance is the only instance that may run a request.
	TargetInstance string
	// NotExecuted proves that a back end did not run a request.
	NotExecuted string
	// CallerService is the service beside which a request began.
	CallerService string
	// Key is the key of a request to a keyed service.
	Key string
	// WarmupLeft, of an answer about health, is how much longer the back end is cold,
	// in milliseconds, and InstanceID its instance.
	WarmupLeft, InstanceID string
}

// GrantOrder gives keys to a back end.
type GrantOrder struct {
	// Instance is the life that may take them.
	Instance string
	Keys     keyspace.Range
	Fence    keyspace.Fence
	Hold     time.Duration
	Handover string
	// PreparedAt is the steady.Reading at which it was worked out; zero is never late.
	PreparedAt time.Time
}

// Late reports whether an order must not leave any more: its time was worked out so long ago
// that it may outlast the lease that covers it.
func (o *GrantOrder) Late() bool {
	return !o.PreparedAt.IsZero() && steady.Elapsed(o.PreparedAt) > grantTimeout
}

// ReleaseOrder takes keys back from a back end.
type ReleaseOrder struct {
	// Instance is the life that is to give them up; no other one's answer counts.
	Instance string
	Keys     keyspace.Range
	Fence    keyspace.Fence
}

// Errors of a KeyHolder. After any other one an order may still lie unread before a back end
// that stands still.
var (
	// ErrConnectionEnded: an order was sent, and its connection ended without an answer.
	ErrConnectionEnded = errors.New("connection ended without an answer")
	// ErrNotSent: an order never left, as nothing accepted a connection.
	ErrNotSent = errors.New("order not sent")
	// ErrNotTaken: the back end has refused an order.
	ErrNotTaken = errors.New("order refused")
	// ErrOtherInstance: another one is at the back end's address and has refused an order.
	ErrOtherInstance = fmt.Errorf("another instance answers: %w", ErrNotTaken)
)

// KeyHolder is a back end that takes and gives up keys.
type KeyHolder interface {
	// Grant gives keys for a time, or renews them. ErrNotSent and ErrNotTaken say that
	// the back end does not hold them by this order; any other error leaves it open, and
	// ErrConnectionEnded says that it began to hold them before now if it did.
	Grant(ctx context.Context, order GrantOrder) error
	// Release takes keys back and returns, once the work on them has ended, what
	// is to be handed to the next owner.
	Release(ctx context.Context, order ReleaseOrder) (handover string, err error)
}

// RetryBudget bounds repeats of all gateways together.
type RetryBudget struct {
	// Ratio of repeats to requests of a service within Window, and Slack beside.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Config of a gateway. Zero durations take the defaults.
type Config struct {
	// Name of the process, and Zone where it runs.
	Name string
	Zone string
	// Service of the back end beside the gateway.
	Service string
	// CallerListen takes requests of callers and PeerListen those of other
	// gateways, "IP:port".
	CallerListen string
	PeerListen   string
	// Pipelining bounds what callers may send ahead. Which requests may run side by side
	// is said by their routes, whatever it says.
	Pipelining httpserver.Pipelining
	// BackendAddress is the back end beside the gateway, "IP:port".
	BackendAddress string
	// Controllers are session addresses of some controllers.
	Controllers []string
	Headers     HeaderNames
	// Keys speaks to the back end about its keys.
	Keys   KeyHolder
	Budget RetryBudget
	// LinkBytesPerSecond is what the machine's link sends; zero is unknown, and
	// answers are not paced.
	LinkBytesPerSecond float64
	// HeldBytes bounds the bodies of requests and answers that are kept for slow readers
	// and back ends; zero is no bound. Beyond it new requests are refused as not run.
	HeldBytes int64
	// DrainWithin is how long after its announcement a leaving back end may
	// still get requests.
	DrainWithin time.Duration
	// EvacuateWithin is how long after an order's acknowledgement the back ends of an
	// evacuated zone may still get requests.
	EvacuateWithin time.Duration
	// HeartbeatInterval is the longest time between two heartbeats of a back end that
	// is well.
	HeartbeatInterval time.Duration
	// KeyHold is for how long keys are granted at a time; they are renewed four times as
	// often. Callers wait for it, less a renewal, until keys of a back end that has ended
	// without a word find another owner.
	KeyHold time.Duration
	// AnswerHold is for how long the answer to a heartbeat is held back where there is
	// nothing new to tell of the back end's keys, and half of HeartbeatInterval at most. What
	// changes meanwhile is told at once. A back end waits for a second.
	AnswerHold time.Duration
	// LongestHold is the longest time for which the back end takes keys.
	LongestHold time.Duration
	// StopWithin bounds a planned stop.
	StopWithin time.Duration
	Log        *slog.Logger
	// Registry takes the metrics; nil shows them nowhere.
	Registry prometheus.Registerer
}

// Defaults of Config.
const (
	DefaultDrainWithin       = 2 * time.Second
	DefaultEvacuateWithin    = 5 * time.Second
	DefaultHeartbeatInterval = 1300 * time.Millisecond
	DefaultKeyHold           = 1500 * time.Millisecond
	DefaultAnswerHold        = 400 * time.Millisecond
	DefaultLongestHold       = 10 * time.Second
	DefaultStopWithin        = 5500 * time.Millisecond
	DefaultWindow            = 10 * time.Second
)

// shortestKeyHold is the least KeyHold: renewals are sent each keysInterval at most, and one
// may take grantTimeout.
const shortestKeyHold = grantTimeout + renewals*keysInterval/2

// longestAnswerHold is the most AnswerHold: half of the time for which a back end waits for
// an answer.
const longestAnswerHold = 500 * time.Millisecond

// check refuses settings that no gateway can keep.
func (c *Config) check() error {
	if c.KeyHold < shortestKeyHold {
		return fmt.Errorf("KeyHold is %v, and %v at the least", c.KeyHold, shortestKeyHold)
	}
	if c.AnswerHold < 0 || c.AnswerHold > longestAnswerHold {
		return fmt.Errorf("AnswerHold is %v, and must lie between 0 and %v", c.AnswerHold, longestAnswerHold)
	}
	return nil
}

func (c Config) withDefaults() Config {
	c.DrainWithin = cmp.Or(c.DrainWithin, DefaultDrainWithin)
	c.EvacuateWithin = cmp.Or(c.EvacuateWithin, DefaultEvacuateWithin)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.KeyHold = cmp.Or(c.KeyHold, DefaultKeyHold)
	c.AnswerHold = cmp.Or(c.AnswerHold, DefaultAnswerHold)
	c.LongestHold = cmp.Or(c.LongestHold, DefaultLongestHold)
	c.StopWithin = cmp.Or(c.StopWithin, DefaultStopWithin)
	c.Budget.Window = cmp.Or(c.Budget.Window, DefaultWindow)
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}
