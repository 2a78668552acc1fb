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
	"github.com/quartzdock/quartzdock/internal/quota"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// HeaderNames are the names of the header fields between callers, gateways and back ends, in
// canonical form.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller. Deadline is the time that the caller still
	// waits, in milliseconds.
	RequestID, Deadline string
	// Seal is present on every complete response of a back end.
	Seal string
	// TargetInstance is the only instance that may run the request.
	TargetInstance string
	// NotExecuted proves that the back end did not run the request.
	NotExecuted string
	// CallerService is the service of the back end whose gateway accepted the request.
	CallerService string
	// Key is the key of a request to a keyed service.
	Key string
	// APIKey authenticates a caller's tenant, and Tenant gives a back end the tenant's name.
	APIKey, Tenant string
	// WarmUpLeft is on responses to health checks: the time that the back end remains cold, in
	// milliseconds. InstanceID is the instance that responds.
	WarmUpLeft, InstanceID string
	// RateLimit is on responses of a back end that limits the requests that it gets, from all
	// gateways together: their number per second.
	RateLimit string
	// Leaving is on responses of a back end that is about to stop; its value is then "1".
	Leaving string
}

// GrantOrder grants keys to a back end.
type GrantOrder struct {
	// Instance is the only incarnation that may accept the order.
	Instance string
	Keys     keyspace.Range
	Fence    keyspace.Fence
	Hold     time.Duration
	Handover string
	// PreparedAt is the steady.Reading at which Hold was computed. An order with a zero
	// PreparedAt does not expire.
	PreparedAt time.Time
}

// Expired reports whether the order must not be sent any more: Hold was computed so long ago that
// the grant may outlast the lease that covers it.
func (o *GrantOrder) Expired() bool {
	return !o.PreparedAt.IsZero() && steady.Elapsed(o.PreparedAt) > grantTimeout
}

// ReleaseOrder revokes keys from a back end.
type ReleaseOrder struct {
	// Instance is the incarnation that must release the keys. Responses of any other one do
	// not count.
	Instance string
	Keys     keyspace.Range
	Fence    keyspace.Fence
}

// Errors of a KeyHolder. After any other error the order may still be delivered to a back end
// that hangs at the moment.
var (
	// ErrConnectionEnded means that the order was sent and the connection closed without a
	// response.
	ErrConnectionEnded = errors.New("connection closed without a response")
	// ErrNotSent means that the order was not sent, since no connection was accepted.
	ErrNotSent = errors.New("order not sent")
	// ErrOrderRefused means that the back end has refused the order.
	ErrOrderRefused = errors.New("order refused")
	// ErrOtherInstance means that another instance runs at the back end's address and has
	// refused the order.
	ErrOtherInstance = fmt.Errorf("another instance runs at the address: %w", ErrOrderRefused)
)

// KeyHolder is a back end that accepts and releases keys.
type KeyHolder interface {
	// Grant grants keys for a time, or renews them. After ErrNotSent and ErrOrderRefused the back
	// end does not hold the keys by this order. After any other error this is unknown; after
	// ErrConnectionEnded the back end, if it accepted the order, did so before Grant returned.
	Grant(ctx context.Context, order GrantOrder) error
	// Release revokes keys. It returns once the work on them has ended, with the data to hand
	// over to the next owner.
	Release(ctx context.Context, order ReleaseOrder) (handover string, err error)
}

