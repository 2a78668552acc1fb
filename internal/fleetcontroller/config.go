// Package fleetcontroller is the controller of a fleet of gateways: a member
// of the group that replicates the configuration and the owners of keys. The
// member that leads answers the gateways' reports with leases, sends them what
// they route by, and moves keys.
//
// # Goroutines
//
// The replica's control goroutine owns the state and the planner; everything
// else reaches them by Post. Each session has a goroutine that receives and one
// that sends; the sender reads published views only and sends what has changed
// since its last message, so that a slow gateway costs nothing and catches up
// with one message.
//
// # The group heals itself
//
// A controller with an empty folder asks the others for admission until the
// leader has made it a voter (join.go). The leader removes a member that lost
// its disk when its successor asks, and one that has been silent for long while
// all others answer (members.go).
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
	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Config of a controller. Zero durations take the defaults.
type Config struct {
	Group topology.GroupID
	// Name of the process in logs.
	Name string
	// DataDir is the data folder.
	DataDir string
	// PeerListen takes connections of other controllers and SessionListen those
	// of gateways, "IP:port". All controllers of a group use the same two port
	// numbers.
	PeerListen    string
	SessionListen string
	// Founding says that this is the first start of the whole group, whose first
	// members are Seeds.
	Founding bool
	// Seeds are the session addresses of some controllers.
	Seeds []string
	// Zones are those of the fleet; no other can be evacuated.
	Zones []string

	// HeartbeatInterval, ElectionTimeout and TickInterval of the group.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	TickInterval      time.Duration
	// DeadAfter is when a silent member is removed, if all others answer.
	DeadAfter time.Duration

	Planner keylease.Config
	// Configuration says by when a configuration is in force everywhere.
	Configuration configlease.Terms
	// Quarantine says for how long requests under which back ends have ended wait.
	Quarantine quarantine.Terms
	Log        *slog.Logger
	// Registry takes the metrics; nil shows them nowhere.
	Registry prometheus.Registerer
	// OnExpelled is called when the group has removed this member; its folder
	// has been emptied and the process must start anew.
	OnExpelled func()
}

// Defaults of Config.
const (
	// DefaultHeartbeatInterval and DefaultElectionTimeout: a processor with a quota
	// may stand still for a tenth of a second, at the leader and at a follower, and a
	// new leader hears all gateways at once.
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
	if c.Registry == nil {
		c.Registry = prometheus.NewRegistry()
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.OnExpelled == nil {
		c.OnExpelled = func() {}
	}
	return c
}

// ErrNotLeader: this controller does not lead; nothing was done.
var ErrNotLeader = errors.New("this controller does not lead")

// WithPort returns the address of the same host at the port of another address.
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

// peerAddress returns where the controller with a session address takes
// connections of peers.
func (c *Config) peerAddress(session string) string { return WithPort(session, c.PeerListen) }

// sessionAddress returns where the controller with a peer address takes
// sessions.
func (c *Config) sessionAddress(peer string) string { return WithPort(peer, c.SessionListen) }

// founders returns the first members and this one's ID among them, zero where
// it is none.
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
