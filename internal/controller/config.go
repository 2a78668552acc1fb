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

// Config of a controller. Zero fields with a default take it.
type Config struct {
	// Group of controllers.
	Group topology.GroupID
	// Location of the process.
	Location topology.Location

	// SessionListen takes sessions of routers and agents, RPCListen calls of
	// operators: "IP:port"; port 0 takes a free one.
	SessionListen string
	// SessionAdvertise is the session address that subscribers are told;
	// empty takes the bound one.
	SessionAdvertise string
	RPCListen        string

	// LeaseDuration of agents' leases; default 500 ms. All controllers of a
	// group have the same.
	LeaseDuration time.Duration
	// RenewInterval that agents are told; default 125 ms.
	RenewInterval time.Duration
	// AliveInterval is how often a subscriber hears from the controller at
	// least; default 250 ms.
	AliveInterval time.Duration
	// BarrierInterval is how often the controller confirms with a quorum that
	// its state is the newest; default 200 ms.
	BarrierInterval time.Duration

	// MachineListURL of the platform's list of machines; empty is none.
	MachineListURL string
	// MachineListInterval between two readings of it; default 2 s.
	MachineListInterval time.Duration

	// LinkTLS secures sessions, in both directions; nil is plain TCP.
	LinkTLS *tls.Config
	// OperatorTLS secures operators' calls; nil is plain HTTP.
	OperatorTLS *tls.Config

	// Registerer takes the process's metrics; nil takes none.
	Registerer prometheus.Registerer
	// Log takes changes of state; nil discards.
	Log *slog.Logger
	// Replicate starts the replicated log over the machine.
	Replicate func(Machine) (Replicator, error)
	// OnReady, if set, is called with the bound addresses once the controller
	// serves.
	OnReady func(Addresses)
	// Coordinator sets limits of the leader's decisions.
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
	var findings []error
	require := func(ok bool, problem string) {
		if !ok {
			findings = append(findings, errors.New(problem))
		}
	}
	require(config.Group != 0, "Group is zero")
	require(config.SessionListen != "", "SessionListen is empty")
	require(config.RPCListen != "", "RPCListen is empty")
	require(config.Replicate != nil, "Replicate is missing")
	if err := errors.Join(findings...); err != nil {
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
