package controller

import (
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Config configures a controller. Zero values are replaced by the defaults
// where one is given.
type Config struct {
	// Group is the ID of the controller group.
	Group topology.GroupID
	// Location of this process.
	Location topology.Location

	// SessionListen is the address for sessions of routers and agents, and
	// RPCListen the one for operators' calls, as "IP:port". Port 0 picks a free
	// port.
	SessionListen string
	// SessionAdvertise is the session address that subscribers are given; empty
	// means the bound address.
	SessionAdvertise string
	RPCListen        string

	// LeaseDuration is the duration of agents' leases; default 500 ms. It must be
	// the same at all controllers of a group.
	LeaseDuration time.Duration
	// RenewInterval is the lease renewal interval that agents are given; default
	// 125 ms.
	RenewInterval time.Duration
	// AliveInterval is the longest time without a message to a subscriber;
	// default 250 ms.
	AliveInterval time.Duration
	// BarrierInterval is how often the controller confirms with a quorum that
	// its state is the newest; default 200 ms.
	BarrierInterval time.Duration

	// MachineListURL is the URL of the platform's machine list; empty disables
	// polling.
	MachineListURL string
	// MachineListInterval is the interval at which the machine list is polled;
	// default 2 s.
	MachineListInterval time.Duration

	// LinkTLS is the TLS configuration of incoming and outgoing sessions; nil
	// means plain TCP.
	LinkTLS *tls.Config
	// OperatorTLS is the TLS configuration of operators' calls; nil means plain
	// HTTP.
	OperatorTLS *tls.Config

	// Registerer registers the metrics; nil means a private registry.
	Registerer prometheus.Registerer
	// Log receives log messages; nil discards them.
	Log *slog.Logger
	// Replicate starts the replicated log that drives the state machine.
	Replicate func(StateMachine) (Replicator, error)
	// OnReady, if set, is called with the bound addresses once the controller is
	// serving.
	OnReady func(Addresses)
	// Coordinator configures the limits of the leader's placement and lease
	// decisions.
	Coordinator coordinator.Config
}

// Addresses are the bound addresses of a controller.
type Addresses struct{ Sessions, RPC string }

// Defaults of Config.
const (
	DefaultAliveInterval       = 250 * time.Millisecond
	DefaultBarrierInterval     = 200 * time.Millisecond
	DefaultMachineListInterval = 2 * time.Second
)

func (config Config) validate() error {
	var problems []error
	require := func(ok bool, message string) {
		if !ok {
			problems = append(problems, errors.New(message))
		}
	}
	require(config.Group != 0, "Group is zero")
	require(config.SessionListen != "", "SessionListen is empty")
	require(config.RPCListen != "", "RPCListen is empty")
	require(config.Replicate != nil, "Replicate is missing")
	if err := errors.Join(problems...); err != nil {
		return fmt.Errorf("controller: %w", err)
	}
	return nil
}

func (config Config) withDefaults() Config {
	setDefault(&config.LeaseDuration, ownership.DefaultLeaseDuration)
	setDefault(&config.RenewInterval, ownership.DefaultRenewInterval)
	setDefault(&config.AliveInterval, DefaultAliveInterval)
	setDefault(&config.BarrierInterval, DefaultBarrierInterval)
	setDefault(&config.MachineListInterval, DefaultMachineListInterval)
	config.Coordinator.LeaseDuration = config.LeaseDuration
	if config.Log == nil {
		config.Log = slog.New(slog.DiscardHandler)
	}
	if config.Registerer == nil {
		config.Registerer = prometheus.NewRegistry()
	}
	return config
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}
