package keylease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
)

// lifeWord is one thing that a leader hears of the back end beside node-0.
type lifeWord struct {
	// told is the life; nil is that another leader begins.
	told *fleetwire.Instance
	// vouched says that the gateway vouches for it that earlier lives hold nothing.
	vouched bool
}

// Words of two lives come in any order, late and twice, and the leader changes between. The
// keys of the former life stay with it until they are vouched for, or every lease is over; the
// present life is the one that was told of last, but for late words to one leader.
func TestKeysOfAFormerLifeWhateverTheOrderOfWords(t *testing.T) {
	former, next := instance(0, 0), instance(0, 1)
	gone := instance(0, 0)
	gone.State = fleetwire.InstanceGone
	elected := lifeWord{}
	for name, test := range map[string]struct {
		words []lifeWord
		// freed says that the former life's keys go to others within a moment.
		freed bool
	}{
		"the next life, vouched for":                    {[]lifeWord{{next, true}}, true},
		"the next life, not vouched for":                {[]lifeWord{{next, false}}, false},
		"the next life, vouched for later":              {[]lifeWord{{next, false}, {next, true}}, true},
		"a late word of the former life between":        {[]lifeWord{{next, false}, {former, true}, {next, false}}, false},
		"the same, vouched for at last":                 {[]lifeWord{{next, false}, {former, true}, {next, true}}, true},
		"a new leader hears the next life":              {[]lifeWord{elected, {next, false}}, false},
		"a new leader hears the next life, vouched for": {[]lifeWord{elected, {next, true}}, true},
		"the leader changes before it is vouched for":   {[]lifeWord{{next, false}, elected, {next, false}}, false},
		"the same, vouched for to the new leader":       {[]lifeWord{{next, false}, elected, {next, true}}, true},
		"vouched for to the former leader alone":        {[]lifeWord{{gone, true}, elected, {gone, true}}, false},
		"a new leader hears the former life first":      {[]lifeWord{{next, false}, elected, {former, true}, {next, false}}, false},
		"the same, vouched for":                         {[]lifeWord{{next, false}, elected, {former, true}, {next, true}}, true},
		"one that can't be reached, then the next life": {[]lifeWord{{gone, true}, elected, {next, false}}, false},
		"the leader changes twice":                      {[]lifeWord{{next, true}, elected, elected, {next, true}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLeader()
			other := instance(1, 0)
			l.exchange(6*time.Second, former, other)
			assert.Assert(t, l.keysOf(former) > 0)
			// No batch leaves before all words are heard.
			for _, word := range test.words {
				if word.told == nil {
					l.elect()
					continue
				}
				l.planner.Report(&fleetwire.Report{Boot: 1, Instance: word.told, EarlierOver: word.vouched}, l.now)
			}
			l.exchange(time.Second, other)
			assert.Equal(t, l.keysOf(former) == 0, test.freed)
			l.exchange(2*keylease.DefaultLeaseDuration, other)
			assert.Equal(t, l.keysOf(former), 0, "every lease is over")
		})
	}
}