// RetryBudget bounds the retries of all gateways together.
type RetryBudget struct {
	// Ratio is the allowed ratio of retries to requests of a service within Window. Slack is
	// the number of retries allowed in addition.
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Config configures a gateway. Zero durations take the defaults.
type Config struct {
	// Name is the name of the process, and Zone the zone where it runs.
	Name string
	Zone string
	// Regions maps the fleet's zones to their regions.
	Regions map[string]string
	// Service is the service of the local back end.
	Service string
	// CallerListen is the address for callers and PeerListen the address for other gateways,
	// "IP:port".
	CallerListen string
	PeerListen   string
	// Pipelining bounds the requests that callers may pipeline. The routes decide which
	// requests may run concurrently, regardless of Pipelining.
	Pipelining httpserver.Pipelining
	// BackendAddress is the address of the local back end, "IP:port".
	BackendAddress string
	// Controllers are the session addresses of some of the controllers.
	Controllers []string
	Headers     HeaderNames
	// Keys sends grants and releases of keys to the back end.
	Keys   KeyHolder
	Budget RetryBudget
	// Quota says how exactly the quotas of tenants hold. It must be the same at all gateways and
	// controllers.
	Quota quota.Terms
	// LinkBytesPerSecond is the bandwidth of the machine's link. Zero means unknown, and
	// responses are not paced.
	LinkBytesPerSecond float64
	// HeldBytes bounds the memory for bodies of responses that are buffered for slow readers.
	// Zero means no bound. Above it new requests are refused as not run.
	HeldBytes int64
	// BodyBytes bounds the memory for bodies of requests, separately for those of callers and
	// those that other gateways forward. Zero means no bound. A request whose body exceeds it is
	// refused as not run; a single one that is larger than the bound is served.
	BodyBytes int64
	// DrainWithin is how long a leaving back end may still get requests after its
	// announcement.
	DrainWithin time.Duration
	// EvacuateWithin is how long the back ends of an evacuated zone may still get requests
	// after the order was acknowledged.
	EvacuateWithin time.Duration
	// HeartbeatInterval is the longest time between two heartbeats of a healthy back end.
	HeartbeatInterval time.Duration
	// KeyHold is how long a grant of keys lasts; it is renewed four times within that time. If
	// a back end crashes, callers wait for KeyHold, less one renewal interval, until its keys
	// get another owner.
	KeyHold time.Duration
	// ResponseDelay is how long the response to a heartbeat is delayed if there is nothing new
	// about the back end's keys, at most half of HeartbeatInterval. A change in the meantime is
	// sent immediately. A back end waits one second for the response.
	ResponseDelay time.Duration
	// MaxKeyHold is the longest time for which the back end accepts keys.
	MaxKeyHold time.Duration
	// StopWithin bounds the duration of a planned stop.
	StopWithin time.Duration
	Log        *slog.Logger
	// Registry registers the metrics. If it is nil they are not exported.
	Registry prometheus.Registerer
}

// Defaults of Config.
const (
	DefaultDrainWithin       = 2 * time.Second
	DefaultEvacuateWithin    = 5 * time.Second
	DefaultHeartbeatInterval = 1300 * time.Millisecond
	DefaultKeyHold           = 1500 * time.Millisecond
	DefaultResponseDelay     = 400 * time.Millisecond
	DefaultMaxKeyHold        = 10 * time.Second
	DefaultStopWithin        = 5500 * time.Millisecond
	DefaultWindow            = 10 * time.Second
)

// minKeyHold is the minimum of KeyHold. Renewals are sent at intervals of grantCheckInterval, and
// one may take grantTimeout.
const minKeyHold = grantTimeout + renewalsPerGrant*grantCheckInterval/2

// maxResponseDelay is the maximum of ResponseDelay: half of the time that a back end waits for
// a response.
const maxResponseDelay = 500 * time.Millisecond

// validate rejects settings that a gateway cannot satisfy.
func (c *Config) validate() error {
	if c.KeyHold < minKeyHold {
		return fmt.Errorf("KeyHold is %v, but must be at least %v", c.KeyHold, minKeyHold)
	}
	if c.ResponseDelay < 0 || c.ResponseDelay > maxResponseDelay {
		return fmt.Errorf("ResponseDelay is %v, but must be between 0 and %v", c.ResponseDelay, maxResponseDelay)
	}
	if err := c.Quota.Check(); err != nil {
		return fmt.Errorf("quota: %w", err)
	}
	return nil
}

func (c Config) withDefaults() Config {
	c.DrainWithin = cmp.Or(c.DrainWithin, DefaultDrainWithin)
	c.EvacuateWithin = cmp.Or(c.EvacuateWithin, DefaultEvacuateWithin)
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.KeyHold = cmp.Or(c.KeyHold, DefaultKeyHold)
	c.ResponseDelay = cmp.Or(c.ResponseDelay, DefaultResponseDelay)
	c.MaxKeyHold = cmp.Or(c.MaxKeyHold, DefaultMaxKeyHold)
	c.StopWithin = cmp.Or(c.StopWithin, DefaultStopWithin)
	c.Quota = c.Quota.WithDefaults()
	c.Budget.Window = cmp.Or(c.Budget.Window, DefaultWindow)
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}
