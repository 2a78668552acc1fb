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
	// for a round trip between far regions.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultSilenceLimit ends a session on which nothing arrives.
	DefaultSilenceLimit = time.Second
	// DefaultLeaderContactLimit is how long a controller may have been without
	// a leader before a router tries another one.
	DefaultLeaderContactLimit = 2 * time.Second
	// DefaultPingInterval is how often a router asks whether its table is the
	// newest.
	DefaultPingInterval = 250 * time.Millisecond
	// DefaultBackOffFirst and DefaultBackOffLimit bound the wait after failed
	// attempts.
	DefaultBackOffFirst = 20 * time.Millisecond
	DefaultBackOffLimit = 500 * time.Millisecond
)

// LeaseHolder takes what the leader grants; ownership.Holder is one.
type LeaseHolder interface {
	// Granted says that a lease of the given length was granted, counted from
	// sentAt on the process's monotonic clock.
	Granted(sentAt, granted time.Duration)
}

// TableBuilder makes routing tables. A process with many clients gives one that
// shares equal tables among them.
type TableBuilder interface {
	FromSnapshot(snapshot wire.RoutingSnapshot) (*routing.Table, error)
	Apply(table *routing.Table, delta wire.RoutingDelta) (*routing.Table, error)
}

// Config of a Client.
type Config struct {
	// Group of controllers that the client follows.
	Group topology.GroupID
	// Role is RoleRouter or RoleAgent.
	Role topology.Role
	// Name of the router, or of the back end beside the agent.
	Name     string
	Location topology.Location
	// Boot is a number drawn at random at each start of the process; zero
	// draws one.
	Boot uint64
	// Address is where the process takes requests.
	Address string
	// Controllers lists session addresses, "IP:port". At least one.
	Controllers []string
	// Transport options, of which the timeouts are set by the client.
	Transport transport.Options
	// Services limits the routing data; empty asks for all.
	Services []topology.ServiceID

	// Lease is required for an agent and nil for a router.
	Lease LeaseHolder
	// Report returns what the next Renew says of load, release and leaving. It
	// is called on the sending goroutine. Nil reports nothing.
	Report func() wire.Renew
	// OnTable is called with each new table, in order of revision, before the
	// revision is confirmed as applied. Nil ignores it.
	OnTable func(*routing.Table)
	// OnWelcome is called when a session opens or the identity changes.
	OnWelcome func(wire.Welcome)

	// Now is the process's monotonic clock; nil takes the time since Start.
	Now func() time.Duration
	// Tables builds routing tables; nil uses package routing directly.
	Tables TableBuilder
	// Log takes a line for each session that opens or closes; nil discards.
	Log *slog.Logger
	// Seed of the jitter and the order of controllers; zero draws one.
	Seed uint64

	// ConnectTimeout bounds a dial and the wait for Welcome.
	ConnectTimeout time.Duration
	// SilenceLimit ends a session on which nothing arrives. Zero is three
	// renewal intervals for an agent, DefaultSilenceLimit for a router.
	SilenceLimit time.Duration
	// LeaderContactLimit is how long the controller of a router may have been
	// without a leader.
	LeaderContactLimit time.Duration
	// PingInterval between a router's questions whether its table is the newest.
	PingInterval time.Duration
	// BackOffFirst is the longest first wait after a failure; it doubles up to
	// BackOffLimit.
	BackOffFirst time.Duration
	BackOffLimit time.Duration
}

func (config Config) validate() error {
	var findings []error
	if config.Role != topology.RoleRouter && config.Role != topology.RoleAgent {
		findings = append(findings, errors.New("role must be router or agent"))
	}
	if config.Name == "" {
		findings = append(findings, errors.New("name is empty"))
	}
	if len(config.Controllers) == 0 {
		findings = append(findings, errors.New("no controller address"))
	}
	if (config.Role == topology.RoleAgent) != (config.Lease != nil) {
		findings = append(findings, errors.New("an agent needs a lease holder, a router has none"))
	}
	return errors.Join(findings...)
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
		config.Tables = ownTables{}
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

func setDefault(value *time.Duration, otherwise time.Duration) {
	if *value == 0 {
		*value = otherwise
	}
}

// ownTables builds tables that no other client shares.
type ownTables struct{}

func (ownTables) FromSnapshot(snapshot wire.RoutingSnapshot) (*routing.Table, error) {
	return routing.FromSnapshot(snapshot)
}

func (ownTables) Apply(table *routing.Table, delta wire.RoutingDelta) (*routing.Table, error) {
	return table.Apply(delta)
}
