// Package fleetcontroller is the controller of a fleet of gateways: a member of the group that
// replicates the configuration and the owners of keys. The leader responds to the gateways'
// reports with leases, sends them the views by which they route requests, and moves keys
// between owners.
//
// # Goroutines
//
// The replica's control goroutine owns the state and the planner; all other goroutines
// access them by Post. Each session has a receiving and a sending goroutine. The sender
// reads only published views and sends what has changed since its last message, so that a
// slow gateway holds nothing up and catches up with a single message.
//
// # Automatic repair of the group
//
// A controller with an empty data folder requests admission from the others until the leader
// has made it a voter (join.go). The leader removes a member that has lost its disk when a new
// member requests admission from the same address, and a member that has been silent for long
// while all others respond (members.go).
package fleetcontroller

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/quota"
	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Config configures a controller. Zero durations select the defaults.
type Config struct {
	Group topology.GroupID
	// Name identifies the process in logs.
	Name string
	// DataDir is the path of the data folder.
	DataDir string
	// PeerListen accepts connections of other controllers, and SessionListen those of
	// gateways, "IP:port". All controllers of a group use the same two port numbers.
	PeerListen    string
	SessionListen string
	// Bootstrap is set at the first start of the whole group, whose founding members are Seeds.
	Bootstrap bool
	// Seeds are the session addresses of some controllers.
	Seeds []string
	// Zones lists the zones of the fleet; only these can be evacuated.
	Zones []string

	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	TickInterval      time.Duration
	// DeadAfter is how long a member must be silent to lose its seat although no successor has come.
	DeadAfter time.Duration

	Planner keylease.Config
	// Configuration bounds how long a change of the configuration takes to be in force
	// everywhere.
	Configuration configlease.Terms
	// Quarantine sets how long requests during which back ends have crashed have to wait.
	Quarantine quarantine.Terms
	// Quota says how exactly the quotas of tenants hold.
	Quota quota.Terms
	Log   *slog.Logger
	// Registry is where the metrics are registered; nil discards them.
	Registry prometheus.Registerer
	// OnRemoved is called after the group has removed this member and its data folder has been
	// emptied. The process must be restarted.
	OnRemoved func()
}

// Defaults of Config.
const (
	// DefaultHeartbeatInterval and DefaultElectionTimeout allow for a CPU quota, which may
	// pause the leader and a follower for 100 ms each, and for the load on a new leader,
	// to which all gateways connect at once.
	DefaultHeartbeatInterval = 90 * time.Millisecond
	DefaultElectionTimeout   = 500 * time.Millisecond
	DefaultTickInterval      = 25 * time.Millisecond
	DefaultDeadAfter         = 10 * time.Second
)

func (c Config) withDefaults() Config {
	c.HeartbeatInterval = cmp.Or(c.HeartbeatInterval, DefaultHeartbeatInterval)
	c.ElectionTimeout = cmp.Or(c.ElectionTimeout, DefaultElectionTimeout)
	c.TickInterval = cmp.Or(c.TickInterval, DefaultTickInterval)
	c.DeadAfter = cmp.Or(c.DeadAfter, DefaultDeadAfter)
	c.Configuration = c.Configuration.WithDefaults()
	c.Quarantine = c.Quarantine.WithDefaults()
	c.Quota = c.Quota.WithDefaults()
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.OnRemoved == nil {
		c.OnRemoved = func() {}
	}
	return c
}

// ErrNotLeader is returned by a controller that isn't the leader; nothing was done.
var ErrNotLeader = errors.New("this controller does not lead")

// WithPort returns address with its port replaced by that of portOf; empty if either is
// invalid.
func WithPort(address, portOf string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	_, port, err := net.SplitHostPort(portOf)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// peerAddress returns the peer address of the controller with the given session address.
func (c *Config) peerAddress(session string) string { return WithPort(session, c.PeerListen) }

// sessionAddress returns the session address of the controller with the given peer address.
func (c *Config) sessionAddress(peer string) string { return WithPort(peer, c.SessionListen) }

// founders returns the founding members of the group, and the ID of this controller if it
// is one of them, otherwise zero.
func (c *Config) founders() ([]replica.Peer, topology.ReplicaID) {
	var self topology.ReplicaID
	peers := make([]replica.Peer, 0, len(c.Seeds))
	for i, seed := range c.Seeds {
		id := topology.ReplicaID(i + 1)
		peers = append(peers, replica.Peer{ID: id, Address: c.peerAddress(seed)})
		if seed == c.SessionListen {
			self = id
		}
	}
	return peers, self
}
