package subscription

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Defaults of Config.
const (
	// DefaultConnectTimeout bounds a dial and the wait for Welcome. It allows
	// for a round trip between distant regions.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultSilenceLimit ends a session on which nothing arrives.
	DefaultSilenceLimit = time.Second
	// DefaultLeaderContactLimit is how long a controller may be without contact
	// with a leader before a router tries another one.
	DefaultLeaderContactLimit = 2 * time.Second
	// DefaultPingInterval is how often a router asks whether its table is the
	// newest.
	DefaultPingInterval = 250 * time.Millisecond
	// DefaultBackOffFirst and DefaultBackOffLimit bound the wait after failed
	// attempts.
	DefaultBackOffFirst = 20 * time.Millisecond
	DefaultBackOffLimit = 500 * time.Millisecond
)

// LeaseHolder receives the leases that the leader grants. ownership.Holder
// implements it.
type LeaseHolder interface {
	// Granted is called with the length of a lease that was granted, counted
	// from sentAt on the process's monotonic clock.
	Granted(sentAt, granted time.Duration)
}

// TableBuilder builds routing tables. A process with many clients can pass one
// that shares equal tables among them.
type TableBuilder interface {
	FromSnapshot(snapshot wire.RoutingSnapshot) (*routing.Table, error)
	Apply(table *routing.Table, delta wire.RoutingDelta) (*routing.Table, error)
}

// Config configures a Client.
type Config struct {
	// Group is the controller group that the client subscribes to.
	Group topology.GroupID
	// Role is RoleRouter or RoleAgent.
	Role topology.Role
	// Name of the router, or of the back end that the agent serves.
	Name     string
	Location topology.Location
	// Boot is a random number that identifies this run of the process; zero
	// draws one.
	Boot uint64
	// Address at which the process accepts requests.
	Address string
	// Controllers lists at least one session address, "IP:port".
	Controllers []string
	// Transport options; the client sets the timeouts among them.
	Transport transport.Options
	// Services restricts the routing data to these services; empty means all.
	Services []topology.ServiceID

	// Lease is required for an agent and nil for a router.
	Lease LeaseHolder
	// Report returns the load, release and leaving fields of the next Renew. It
	// is called on the sending goroutine. Nil reports nothing.
	Report func() wire.Renew
	// OnTable is called with each new table, in order of revision, before the
	// revision is confirmed as applied. It may be nil.
	OnTable func(*routing.Table)
	// OnWelcome is called with each Welcome: when a session opens, and when the
	// agent's ID changes. It may be nil.
	OnWelcome func(wire.Welcome)

	// Now is the process's monotonic clock; nil means the time since Start.
	Now func() time.Duration
	// Tables builds routing tables; nil uses package routing directly.
	Tables TableBuilder
	// Log receives a line for each session that opens or ends; nil discards.
	Log *slog.Logger
	// Seed of the jitter and of the first controller to try; zero draws one.
	Seed uint64

	// ConnectTimeout bounds a dial and the wait for Welcome.
	ConnectTimeout time.Duration
	// SilenceLimit ends a session on which nothing arrives. Zero is three
	// renewal intervals for an agent, DefaultSilenceLimit for a router.
	SilenceLimit time.Duration
	// LeaderContactLimit is how long a router's controller may be without contact
	// with a leader.
	LeaderContactLimit time.Duration
	// PingInterval is the interval at which a router asks whether its table is
	// the newest.
	PingInterval time.Duration
	// BackOffFirst bounds the wait after the first failure. The bound doubles
	// with each further failure, up to BackOffLimit.
	BackOffFirst time.Duration
	BackOffLimit time.Duration
}

func (config Config) validate() error {
	var errs []error
	if config.Role != topology.RoleRouter && config.Role != topology.RoleAgent {
		errs = append(errs, errors.New("role must be router or agent"))
	}
	if config.Name == "" {
		errs = append(errs, errors.New("name is empty"))
	}
	if len(config.Controllers) == 0 {
		errs = append(errs, errors.New("no controller address"))
	}
	if (config.Role == topology.RoleAgent) != (config.Lease != nil) {
		errs = append(errs, errors.New("an agent needs a lease holder, a router must have none"))
	}
	return errors.Join(errs...)
}

func (config Config) withDefaults() Config {
	if config.Boot == 0 {
		config.Boot = rand.Uint64()
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	if config.Now == nil {
		start := steady.Reading()
		config.Now = func() time.Duration { return steady.Elapsed(start) }
	}
	if config.Tables == nil {
		config.Tables = unsharedTables{}
	}
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	setDefault(&config.ConnectTimeout, DefaultConnectTimeout)
	setDefault(&config.LeaderContactLimit, DefaultLeaderContactLimit)
	setDefault(&config.PingInterval, DefaultPingInterval)
	setDefault(&config.BackOffFirst, DefaultBackOffFirst)
	setDefault(&config.BackOffLimit, DefaultBackOffLimit)
	return config
}

func setDefault(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// unsharedTables is the TableBuilder of package routing, without sharing.
type unsharedTables struct{}

func (unsharedTables) FromSnapshot(snapshot wire.RoutingSnapshot) (*routing.Table, error) {
	return routing.FromSnapshot(snapshot)
}

func (unsharedTables) Apply(table *routing.Table, delta wire.RoutingDelta) (*routing.Table, error) {
	return table.Apply(delta)
}
