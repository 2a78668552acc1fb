package consensus

import (
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// EntryKind tells how an entry's data is interpreted.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand is a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop is the first entry of a leader's term. It has no data.
	EntryNoop
	// EntryMembership holds an encoded Membership, which takes effect when it
	// is appended.
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState is a replica's persistent state apart from its log. It must be
// durable before any message that depends on it is sent.
type HardState struct {
	Term uint64
	// Vote is the candidate that this replica voted for in Term; zero if none.
	Vote topology.ReplicaID
	// Commit only saves work after a restart and need not be synced.
	Commit uint64
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	// Index and Term are those of the last entry that the snapshot covers.
	Index uint64
	Term  uint64
	// Membership is the one in effect at Index.
	Membership Membership
}

// Snapshot is the encoded state of a state machine.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageKind is the type of a request or response between replicas.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageAppend
	MessageAppendResponse
	MessageHeartbeat
	MessageHeartbeatResponse
	MessageSnapshot
	MessageTimeoutNow
	MessageRecovery
	MessageRecoveryResponse
)

// Message is sent from one replica of a group to another. A replica is
// identified by its ReplicaID and Incarnation together; a message for another
// incarnation is dropped.
type Message struct {
	Kind            MessageKind
	Group           topology.GroupID
	From            topology.ReplicaID
	FromIncarnation topology.Incarnation
	To              topology.ReplicaID
	ToIncarnation   topology.Incarnation
	// Run identifies the sender's process: a random number drawn at its start.
	Run  uint64
	Term uint64
	// LogIndex and LogTerm identify a log entry: the one before Entries
	// (Append), the sender's last one (PreVote, Vote), the last durable one
	// (Recovery), the end of the log that counts for recovery
	// (RecoveryResponse), or the last one at which the logs may still match
	// (refused AppendResponse). An accepted AppendResponse and a
	// HeartbeatResponse set only LogIndex, to the last index known to match the
	// leader's log; in a HeartbeatResponse it need not be durable yet.
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	// Commit is the sender's commit index, on a Heartbeat limited to the entries
	// that the receiver is known to hold.
	Commit uint64
	// Refused marks a response that refuses the request. On an AppendResponse,
	// Rejected is then the LogIndex of the refused request.
	Refused  bool
	Rejected uint64
	// Round numbers a leader's heartbeats within its term, and the pre-vote
	// rounds of one process; responses return it. A RecoveryResponse instead
	// returns the Run of its request.
	Round uint64
	// Match is, on a Heartbeat, the last index that the receiver has
	// acknowledged in this term. On a HeartbeatResponse it is the last index
	// that is durable and known to match the leader's log; it repeats the
	// acknowledgement of an AppendResponse that may have been lost.
	Match uint64
	// SinceLeader is, on a VoteResponse, how long ago the voter last heard a
	// leader or led itself.
	SinceLeader time.Duration
	// Transfer marks a vote request of an election that the current leader asked
	// for. Unled marks one of a cold-start election: no member has led or heard
	// a leader since its process started (coldstart.go).
	Transfer bool
	Unled    bool
	// UpFor is, on a PreVoteResponse, how long the sender's process has run, if
	// that process has neither led nor heard a leader and would vote for the
	// candidate, apart from a lease that an earlier process of the sender may
	// have granted. Otherwise it is zero.
	UpFor time.Duration
	// Snapshot is set on MessageSnapshot. The core leaves its Data empty; the
	// driver fills it in on sending.
	Snapshot *Snapshot
	// Membership is set on a RecoveryResponse: the newest membership in the
	// sender's log, from the entry at index Commit.
	Membership *Membership
}

// wellFormed reports whether the fields are consistent with the kind.
func (m *Message) wellFormed() bool {
	if m.Kind < MessagePreVote || m.Kind > MessageRecoveryResponse || m.From == 0 || m.From == m.To {
		return false
	}
	switch m.Kind {
	case MessageSnapshot:
		return m.Snapshot != nil && m.Snapshot.Meta.Index > 0
	case MessageRecoveryResponse:
		return m.Membership != nil
	}
	for position, entry := range m.Entries {
		if entry.Index != m.LogIndex+uint64(position)+1 || entry.Term > m.Term || entry.Kind < EntryCommand || entry.Kind > EntryMembership {
			return false
		}
	}
	return true
}

// ReadState is the result of a ReadIndex request.
type ReadState struct {
	Token uint64
	// Index is the log index that must be applied before the read is served.
	Index uint64
	// Failed is set if the replica lost leadership before it was confirmed.
	Failed bool
}

