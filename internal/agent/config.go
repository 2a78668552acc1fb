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

// Config of an Agent. Zero fields take the defaults.
type Config struct {
	// Name of the back end beside the agent, as operators created it.
	Name     string
	Group    topology.GroupID
	Location topology.Location
	// Controllers lists session addresses, "IP:port".
	Controllers []string
	// Listen is where routers and other agents send requests, "IP:port".
	Listen string
	// Advertise is the address by which operators created the back end; empty
	// takes the bound one.
	Advertise string
	// DataFolder holds the record of non-repeatable requests.
	DataFolder string
	// BackendAddress is the back end's "IP:port".
	BackendAddress string

	// ServerTLS and ClientTLS, if set, secure the links to routers and other
	// agents; Transport those to controllers.
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
	// ProgressTimeout ends a request whose sender or reader does not take or
	// give a single byte for so long.
	ProgressTimeout time.Duration
	// DialTimeout bounds a new connection to the back end.
	DialTimeout time.Duration
	// WarmConnections to the back end are kept open. Negative keeps none.
	WarmConnections int
	// LoadInterval is how often the back end's load endpoint is asked.
	LoadInterval time.Duration
	// StopTimeout bounds a planned stop: at most its first half waits until the
	// shards have moved, the rest for requests in progress. A part at its end is
	// kept for the release of the lease (see drainTime).
	StopTimeout time.Duration
	// LeavingGrace is for how long a back end that leaves still takes new work,
	// while its shards move.
	LeavingGrace time.Duration

	// ClockDrift bounds the drift between two machines' monotonic clocks, as a
	// share.
	ClockDrift float64
	// Record holds the settings of the record of non-repeatable requests. Its
	// Directory is set by the agent.
	Record requestrecord.Config
	// Fitness says when the back end counts as failed.
	Fitness FitnessConfig

	// Log takes changes of state; nil discards.
	Log *slog.Logger
	// Registry takes the agent's metrics; nil takes none.
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

// validate returns all findings joined.
func (config Config) validate() error {
	var findings []error
	require := func(value, field string) {
		if value == "" {
			findings = append(findings, errors.New("agent: "+field+" is required"))
		}
	}
	require(config.Name, "Name")
	require(config.Listen, "Listen")
	require(config.DataFolder, "DataFolder")
	require(config.BackendAddress, "BackendAddress")
	if len(config.Controllers) == 0 {
		findings = append(findings, errors.New("agent: Controllers is required"))
	}
	if config.ClockDrift < 0 || config.ClockDrift >= 1 {
		findings = append(findings, errors.New("agent: ClockDrift must be a share from 0 to below 1"))
	}
	return errors.Join(findings...)
}
