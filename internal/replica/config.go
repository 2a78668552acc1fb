// Package replica runs one member of a consensus group: it drives the pure
// core of internal/consensus with a clock, a data folder and connections to
// the other members.
//
// One goroutine, the control goroutine, owns the core and the state machine;
// Post runs a function on it. A writer goroutine writes and syncs, so that
// heartbeats go on while a disk is slow, and one goroutine for each peer
// sends. Other goroutines read the published Status.
package replica

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/storage/wal"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// StateMachine is what the log's commands drive. All calls come from the
// control goroutine, in the log's order.
type StateMachine interface {
	// Apply runs a command. It must depend on nothing but the state and its
	// arguments.
	Apply(index topology.Revision, command []byte) (result any)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Freezer is a StateMachine that can encode its state in the background.
type Freezer interface {
	// Freeze copies the state, on the control goroutine. The result encodes the
	// copy as Snapshot does, on any goroutine.
	Freeze() (encode func() ([]byte, error))
}

// Peer is a founding member of the group.
type Peer struct {
	ID topology.ReplicaID
	// Address takes connections of peers, "IP:port".
	Address string
}

// Config of a replica.
type Config struct {
	Group topology.GroupID
	// ID is this replica's among the founding members; zero for a replica
	// that joins an existing group and is given its ID by it.
	ID topology.ReplicaID
	// DataDir is the data folder.
	DataDir string
	// Peers are the founding members, this one included. All must be up once,
	// together, for the group to be founded; later the list only helps to
	// find the group. A single member may leave the list empty.
	Peers []Peer
	// Listen is where connections of peers are accepted, "IP:port".
	Listen string
	// Listener is used in place of Listen where it is set.
	Listener *transport.Listener
	TLS      *tls.Config
	Machine  StateMachine
	// OnTick is called on the control goroutine at each tick.
	OnTick func(now time.Duration, status consensus.Status)
	// OnFailure is called once when the replica cannot go on: a sync failed or
	// the state is damaged. The default logs and ends the process.
	OnFailure func(err error)
	Logger    *slog.Logger

	// TickInterval of the core; default 10 ms.
	TickInterval time.Duration
	// HeartbeatInterval and ElectionTimeout as in consensus.Config.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotEntries is after how many applied entries a snapshot is taken;
	// default 10,000.
	SnapshotEntries uint64
	// SnapshotBytes is after how many bytes of applied commands a snapshot is
	// taken at the latest, or after as many as the last snapshot had, if those
	// are more; default 4 MB. A replica that missed much so never receives more
	// than two to three times the state.
	SnapshotBytes int64
	// RetainEntries before a snapshot stay in memory, so that a replica that
	// missed few changes catches up without the snapshot; default 2,000.
	RetainEntries uint64
	// TrustSynced says that the storage either keeps all that was synced or
	// loses the whole folder, and never comes back as an older copy. A restart
	// then votes at once, also after a loss of power with another member's disk
	// lost; otherwise it asks the others first (docs/decisions/003 and 017).
	TrustSynced bool
	// FS is the file system; default the operating system's.
	FS vfs.FS
	// WAL options of the log's segments.
	WAL wal.Options

	// dial opens connections to peers; the default is transport.Dial.
	dial func(ctx context.Context, address string, options transport.Options) (*transport.Conn, error)
}

// Defaults of Config.
const (
	DefaultTickInterval    = 10 * time.Millisecond
	DefaultSnapshotEntries = 10_000
	DefaultSnapshotBytes   = 4 << 20
	DefaultRetainEntries   = 2_000
)

func (c Config) withDefaults() Config {
	if c.TickInterval == 0 {
		c.TickInterval = DefaultTickInterval
	}
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = DefaultSnapshotEntries
	}
	if c.SnapshotBytes == 0 {
		c.SnapshotBytes = DefaultSnapshotBytes
	}
	if c.RetainEntries == 0 {
		c.RetainEntries = DefaultRetainEntries
	}
	if c.FS == nil {
		c.FS = vfs.OS{}
	}
	if c.Logger == nil {
		c.Logger = slog.Default()
	}
	if c.OnFailure == nil {
		c.OnFailure = func(err error) {
			c.Logger.Error("control state cannot go on; ending the process", "error", err)
			os.Exit(1)
		}
	}
	if c.dial == nil {
		c.dial = transport.Dial
	}
	if c.OnTick == nil {
		c.OnTick = func(time.Duration, consensus.Status) {}
	}
	return c
}

func (c Config) validate() error {
	var findings []error
	if c.DataDir == "" {
		findings = append(findings, errors.New("field DataDir: not given"))
	}
	if c.Listen == "" && c.Listener == nil {
		findings = append(findings, errors.New("field Listen: not given"))
	}
	if c.Machine == nil {
		findings = append(findings, errors.New("field Machine: not given"))
	}
	seen := map[topology.ReplicaID]bool{}
	for position, peer := range c.Peers {
		if peer.ID == 0 || seen[peer.ID] {
			findings = append(findings, fmt.Errorf("field Peers[%d].ID: %d is zero or stands twice", position, peer.ID))
		}
		seen[peer.ID] = true
	}
	if c.ID != 0 && len(c.Peers) > 0 && !seen[c.ID] {
		findings = append(findings, fmt.Errorf("field ID: %d is not among Peers", c.ID))
	}
	return errors.Join(findings...)
}

// NotLeaderError says that the request must go to the leader.
type NotLeaderError struct {
	// Leader is zero where none is known.
	Leader topology.ReplicaID
	// LeaderAddress takes connections of peers, "IP:port"; empty where it is
	// not known.
	LeaderAddress string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == 0 {
		return "not the leader, and no leader is known"
	}
	return fmt.Sprintf("not the leader; replica %d at %s is", e.Leader, e.LeaderAddress)
}

// Errors of requests to a replica.
var (
	// ErrOutcomeUnknown says that a proposal may or may not be committed
	// later. A resend needs a request id.
	ErrOutcomeUnknown = errors.New("the outcome of the proposal is not known")
	// ErrNotCommitted says that a proposal was replaced by another leader's
	// entry and will never be committed.
	ErrNotCommitted = errors.New("the proposal was not committed")
	// ErrStopped says that the replica is stopping; nothing was proposed.
	ErrStopped = errors.New("the replica is stopped")
	// ErrStillWriting says that a stop was given up while the disk had not taken
	// a write. The data folder stays open and locked until the process ends.
	ErrStillWriting = errors.New("the disk has not taken a write in time")
	// ErrNotMember says that no membership names this replica yet.
	ErrNotMember = errors.New("the group has not admitted this replica yet")
)
