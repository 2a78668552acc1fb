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

// Source keeps the routing table fresh; subscription.Client is one.
type Source interface {
	// Freshness is how long ago at now, a reading of Config.Clock, the table
	// was proved to be the newest.
	Freshness(now time.Duration) time.Duration
	// Send queues a message to a controller; it may be lost.
	Send(wire.ToController) error
	Stop()
}

// Config of a router. Fields at zero take the defaults named beside them.
type Config struct {
	// Name of the process in logs and towards controllers.
	Name string
	// Group of controllers that the router follows.
	Group topology.GroupID
	// Location of the process; nearer back ends are preferred.
	Location topology.Location

	// Listen is where callers connect, "IP:port".
	Listen string
	// Listener, if set, is used in place of Listen.
	Listener httpserver.Listener
	// CallerTLS serves callers over TLS; nil is plain HTTP.
	CallerTLS *tls.Config
	// AgentTLS is used towards agents; nil is plain HTTP.
	AgentTLS *tls.Config
	// ControllerTLS is used towards controllers; nil is plain TCP.
	ControllerTLS *tls.Config
	// Controllers lists session addresses, "IP:port".
	Controllers []string

	// DefaultTimeout is the deadline of a request whose caller states none and
	// whose rule states none. Default 10 s.
	DefaultTimeout time.Duration
	// MaximumTimeout bounds every deadline. Default 1 h.
	MaximumTimeout time.Duration
	// HeaderTimeout is the longest time for a whole header. Default 5 s.
	HeaderTimeout time.Duration
	// StallTimeout cuts off a caller that neither sends nor takes a byte for
	// so long. Default 30 s.
	StallTimeout time.Duration
	// PipelinedRequests is how many requests of one connection may be in
	// progress. Default httpserver.DefaultPipelinedRequests.
	PipelinedRequests int
	// BufferedBodyTimeout is the longest time for the first
	// BufferedBodyBytes of a request body, or all of a shorter one. Default 5 s.
	BufferedBodyTimeout time.Duration
	// IdleTimeout closes callers' connections that carry no request. Default
	// 2 min.
	IdleTimeout time.Duration
	// MaximumHeaderBytes bounds a request header. Default 16 KiB.
	MaximumHeaderBytes int
	// MaximumBodyBytes bounds a request body. Default 8 MiB.
	MaximumBodyBytes int64
	// BufferedBodyBytes is how much of a request body is read before anything
	// is sent; larger requests cannot be sent again. Default 64 KiB.
	BufferedBodyBytes int
	// BufferedAnswerBytes is the largest answer that is verified whole before
	// its first byte is passed on; larger ones are streamed. Default 64 KiB.
	BufferedAnswerBytes int
	// MaximumConnections from callers; further ones wait in the kernel's
	// backlog, so that it should be above MaximumInFlight. Default 8192.
	MaximumConnections int
	// MaximumInFlight bounds requests in progress of all services. Default
	// 4096.
	MaximumInFlight int
	// ServiceShare is the part of MaximumInFlight that one service may take,
	// so that a slow service leaves room for the others. Default 0.5.
	ServiceShare float64
	// AgentConnections bounds connections to each agent. Default 100.
	AgentConnections int

	// HoldTimeout is the longest that a request waits for an owner. Default
	// 3 s.
	HoldTimeout time.Duration
	// HoldRequests and HoldBytes bound the requests that wait for an owner and
	// their bodies. Defaults 4096 and 64 MiB.
	HoldRequests int
	HoldBytes    int64
	// RetryShare is the part of a service's requests that may be sent again.
	// Default 0.1.
	RetryShare float64
	// RetryBurst is how many retries can be saved up. Default 20.
	RetryBurst int
	// AttemptTimeout is after what time a repeatable look-up that is not bound
	// to one owner is sent to another back end. Default 1 s.
	AttemptTimeout time.Duration
	// SupersededGrace is how long an attempt may go on after the routing table
	// named a new owner. Default 100 ms.
	SupersededGrace time.Duration
	// StaleAfter is how long the router trusts its table without a proof that
	// it is the newest. Default and maximum are wire.StopRelyingAfter.
	StaleAfter time.Duration

	// DrainDelay is how long a planned stop goes on accepting connections, so
	// that callers' balancers notice that the router is not ready. Default 1 s.
	DrainDelay time.Duration
	// DrainLimit is the longest that a planned stop waits for requests in
	// progress. Default 30 s.
	DrainLimit time.Duration

	// Log takes lines for changes of state; nil discards.
	Log *slog.Logger
	// Registry takes the metrics; nil makes one of its own.
	Registry prometheus.Registerer
	// Clock is a monotonic reading; nil takes the time since the start.
	Clock func() time.Duration
	// Source opens the source of routing tables; nil opens a subscription to
	// Controllers. Tables are delivered one after another.
	Source func(onTable func(*routing.Table)) (Source, error)
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// withDefaults fills in the fields left at zero.
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
	setDefault(&c.BufferedAnswerBytes, 64*kibibyte)
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
	setDefault(&c.StaleAfter, wire.StopRelyingAfter)
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

// setDefault assigns a default to a number left at zero.
func setDefault[T int | int64 | float64 | time.Duration](target *T, value T) {
	if *target == 0 {
		*target = value
	}
}

// validate reports all findings together.
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
