// Package replica runs one member of a consensus group. It connects the
// consensus core of internal/consensus, which does no I/O, to a clock, a data
// folder and the other members.
//
// The control goroutine owns the core and the state machine; Post runs a
// function on it. A writer goroutine writes and syncs, so that heartbeats
// continue while the disk is slow. Each peer has a sender goroutine. Other
// goroutines read the published Status.
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

// StateMachine applies the commands of the log. All its methods are called on
// the control goroutine, in the order of the log.
type StateMachine interface {
	// Apply applies a command. It must be deterministic: its result may depend
	// only on the state and the arguments.
	Apply(index topology.Revision, command []byte) (result any)
	// Snapshot encodes the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the state with one that Snapshot encoded.
	Restore(data []byte) error
}

// Freezer is a StateMachine that can encode its state in the background.
type Freezer interface {
	// Freeze copies the state. It is called on the control goroutine. The
	// returned function encodes the copy as Snapshot does; it may be called on
	// any goroutine.
	Freeze() (encode func() ([]byte, error))
}

// Peer is an initial member of the group.
type Peer struct {
	ID topology.ReplicaID
	// Address is where the member accepts connections of its peers, "IP:port".
	Address string
}

// Config configures a replica.
type Config struct {
	Group topology.GroupID
	// ID is the ID of this replica among the initial members. It is zero for a
	// replica that joins an existing group, which then assigns its ID.
	ID topology.ReplicaID
	// DataDir is the data folder.
	DataDir string
	// Peers are the initial members, including this replica. The group is
	// bootstrapped once all of them run at the same time. After that the list is
	// only used to find the group. It may be empty in a group of one.
	Peers []Peer
	// Listen is the address on which connections of peers are accepted,
	// "IP:port".
	Listen string
	// Listener replaces Listen if it is set.
	Listener *transport.Listener
	TLS      *tls.Config
	Machine  StateMachine
	// OnTick is called on the control goroutine at each tick.
	OnTick func(now time.Duration, status consensus.Status)
	// OnFailure is called once if the replica has to stop because of an error,
	// such as a failed sync or damaged state. The default logs the error and
	// exits the process.
	OnFailure func(err error)
	Logger    *slog.Logger

	// TickInterval is the tick interval of the core. The default is 10 ms.
	TickInterval time.Duration
	// HeartbeatInterval and ElectionTimeout are those of consensus.Config.
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	// SnapshotEntries is the number of applied entries after which a snapshot is
	// taken. The default is 10,000.
	SnapshotEntries uint64
	// SnapshotBytes is the size of the applied commands after which a snapshot
	// is taken even if there are fewer entries. The size of the last snapshot is
	// used instead if it is larger. So a replica that is far behind never
	// receives more than two to three times the size of the state. The default
	// is 4 MB.
	SnapshotBytes int64
	// RetainEntries is the number of entries before a snapshot that stay in
	// memory, so that a replica that is a few entries behind catches up without
	// the snapshot. The default is 2,000.
	RetainEntries uint64
	// TrustSynced states that the storage either keeps all synced data or loses the whole
	// folder, and never reverts to an older copy. A restarted replica then votes at once, even
	// after a power loss in which another member lost its disk. Otherwise it first has to
	// receive messages from the other members (docs/decisions/003 and 017).
	TrustSynced bool
	// FS is the file system. The default is that of the operating system.
	FS vfs.FS
	// WAL are the options of the write-ahead log.
	WAL wal.Options

	// dial opens connections to peers. The default is transport.Dial.
	dial func(ctx context.Context, address string, options transport.Options) (*transport.Conn, error)
}

// Default values of Config.
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
			c.Logger.Error("replica failed; exiting the process", "error", err)
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
	var errs []error
	if c.DataDir == "" {
		errs = append(errs, errors.New("field DataDir: not set"))
	}
	if c.Listen == "" && c.Listener == nil {
		errs = append(errs, errors.New("field Listen: not set"))
	}
	if c.Machine == nil {
		errs = append(errs, errors.New("field Machine: not set"))
	}
	seen := map[topology.ReplicaID]bool{}
	for position, peer := range c.Peers {
		if peer.ID == 0 || seen[peer.ID] {
			errs = append(errs, fmt.Errorf("field Peers[%d].ID: %d is zero or a duplicate", position, peer.ID))
		}
		seen[peer.ID] = true
	}
	if c.ID != 0 && len(c.Peers) > 0 && !seen[c.ID] {
		errs = append(errs, fmt.Errorf("field ID: %d is not among Peers", c.ID))
	}
	return errors.Join(errs...)
}

// NotLeaderError means that the request must be sent to the leader.
type NotLeaderError struct {
	// Leader is zero if no leader is known.
	Leader topology.ReplicaID
	// LeaderAddress is where the leader accepts connections of peers, "IP:port".
	// It is empty if it is not known.
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
	// ErrOutcomeUnknown means that a proposal may or may not be committed later.
	// It can only be sent again safely if it carries a request ID.
	ErrOutcomeUnknown = errors.New("the outcome of the proposal is not known")
	// ErrNotCommitted means that a proposal was replaced by another leader's
	// entry and will never be committed.
	ErrNotCommitted = errors.New("the proposal was not committed")
	// ErrStopped means that the replica is stopping. Nothing was proposed, unless
	// the error also is ErrOutcomeUnknown.
	ErrStopped = errors.New("the replica is stopped")
	// ErrStillWriting means that Stop returned while a write to the disk was
	// still in progress. The data folder stays open and locked until the process
	// ends.
	ErrStillWriting = errors.New("the disk has not taken a write in time")
	// ErrNotMember means that this replica is not in the group's membership yet.
	ErrNotMember = errors.New("the group has not admitted this replica yet")
)
