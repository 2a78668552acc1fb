package router

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Source delivers routing tables and tracks how recent they are. It is
// implemented by subscription.Client.
type Source interface {
	// Freshness returns the time since the table was last confirmed to be the
	// newest; now is a reading of Config.Clock.
	Freshness(now time.Duration) time.Duration
	// Send queues a message to a controller; it may be lost.
	Send(wire.ToController) error
	// Stop ends the delivery of tables.
	Stop()
}

// Config configures a router. Zero fields take the defaults given in their
// comments.
type Config struct {
	// Name identifies the process in logs and to controllers.
	Name string
	// Group is the group of controllers that the router subscribes to.
	Group topology.GroupID
	// Location of the process; back ends in the same zone are preferred.
	Location topology.Location

	// Listen is the address for callers' connections, "IP:port".
	Listen string
	// Listener, if set, is used instead of Listen.
	Listener httpserver.Listener
	// CallerTLS enables TLS for callers; nil means plain HTTP.
	CallerTLS *tls.Config
	// AgentTLS is used for connections to agents; nil means plain HTTP.
	AgentTLS *tls.Config
	// ControllerTLS is used for sessions with controllers; nil means plain TCP.
	ControllerTLS *tls.Config
	// Controllers lists the controllers' session addresses, "IP:port".
	Controllers []string

	// DefaultTimeout applies to requests for which neither the caller nor the
	// rule specifies a timeout. Default 10 s.
	DefaultTimeout time.Duration
	// MaximumTimeout limits the timeout of every request. Default 1 h.
	MaximumTimeout time.Duration
	// HeaderTimeout limits the time for reading a request header. Default 5 s.
	HeaderTimeout time.Duration
	// StallTimeout is the time after which a caller that neither sends nor
	// accepts a byte is disconnected. Default 30 s.
	StallTimeout time.Duration
	// PipelinedRequests is the maximum number of requests of one connection
	// that are in progress at a time. Default
	// httpserver.DefaultPipelinedRequests.
	PipelinedRequests int
	// BufferedBodyTimeout limits the time for reading the first
	// BufferedBodyBytes of a request body, or all of a shorter one. Default 5 s.
	BufferedBodyTimeout time.Duration
	// IdleTimeout is the time after which a caller's idle connection is closed.
	// Default 2 min.
	IdleTimeout time.Duration
	// MaximumHeaderBytes limits the size of a request header. Default 16 KiB.
	MaximumHeaderBytes int
	// MaximumBodyBytes limits the size of a request body. Default 8 MiB.
	MaximumBodyBytes int64
	// BufferedBodyBytes is how much of a request body is read before anything
	// is sent; a larger body is streamed and cannot be sent again. Default
	// 64 KiB.
	BufferedBodyBytes int
	// BufferedResponseBytes is the size up to which a response is read and
	// verified completely before its first byte is relayed; larger ones are
	// streamed. Default 64 KiB.
	BufferedResponseBytes int
	// MaximumConnections limits the open connections from callers. Further ones
	// wait in the kernel's backlog, so the limit should be above
	// MaximumInFlight. Default 8192.
	MaximumConnections int
	// MaximumInFlight limits the requests in progress, across all services.
	// Default 4096.
	MaximumInFlight int
	// ServiceShare is the fraction of MaximumInFlight that one service may use,
	// so that a slow service leaves capacity for the others. Default 0.5.
	ServiceShare float64
	// AgentConnections limits the connections to each agent. Default 100.
	AgentConnections int

	// HoldTimeout is the maximum time that a request is held until its shard has
	// an owner. Default 3 s.
	HoldTimeout time.Duration
	// HoldRequests and HoldBytes limit the number of held requests and the total
	// size of their bodies. Defaults 4096 and 64 MiB.
	HoldRequests int
	HoldBytes    int64
	// RetryShare is the retry budget: the maximum number of retries as a
	// fraction of a service's requests. Default 0.1.
	RetryShare float64
	// RetryBurst is how many unused retries the budget accumulates. Default 20.
	RetryBurst int
	// AttemptTimeout is the time after which an unanswered attempt of an
	// idempotent lookup without a key is cancelled and another back end is
	// tried. Default 1 s.
	AttemptTimeout time.Duration
	// SupersededGrace is how long an attempt may continue after the routing
	// table named a new owner. Default 100 ms.
	SupersededGrace time.Duration
	// StaleAfter is how long the router uses its table without a confirmation
	// that it is the newest. Default and maximum are wire.MaxRoutingStaleness.
	StaleAfter time.Duration

	// DrainDelay is how long a planned stop continues to accept connections, so
	// that callers' load balancers notice that the router is not ready. Default
	// 1 s.
	DrainDelay time.Duration
	// DrainLimit is the maximum time that a planned stop waits for requests in
	// progress after DrainDelay. Default 30 s.
	DrainLimit time.Duration

	// Log receives messages about state changes; nil discards them.
	Log *slog.Logger
	// Registry registers the metrics; nil creates a private registry.
	Registry prometheus.Registerer
	// Clock returns a monotonic time; nil uses the time since the router was
	// created.
	Clock func() time.Duration
	// Source opens the source of routing tables; nil opens a subscription to
	// Controllers. Calls of onTable must not overlap.
	Source func(onTable func(*routing.Table)) (Source, error)
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// withDefaults returns the configuration with defaults for zero fields.
func (c Config) withDefaults() Config {
	setDefault(&c.DefaultTimeout, 10*time.Second)
	setDefault(&c.MaximumTimeout, time.Hour)
	setDefault(&c.HeaderTimeout, 5*time.Second)
	setDefault(&c.StallTimeout, 30*time.Second)
	setDefault(&c.BufferedBodyTimeout, 5*time.Second)
	setDefault(&c.IdleTimeout, 2*time.Minute)
	setDefault(&c.MaximumHeaderBytes, 16*kibibyte)
	setDefault(&c.MaximumBodyBytes, 8*mebibyte)
	setDefault(&c.BufferedBodyBytes, 64*kibibyte)
	setDefault(&c.BufferedResponseBytes, 64*kibibyte)
	setDefault(&c.MaximumConnections, 8192)
	setDefault(&c.MaximumInFlight, 4096)
	setDefault(&c.ServiceShare, 0.5)
	setDefault(&c.AgentConnections, 100)
	setDefault(&c.HoldTimeout, 3*time.Second)
	setDefault(&c.HoldRequests, 4096)
	setDefault(&c.HoldBytes, 64*mebibyte)
	setDefault(&c.RetryShare, 0.1)
	setDefault(&c.RetryBurst, 20)
	setDefault(&c.AttemptTimeout, time.Second)
	setDefault(&c.SupersededGrace, 100*time.Millisecond)
	setDefault(&c.StaleAfter, wire.MaxRoutingStaleness)
	setDefault(&c.DrainDelay, time.Second)
	setDefault(&c.DrainLimit, 30*time.Second)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Clock == nil {
		start := steady.Reading()
		c.Clock = func() time.Duration { return steady.Elapsed(start) }
	}
	return c
}

// setDefault assigns a default to a zero value.
func setDefault[T int | int64 | float64 | time.Duration](target *T, value T) {
	if *target == 0 {
		*target = value
	}
}

// validate returns all configuration errors, joined.
func (c Config) validate() error {
	var findings []error
	if c.Name == "" {
		findings = append(findings, errors.New("name is empty"))
	}
	if c.Listen == "" && c.Listener == nil {
		findings = append(findings, errors.New("no address to listen at"))
	}
	if c.Source == nil && len(c.Controllers) == 0 {
		findings = append(findings, errors.New("no controller address"))
	}
	if c.RetryShare < 0 || c.RetryShare > 1 {
		findings = append(findings, fmt.Errorf("retry share %v is not between 0 and 1", c.RetryShare))
	}
	if c.ServiceShare < 0 || c.ServiceShare > 1 {
		findings = append(findings, fmt.Errorf("service share %v is not between 0 and 1", c.ServiceShare))
	}
	return errors.Join(findings...)
}
