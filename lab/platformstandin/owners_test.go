package platformstandin

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// keyScript writes events of lives of one service at times in milliseconds.
type keyScript struct {
	began  time.Time
	owners *Owners
}

func (s *keyScript) at(ms int) time.Time { return s.began.Add(time.Duration(ms) * time.Millisecond) }

func (s *keyScript) note(ms int, kind KeyEventKind, holder string, life int64, first, last uint32) {
	s.owners.Note(KeyEvent{Kind: kind, At: s.at(ms), Service: "keyed", Holder: holder, Life: life, First: first, Last: last})
}

func (s *keyScript) took(ms int, holder string, life int64, first, last uint32, fence uint64, until int, late bool) {
	s.owners.Note(KeyEvent{Kind: TookKeys, At: s.at(ms), Service: "keyed", Holder: holder, Life: life, First: first, Last: last, Fence: fence, Until: s.at(until), Late: late})
}

// Each rule about owners is found broken by what breaks it, and by nothing else.
func TestOwnersAreCheckedFromOutside(t *testing.T) {
	const together, begun, worked, fence = "held the same keys", "both began requests", "still worked on", "under fences not above"
	cases := []struct {
		name   string
		script func(s *keyScript)
		broken []string
	}{
		{"one after the other", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 4000, false)
			s.note(1000, LetKeysGo, "a", 1, 0, 99)
			s.took(1001, "b", 2, 0, 99, 2, 9000, false)
		}, nil},
		{"a lease that ran out", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1000, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
		}, nil},
		{"a life that ended", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 9000, false)
			s.note(500, LifeEnded, "a", 1, 0, 0)
			s.took(501, "b", 2, 0, 99, 2, 9000, false)
		}, nil},
		{"together for half a second", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1500, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
		}, nil},
		{"together for longer", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1501, false)
			s.took(1000, "b", 2, 99, 120, 2, 9000, false)
		}, []string{together}},
		{"together at the end", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 90000, false)
			s.took(1000, "b", 2, 0, 99, 2, 90000, false)
		}, []string{together}},
		{"together until one lets go", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 9000, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
			s.note(1600, LetKeysGo, "a", 1, 0, 99)
		}, []string{together}},
		{"together until one ends", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 9000, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
			s.note(1400, LifeEnded, "a", 1, 0, 0)
		}, nil},
		{"together by renewals", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1200, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
			s.took(1100, "a", 1, 0, 99, 3, 1600, false)
		}, []string{together}},
		{"two lives of one id together", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 9000, false)
			s.took(1000, "a", 2, 0, 99, 1, 9000, false)
		}, []string{together}},
		{"other keys", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 9000, false)
			s.took(0, "b", 2, 100, 199, 1, 9000, false)
		}, nil},
		{"by a grant that was late", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 9000, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, true)
		}, nil},
		{"by a grant in time after a late one", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 9000, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, true)
			s.took(2000, "b", 2, 0, 99, 2, 9000, false)
		}, []string{together}},
		{"both begin on one key", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1200, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
			s.note(1001, BeganRun, "a", 1, 7, 7)
			s.note(1002, BeganRun, "b", 2, 7, 7)
		}, []string{begun}},
		{"both begin on different keys", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1200, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
			s.note(1001, BeganRun, "b", 2, 8, 8)
			s.note(1002, BeganRun, "a", 1, 7, 7)
		}, []string{begun}},
		{"one begins before it is shared", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1200, false)
			s.note(900, BeganRun, "a", 1, 7, 7)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
			s.note(1002, BeganRun, "b", 2, 7, 7)
		}, nil},
		{"one begins after it is shared", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1200, false)
			s.took(1000, "b", 2, 0, 99, 2, 9000, false)
			s.note(1002, BeganRun, "a", 1, 7, 7)
			s.note(1300, BeganRun, "b", 2, 7, 7)
		}, nil},
		{"work goes on", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 4000, false)
			s.note(900, BeganRun, "a", 1, 7, 7)
			s.note(1000, LetKeysGo, "a", 1, 0, 99)
			s.took(1100, "b", 2, 0, 99, 2, 9000, false)
		}, []string{worked}},
		{"work has ended", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 4000, false)
			s.note(900, BeganRun, "a", 1, 7, 7)
			s.note(1000, LetKeysGo, "a", 1, 0, 99)
			s.note(1099, EndedRun, "a", 1, 7, 7)
			s.took(1100, "b", 2, 0, 99, 2, 9000, false)
		}, nil},
		{"work goes on behind its lease", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 1, 1100, false)
			s.note(900, BeganRun, "a", 1, 7, 7)
			s.note(1000, LetKeysGo, "a", 1, 0, 99)
			s.took(1100, "b", 2, 0, 99, 2, 9000, false)
		}, nil},
		{"a fence below the highest of all", func(s *keyScript) {
			s.took(0, "a", 1, 0, 99, 5, 100, false)
			s.took(200, "b", 2, 0, 99, 6, 300, false)
			s.took(400, "a", 1, 0, 99, 7, 500, false)
			s.took(600, "c", 3, 0, 99, 8, 700, false)
			s.took(800, "b", 2, 17, 17, 8, 900, false)
		}, []string{fence}},
		{"a renewal under its own fence", func(s *keyScript) {
			s.took(0, "b", 2, 0, 99, 4, 100, false)
			s.took(200, "a", 1, 0, 99, 5, 1000, false)
			s.took(400, "a", 1, 0, 99, 5, 1200, false)
		}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := &keyScript{time.Now(), NewOwners()}
			test.script(s)
			found := s.owners.Findings(s.at(20000))
			assert.Equal(t, len(found), len(test.broken), "%v", found)
			for i, broken := range test.broken {
				assert.Assert(t, strings.Contains(found[i], broken), "%v", found)
			}
		})
	}
}

// What happened is checked in its own order, whatever order it is told in.
func TestOwnersAreCheckedInTheOrderOfTime(t *testing.T) {
	s := &keyScript{time.Now(), NewOwners()}
	s.took(1001, "b", 2, 0, 99, 2, 9000, false)
	s.note(1000, LetKeysGo, "a", 1, 0, 99)
	s.took(0, "a", 1, 0, 99, 1, 4000, false)
	assert.DeepEqual(t, s.owners.Findings(s.at(5000)), []string(nil))
}
