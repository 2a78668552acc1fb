// Package tracker records, at a leader, how far each other replica's log is known
// to match and what has been sent to that replica.
package tracker

import "time"

// State is the mode in which a leader sends entries to a replica.
type State uint8

// States of a Progress.
const (
	// Probe sends one Append at a time, until one is accepted.
	Probe State = iota
	// Replicate sends Appends without waiting for responses, within the window.
	Replicate
	// Snapshot waits for a snapshot to be installed.
	Snapshot
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"probe", "replicate", "snapshot"}[s]
}

// Window bounds the Appends that are sent and not yet acknowledged.
type Window struct {
	Appends int
	Bytes   int
}

// Progress is what a leader knows about one replica's log.
type Progress struct {
	State State
	// Match is the last index that the replica acknowledged as durable.
	Match uint64
	// Next is the index to send next.
	Next uint64
	// ProbeSent is set in Probe while an Append is unanswered.
	ProbeSent bool
	// SnapshotIndex is, in Snapshot, the index of the snapshot being sent.
	SnapshotIndex uint64
	// SnapshotSentAt is when the snapshot was last sent.
	SnapshotSentAt time.Duration
	// Round is the last heartbeat round that the replica answered.
	Round uint64
	// HeardAt is when the replica last answered; zero if never.
	HeardAt time.Duration

	// probe is the Append to which ProbeSent refers.
	probe         inflightAppend
	inflight      []inflightAppend
	inflightBytes int
}

type inflightAppend struct {
	lastIndex uint64
	bytes     int
	round     uint64
}

// New returns the progress of a replica about which nothing is known yet.
func New(lastIndex uint64) *Progress {
	return &Progress{Next: lastIndex + 1}
}

// Paused reports whether no Append may be sent for now.
func (p *Progress) Paused(window Window) bool {
	switch p.State {
	case Probe:
		return p.ProbeSent
	case Replicate:
		return len(p.inflight) >= window.Appends || p.inflightBytes >= window.Bytes
	}
	return true
}

// Sent records that an Append of entries up to last was sent after the given
// heartbeat round.
func (p *Progress) Sent(last uint64, bytes int, round uint64) {
	switch p.State {
	case Probe:
		p.ProbeSent = true
		p.probe = inflightAppend{last, bytes, round}
	case Replicate:
		p.Next = last + 1
		p.inflight = append(p.inflight, inflightAppend{last, bytes, round})
		p.inflightBytes += bytes
	}
}

// Acknowledged records that the replica's log is durable and matches up to index.
// It returns false if that was already known.
func (p *Progress) Acknowledged(index uint64) bool {
	p.releaseInflight(index)
	known := index <= p.Match
	p.Match = max(p.Match, index)
	p.Next = max(p.Next, index+1)
	if p.State == Probe || (p.State == Snapshot && p.Match >= p.SnapshotIndex) {
		p.enter(Replicate)
		p.Next = p.Match + 1
	}
	return !known
}

// Rejected records that an Append after index was refused; hint is the last index
// at which the logs may match. It returns false if the refusal is stale.
func (p *Progress) Rejected(index, hint uint64) bool {
	if p.State == Replicate {
		if index <= p.Match {
			return false
		}
		p.enter(Probe)
		p.Next = p.Match + 1
		return true
	}
	if p.State != Probe || index != p.Next-1 {
		return false
	}
	p.Next = max(min(index, hint+1), p.Match+1)
	p.ProbeSent = false
	return true
}

// BeginSnapshot records that a snapshot up to index is being sent.
func (p *Progress) BeginSnapshot(index uint64, now time.Duration) {
	p.enter(Snapshot)
	p.SnapshotIndex = index
	p.SnapshotSentAt = now
}

// FallBackToProbe goes back from Replicate to Probe, because messages may have
// been lost.
func (p *Progress) FallBackToProbe() {
	if p.State != Replicate {
		return
	}
	p.enter(Probe)
	p.Next = p.Match + 1
}

// AppendLost reports whether the oldest Append in flight was lost, or forgotten
// because the replica restarted: the replica answered a heartbeat that was sent
// after that Append, and reports a match that is short of its last entry.
func (p *Progress) AppendLost(answeredRound, matched uint64) bool {
	return len(p.inflight) > 0 && p.inflight[0].round < answeredRound && matched < p.inflight[0].lastIndex
}

// AbandonSnapshot stops waiting for a snapshot to be installed.
func (p *Progress) AbandonSnapshot() {
	p.enter(Probe)
	p.Next = p.Match + 1
}

// RetryProbe allows the next Append in Probe if the last one was lost: the
// replica answered a heartbeat that was sent after it, and reports a match that
// is short of its last entry. A replica that is only slow to write is not sent
// duplicates.
func (p *Progress) RetryProbe(answeredRound, matched uint64) {
	if p.probe.round < answeredRound && (matched < p.probe.lastIndex || p.probe.lastIndex == 0) {
		p.ProbeSent = false
	}
}

// InflightBytes returns the number of bytes sent and not yet acknowledged.
func (p *Progress) InflightBytes() int { return p.inflightBytes }

func (p *Progress) enter(state State) {
	p.State = state
	p.ProbeSent = false
	p.inflight = nil
	p.inflightBytes = 0
}

func (p *Progress) releaseInflight(index uint64) {
	released := 0
	for released < len(p.inflight) && p.inflight[released].lastIndex <= index {
		p.inflightBytes -= p.inflight[released].bytes
		released++
	}
	p.inflight = p.inflight[released:]
}