// Ready is the work that the driver must do, in this order: send Early; write
// Snapshot, HardState and Entries and sync them; send Messages; apply
// Committed; serve Reads; call Advance. If the disk has no space for Entries,
// the driver clears them before it calls Advance, and a later Ready returns
// them again.
type Ready struct {
	// Early messages do not depend on unsynced writes and may be sent at once.
	Early []Message
	// HardState is set if anything is to be written; all of it is then synced.
	HardState *HardState
	// Entries follow the durable part of the log. The first one replaces the
	// stored entry at its index and all after it.
	Entries []Entry
	// Snapshot replaces the log and the state machine's state.
	Snapshot  *Snapshot
	Messages  []Message
	Committed []Entry
	Reads     []ReadState
}

// Errors of Propose, ProposeMembership, ReadIndex and Step.
var (
	ErrNotLeader         = errors.New("this replica is not the leader")
	ErrTransferring      = errors.New("leadership is being transferred")
	ErrTooMuchInFlight   = errors.New("too many bytes are proposed and not yet committed")
	ErrChangeInProgress  = errors.New("another membership change is not yet committed")
	ErrTermNotCommitted  = errors.New("the leader has not yet committed an entry of its term")
	ErrNotCaughtUp       = errors.New("the learner does not yet hold all that is committed")
	ErrCommittedConflict = errors.New("the leader's log conflicts with a committed entry")
	// ErrOlderCopy means that this replica's disk held more than it does now: it
	// was replaced by an older copy, or the end of the log was damaged. The
	// replica must no longer take part under this identity.
	ErrOlderCopy  = errors.New("the disk holds less than this replica has acknowledged")
	ErrTwoLeaders = errors.New("two leaders in one term")
)

// ChangeError is returned for a membership change that is refused.
type ChangeError struct {
	Change Change
	Reason string
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change %s of replica %d: %s", e.Change.Kind, e.Change.Member.ID, e.Reason)
}

// Config holds the settings and the durable state from which a Core starts.
type Config struct {
	Group       topology.GroupID
	ID          topology.ReplicaID
	Incarnation topology.Incarnation
	// HardState, Snapshot and Entries are the durable state. Entries are
	// consecutive; the first index is at most Snapshot.Index+1.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
	// Unproven means that the disk may be an older copy, or may have lost the
	// end of the log. The replica then takes no part in elections until all
	// other voters have reported their state; see recovery.go.
	Unproven bool
	// Now is the monotonic time at start. Until Now+ElectionTimeout the replica
	// refuses votes, because it may have granted a leader lease before its
	// restart, unless all members have restarted (coldstart.go).
	Now time.Duration
	// HeartbeatInterval is the time between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest time without a leader before an election;
	// the actual time is drawn from [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// MaxClockDrift bounds how much faster one replica's clock runs than
	// another's, as a fraction. The leader lease is shortened by it.
	MaxClockDrift float64
	// MaxAppendBytes bounds the data of one Append.
	MaxAppendBytes int
	// MaxInflightAppends and MaxInflightBytes bound what is sent to one replica
	// and not yet acknowledged.
	MaxInflightAppends int
	MaxInflightBytes   int
	// MaxUncommittedBytes bounds the data that is proposed and not yet committed.
	MaxUncommittedBytes int
	// Seed of the random numbers: election timeouts and the run number.
	Seed uint64
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval   = 50 * time.Millisecond
	DefaultElectionTimeout     = 300 * time.Millisecond
	DefaultMaxClockDrift       = 0.02
	DefaultMaxAppendBytes      = 256 << 10
	DefaultMaxInflightAppends  = 64
	DefaultMaxInflightBytes    = 1 << 20
	DefaultMaxUncommittedBytes = 16 << 20
)

func (c Config) withDefaults() Config {
	setDefault(&c.HeartbeatInterval, DefaultHeartbeatInterval)
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflightAppends, DefaultMaxInflightAppends)
	setDefault(&c.MaxInflightBytes, DefaultMaxInflightBytes)
	setDefault(&c.MaxUncommittedBytes, DefaultMaxUncommittedBytes)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (c Config) validate() error {
	var findings []error
	if c.ID == 0 {
		findings = append(findings, errors.New("field ID: must not be zero"))
	}
	if c.Incarnation == 0 {
		findings = append(findings, errors.New("field Incarnation: must not be zero"))
	}
	if c.ElectionTimeout < 2*c.HeartbeatInterval {
		findings = append(findings, fmt.Errorf("field ElectionTimeout: %v is less than two heartbeat intervals of %v", c.ElectionTimeout, c.HeartbeatInterval))
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift >= 0.5 {
		findings = append(findings, fmt.Errorf("field MaxClockDrift: %v is not in [0, 0.5)", c.MaxClockDrift))
	}
	return errors.Join(findings...)
}
