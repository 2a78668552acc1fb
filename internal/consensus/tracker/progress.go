// Package tracker follows, at a leader, how far each other replica's log is
// known to match and what has been sent to it.
package tracker

import "time"

// State is how a leader sends entries to a replica.
type State uint8

// States of a Progress.
const (
	// Probe sends one Append at a time, until one is accepted.
	Probe State = iota
	// Replicate sends ahead, within the window.
	Replicate
	// Snapshot waits for a snapshot to be installed.
	Snapshot
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"probe", "replicate", "snapshot"}[s]
}

// Window bounds what is sent ahead.
type Window struct {
	Appends int
	Bytes   int
}

// Progress is what a leader knows of one replica.
type Progress struct {
	State State
	// Match is the last index that the replica acknowledged as durable.
	Match uint64
	// Next is the index to send next.
	Next uint64
	// ProbeSent is set in Probe while an Append is not answered.
	ProbeSent bool
	// SnapshotIndex is that of the snapshot being sent, in Snapshot.
	SnapshotIndex uint64
	// SnapshotSentAt is when the snapshot was last sent.
	SnapshotSentAt time.Duration
	// Round is the last heartbeat round that the replica answered.
	Round uint64
	// HeardAt is when the replica last answered; zero is never.
	HeardAt time.Duration

	// probe is the Append of ProbeSent.
	probe         sent
	inflight      []sent
	inflightBytes int
}

type sent struct {
	last  uint64
	bytes int
	round uint64
}

// New returns the progress of a replica of which nothing is known.
func New(lastIndex uint64) *Progress {
	return &Progress{Next: lastIndex + 1}
}

// Paused reports whether nothing may be sent for now.
func (p *Progress) Paused(window Window) bool {
	switch p.State {
	case Probe:
		return p.ProbeSent
	case Replicate:
		return len(p.inflight) >= window.Appends || p.inflightBytes >= window.Bytes
	}
	return true
}

// Sent notes an Append of entries up to last, sent after a heartbeat round.
func (p *Progress) Sent(last uint64, bytes int, round uint64) {
	switch p.State {
	case Probe:
		p.ProbeSent = true
		p.probe = sent{last, bytes, round}
	case Replicate:
		p.Next = last + 1
		p.inflight = append(p.inflight, sent{last, bytes, round})
		p.inflightBytes += bytes
	}
}

// Acknowledged notes that the replica's log matches up to index. It returns
// false where that was known.
func (p *Progress) Acknowledged(index uint64) bool {
	p.release(index)
	known := index <= p.Match
	p.Match = max(p.Match, index)
	p.Next = max(p.Next, index+1)
	if p.State == Probe || (p.State == Snapshot && p.Match >= p.SnapshotIndex) {
		p.enter(Replicate)
		p.Next = p.Match + 1
	}
	return !known
}

// Rejected notes a refusal of an Append that followed index; hint is where the
// logs may still match. It returns false where the refusal is out of date.
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

// BeginSnapshot notes that a snapshot up to index is sent.
func (p *Progress) BeginSnapshot(index uint64, now time.Duration) {
	p.enter(Snapshot)
	p.SnapshotIndex = index
	p.SnapshotSentAt = now
}

// Unreachable notes that messages may have been lost.
func (p *Progress) Unreachable() {
	if p.State != Replicate {
		return
	}
	p.enter(Probe)
	p.Next = p.Match + 1
}

// Lost reports whether an Append was lost, or forgotten by a restart: the
// replica answered a heartbeat that was sent after it, and does not know its
// log to match up to the Append's last entry.
func (p *Progress) Lost(answeredRound, matched uint64) bool {
	return len(p.inflight) > 0 && p.inflight[0].round < answeredRound && matched < p.inflight[0].last
}

// AbandonSnapshot gives up waiting for a snapshot to be installed.
func (p *Progress) AbandonSnapshot() {
	p.enter(Probe)
	p.Next = p.Match + 1
}

// RetryProbe allows the next Append of a Probe where the last one was lost:
// the replica answered a heartbeat that was sent after it, and does not know
// its log to match up to it. A slow disk alone is not waited on with copies.
func (p *Progress) RetryProbe(answeredRound, matched uint64) {
	if p.probe.round < answeredRound && (matched < p.probe.last || p.probe.last == 0) {
		p.ProbeSent = false
	}
}

// InflightBytes is what was sent and is not acknowledged.
func (p *Progress) InflightBytes() int { return p.inflightBytes }

func (p *Progress) enter(state State) {
	p.State = state
	p.ProbeSent = false
	p.inflight = nil
	p.inflightBytes = 0
}

func (p *Progress) release(index uint64) {
	released := 0
	for released < len(p.inflight) && p.inflight[released].last <= index {
		p.inflightBytes -= p.inflight[released].bytes
		released++
	}
	p.inflight = p.inflight[released:]
}
