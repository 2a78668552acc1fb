package consensus

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzStep passes arbitrary gob-encoded messages to the core. The core may drop
// a message or return an error; it must not panic, and its commit index must not
// decrease.
func FuzzStep(f *testing.F) {
	for _, m := range []Message{
		{Kind: MessageAppend, Term: 2, LogIndex: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryNoop}}},
		{Kind: MessageHeartbeat, Term: 1, Round: 3, Commit: 1, Match: 1},
		{Kind: MessageSnapshot, Term: 3, Snapshot: &Snapshot{Meta: SnapshotMeta{Index: 9, Term: 2}}},
		{Kind: MessageVote, Term: 5, LogIndex: 7, LogTerm: 3, Transfer: true},
		{Kind: MessageRecoveryResponse, Term: 4, Membership: &Membership{}, Round: 1},
		{Kind: MessageAppend, Term: 2, LogIndex: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryMembership, Data: []byte{1, 2}}}},
	} {
		var buffer bytes.Buffer
		assert.NilError(f, gob.NewEncoder(&buffer).Encode(m))
		f.Add(buffer.Bytes(), uint8(0))
	}
	f.Fuzz(func(t *testing.T, content []byte, state uint8) {
		var m Message
		if gob.NewDecoder(bytes.NewReader(content)).Decode(&m) != nil {
			return
		}
		s := newHarness(t, Config{Unproven: state == 1, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryNoop}}, HardState: HardState{Term: 1}})
		for state == 2 && s.core.Role() != PreCandidate {
			s.now += DefaultHeartbeatInterval
			s.core.Tick(s.now)
		}
		m.Group, m.From, m.FromIncarnation = testGroup, 2, testMember(2).Incarnation
		m.To, m.ToIncarnation = 1, testMember(1).Incarnation
		for range 2 {
			commit := s.core.Status().Commit
			if s.core.Step(DefaultElectionTimeout+s.now, m) != nil {
				return
			}
			s.drain()
			assert.Assert(t, s.core.Status().Commit >= commit)
		}
	})
}

func FuzzDecodeMembership(f *testing.F) {
	f.Add(encodeMembership(NewMembership(testMember(1), testMember(2))))
	f.Add([]byte{3, 1, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		membership, err := DecodeMembership(data)
		if err != nil {
			return
		}
		again, err := DecodeMembership(encodeMembership(membership))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, membership)
	})
}
