package agent

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// Defaults of Config.
const (
	DefaultStopTimeout     = 30 * time.Second
	DefaultLeavingGrace    = 3 * time.Second
	DefaultDrainLimit      = 30 * time.Second
	DefaultMaxBodyBytes    = 8 << 20
	DefaultMaxHeaderBytes  = 32 << 10
	DefaultHeaderTimeout   = 5 * time.Second
	DefaultDialTimeout     = time.Second
	DefaultLoadInterval    = time.Second
	DefaultWarmConnections = 4
	DefaultRequestTimeout  = 30 * time.Second
	DefaultProgressTimeout = 10 * time.Second
)

// Config configures an Agent. Zero fields take their defaults.
type Config struct {
	// Name of the agent's back end, as operators created it.
	Name     string
	Group    topology.GroupID
	Location topology.Location
	// Controllers lists session addresses, "IP:port".
	Controllers []string
	// Listen is the "IP:port" on which the agent accepts requests from routers
	// and other agents.
	Listen string
	// Advertise is the address under which operators created the back end. If
	// empty, the bound address is used.
	Advertise string
	// DataFolder holds the record of non-repeatable requests.
	DataFolder string
	// BackendAddress is the back end's "IP:port".
	BackendAddress string

	// ServerTLS and ClientTLS, if set, secure the connections with routers and
	// other agents. Transport configures the connections to controllers.
	ServerTLS *tls.Config
	ClientTLS *tls.Config
	Transport transport.Options

	// MaxBodyBytes and MaxHeaderBytes bound a request.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	// HeaderTimeout bounds the arrival of a request's header.
	HeaderTimeout time.Duration
	// RequestTimeout applies to requests without a deadline.
	RequestTimeout time.Duration
	// ProgressTimeout ends a request if its sender sends, or its reader reads,
	// not a single byte for this long.
	ProgressTimeout time.Duration
	// DialTimeout bounds a new connection to the back end.
	DialTimeout time.Duration
	// WarmConnections is the number of connections to the back end that are
	// kept open. A negative number keeps none.
	WarmConnections int
	// LoadInterval is how often the back end's load endpoint is queried.
	LoadInterval time.Duration
	// StopTimeout bounds a planned stop. Up to half of it is spent waiting
	// until the shards have moved, the rest on requests in progress. Some time
	// at its end is reserved for releasing the lease; see drainBudget.
	StopTimeout time.Duration
	// LeavingGrace is how long a leaving back end still accepts new requests
	// while its shards are moved.
	LeavingGrace time.Duration

	// ClockDrift bounds the relative drift between the monotonic clocks of two
	// machines, as a fraction.
	ClockDrift float64
	// Record configures the record of non-repeatable requests. The agent sets
	// its Directory.
	Record requestrecord.Config
	// Fitness configures when the back end counts as failed.
	Fitness FitnessConfig

	// Log receives state changes and failures. If nil, nothing is logged.
	Log *slog.Logger
	// Registry receives the agent's metrics. If nil, none are registered.
	Registry prometheus.Registerer
}

func (config Config) withDefaults() Config {
	setDefault(&config.StopTimeout, DefaultStopTimeout)
	setDefault(&config.LeavingGrace, DefaultLeavingGrace)
	setDefault(&config.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&config.MaxHeaderBytes, DefaultMaxHeaderBytes)
	setDefault(&config.HeaderTimeout, DefaultHeaderTimeout)
	setDefault(&config.RequestTimeout, DefaultRequestTimeout)
	setDefault(&config.ProgressTimeout, DefaultProgressTimeout)
	setDefault(&config.DialTimeout, DefaultDialTimeout)
	setDefault(&config.WarmConnections, DefaultWarmConnections)
	setDefault(&config.LoadInterval, DefaultLoadInterval)
	setDefault(&config.ClockDrift, ownership.DefaultClockDrift)
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	config.Fitness = config.Fitness.withDefaults()
	return config
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// validate returns all errors joined.
func (config Config) validate() error {
	var problems []error
	require := func(value, field string) {
		if value == "" {
			problems = append(problems, errors.New("agent: "+field+" is required"))
		}
	}
	require(config.Name, "Name")
	require(config.Listen, "Listen")
	require(config.DataFolder, "DataFolder")
	require(config.BackendAddress, "BackendAddress")
	if len(config.Controllers) == 0 {
		problems = append(problems, errors.New("agent: Controllers is required"))
	}
	if config.ClockDrift < 0 || config.ClockDrift >= 1 {
		problems = append(problems, errors.New("agent: ClockDrift must be at least 0 and below 1"))
	}
	return errors.Join(problems...)
}
