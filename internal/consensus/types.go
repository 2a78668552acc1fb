package consensus

import (
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// EntryKind says what an entry's data is.
type EntryKind uint8

// Kinds of entries.
const (
	// EntryCommand is a command for the state machine.
	EntryCommand EntryKind = iota + 1
	// EntryNoop begins a leader's term; it has no data.
	EntryNoop
	// EntryMembership holds an encoded Membership, in force once appended.
	EntryMembership
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// HardState must be durable before any message that follows from it is sent.
type HardState struct {
	Term uint64
	// Vote is whom this replica voted for in Term; zero is nobody.
	Vote topology.ReplicaID
	// Commit only spares work after a restart; it need not be synced.
	Commit uint64
}

// SnapshotMeta describes a snapshot of the state machine.
type SnapshotMeta struct {
	// Index and Term of the last entry applied to it.
	Index uint64
	Term  uint64
	// Membership in force at Index.
	Membership Membership
}

// Snapshot is a state machine's encoded state.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// MessageKind says what a message asks or answers.
type MessageKind uint8

// Kinds of messages.
const (
	MessagePreVote MessageKind = iota + 1
	MessagePreVoteAnswer
	MessageVote
	MessageVoteAnswer
	MessageAppend
	MessageAppendAnswer
	MessageHeartbeat
	MessageHeartbeatAnswer
	MessageSnapshot
	MessageTimeoutNow
	MessageRecovery
	MessageRecoveryAnswer
)

// Message passes between two replicas of a group. Replicas are named by
// ReplicaID and Incarnation together; a message for another incarnation is
// dropped.
type Message struct {
	Kind            MessageKind
	Group           topology.GroupID
	From            topology.ReplicaID
	FromIncarnation topology.Incarnation
	To              topology.ReplicaID
	ToIncarnation   topology.Incarnation
	// Run is drawn at the sender's start, to tell its runs apart.
	Run  uint64
	Term uint64
	// LogIndex and LogTerm: the entry before Entries (Append), the last entry
	// (PreVote, Vote), the last entry known to match (AppendAnswer, and
	// HeartbeatAnswer, there perhaps not yet durable), or where the logs may
	// still match (refused AppendAnswer).
	LogIndex uint64
	LogTerm  uint64
	Entries  []Entry
	// Commit is the sender's commit index, as far as the receiver may use it.
	Commit uint64
	// Refused is set on answers. Rejected is then the LogIndex refused.
	Refused  bool
	Rejected uint64
	// Round numbers a leader's heartbeats within its term, and the pre-votes of one
	// process; answers return it. A RecoveryAnswer returns the Run of what it answers.
	Round uint64
	// Match is, on a Heartbeat, what the receiver has acknowledged in this term;
	// on its answer, up to where the log is durable and known to match the
	// leader's, as in an AppendAnswer, which may have been lost.
	Match uint64
	// SinceLeader is, on a VoteAnswer, how long ago the voter last heard a leader
	// or led itself.
	SinceLeader time.Duration
	// Transfer marks a vote that the present leader asked for, Unled one that rests on
	// no member's process having led or heard a leader.
	Transfer bool
	Unled    bool
	// UpFor is, on a PreVoteAnswer, for how long the sender's process has run, if it has
	// neither led nor heard a leader, and would vote for the candidate but for what an
	// earlier process may have promised; else zero.
	UpFor time.Duration
	// Snapshot is set on MessageSnapshot. The core leaves Data empty; the
	// driver fills it when it sends.
	Snapshot *Snapshot
	// Membership is set on RecoveryAnswer: the newest that the sender holds, of
	// the entry at index Commit.
	Membership *Membership
}

// wellFormed reports whether the fields fit the kind.
func (m *Message) wellFormed() bool {
	if m.Kind < MessagePreVote || m.Kind > MessageRecoveryAnswer || m.From == 0 || m.From == m.To {
		return false
	}
	switch m.Kind {
	case MessageSnapshot:
		return m.Snapshot != nil && m.Snapshot.Meta.Index > 0
	case MessageRecoveryAnswer:
		return m.Membership != nil
	}
	for position, entry := range m.Entries {
		if entry.Index != m.LogIndex+uint64(position)+1 || entry.Term > m.Term || entry.Kind < EntryCommand || entry.Kind > EntryMembership {
			return false
		}
	}
	return true
}

// ReadState ends a ReadIndex request.
type ReadState struct {
	Token uint64
	// Index must be applied before the read is answered.
	Index uint64
	// Failed is set where leadership ended before it was confirmed.
	Failed bool
}

// Ready is the work that the driver must do, in this order: send Early; write
// Snapshot, HardState and Entries and sync them; send Messages;
// apply Committed; answer Reads; call Advance. Where Entries cannot be written
// for want of space, the driver clears them before Advance and they are
// offered again.
type Ready struct {
	// Early messages depend on nothing unsynced and may be sent at once.
	Early []Message
	// HardState is set where anything is to be written; then all of it is
	// synced.
	HardState *HardState
	// Entries follow the log's durable part; the first replaces what the log
	// held at its index and after.
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
	ErrCommittedConflict = errors.New("a leader replaces an entry that is committed here")
	// ErrOlderCopy says that this replica's disk held more than it does now: it
	// was replaced by an older copy, or its end was damaged. It must not take
	// part under this identity any more.
	ErrOlderCopy  = errors.New("the disk holds less than this replica has acknowledged")
	ErrTwoLeaders = errors.New("another replica leads in this replica's own term")
)

// ChangeError says why a membership change is refused.
type ChangeError struct {
	Change Change
	Reason string
}

// Error implements error.
func (e *ChangeError) Error() string {
	return fmt.Sprintf("membership change %s of replica %d: %s", e.Change.Kind, e.Change.Member.ID, e.Reason)
}

// Config is what a Core starts from.
type Config struct {
	Group       topology.GroupID
	ID          topology.ReplicaID
	Incarnation topology.Incarnation
	// HardState, Snapshot and Entries are what was durable. Entries are
	// consecutive and follow Snapshot.Index, or overlap it.
	HardState HardState
	Snapshot  SnapshotMeta
	Entries   []Entry
	// Unproven says that the disk may be an older copy, or may lack its end. The
	// replica then takes no part in elections until all other voters have told
	// what they hold; see recovery.go.
	Unproven bool
	// Now is the monotonic time at start. Until Now+ElectionTimeout the
	// replica refuses votes, because it may have promised a leader so, unless all members
	// have started anew (unled.go).
	Now time.Duration
	// HeartbeatInterval between a leader's heartbeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the least time without a leader before an election;
	// the time waited is drawn from [ElectionTimeout, 2*ElectionTimeout).
	ElectionTimeout time.Duration
	// MaxClockDrift bounds how much faster one replica's clock runs than
	// another's, as a part of one. The leader lease is shorter by it.
	MaxClockDrift float64
	// MaxAppendBytes bounds the data of one Append.
	MaxAppendBytes int
	// MaxInflightAppends and MaxInflightBytes bound what is sent to a replica
	// and not yet acknowledged.
	MaxInflightAppends int
	MaxInflightBytes   int
	// MaxUncommittedBytes bounds what is proposed and not yet committed.
	MaxUncommittedBytes int
	// Seed of the election times.
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
		findings = append(findings, errors.New("field ID: zero names no replica"))
	}
	if c.Incarnation == 0 {
		findings = append(findings, errors.New("field Incarnation: zero names no data folder"))
	}
	if c.ElectionTimeout < 2*c.HeartbeatInterval {
		findings = append(findings, fmt.Errorf("field ElectionTimeout: %v is less than two heartbeat intervals of %v", c.ElectionTimeout, c.HeartbeatInterval))
	}
	if c.MaxClockDrift < 0 || c.MaxClockDrift >= 0.5 {
		findings = append(findings, fmt.Errorf("field MaxClockDrift: %v is not in [0, 0.5)", c.MaxClockDrift))
	}
	return errors.Join(findings...)
}
