package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/quarantine"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
)

// numbered is the digest of a request of a number.
func numbered(number int) quarantine.Digest {
	return quarantine.Digest{byte(number >> 8), byte(number)}
}

var (
	cause    = numbered(1)
	innocent = numbered(2)
)

// history applies changes under rising log indices.
type history struct {
	quarantine.Set
	index uint64
	lives int
}

func (h *history) apply(change quarantine.Change) bool {
	h.index++
	return h.Apply(h.index, &change)
}

// ends ends one more life under some requests.
func (h *history) ends(requests ...quarantine.Digest) {
	h.lives++
	h.apply(quarantine.Change{Ended: []quarantine.Ended{{Life: fmt.Sprint("life-", h.lives), Service: "s", Requests: requests}}})
}

// ask asks for a trial and reports whether one was granted to the gateway.
func (h *history) ask(request quarantine.Digest, node string) bool {
	return h.apply(quarantine.Change{Asked: []quarantine.Asked{{Request: request, Node: node, Boot: 1}}})
}

// over ends the present trial of a request.
func (h *history) over(request quarantine.Digest, sent, failed bool) {
	h.apply(quarantine.Change{Over: []quarantine.Over{{Request: request, Number: h.Find(request).Trial.Number, Sent: sent, Failed: failed}}})
}

// lose ends the present trial of a request without its gateway's word.
func (h *history) lose(request quarantine.Digest) {
	h.apply(quarantine.Change{Over: []quarantine.Over{{Request: request, Number: h.Find(request).Trial.Number, Lost: true}}})
}

// A request that ends each back end that begins it is held back after the third.
func TestTheCauseIsHeldBackAfterThreeEnds(t *testing.T) {
	var h history
	h.ends(cause, innocent)
	for range 2 {
		assert.Assert(t, h.ask(cause, "a"))
		assert.Assert(t, !h.ask(cause, "b"), "one at a time")
		h.ends(cause)
	}
	assert.Equal(t, h.Find(cause).Ends, quarantine.ManyEnds)
	assert.Assert(t, h.Find(cause).Held())
	assert.Assert(t, !h.ask(cause, "a"))
	assert.Assert(t, !h.Find(innocent).Held())
}

// One whole answer clears a request, and the others that were at work beside it stay suspected.
func TestAnAnswerClearsARequest(t *testing.T) {
	var h history
	h.ends(cause, innocent)
	assert.Assert(t, h.ask(innocent, "a"))
	h.apply(quarantine.Change{Answered: []quarantine.Digest{innocent}})
	assert.Assert(t, h.Find(innocent) == nil)
	assert.Assert(t, h.Find(cause) != nil)
}

// A zone loses power with a popular request at work on many of its back ends: it is tried again
// at once, and not held back.
func TestEndsAtTheSameMomentHoldNothingBack(t *testing.T) {
	var h history
	for range 25 {
		h.ends(innocent)
	}
	assert.Assert(t, !h.Find(innocent).Held())
	assert.Assert(t, h.ask(innocent, "a"))
	h.over(innocent, false, false)
	assert.Assert(t, h.ask(innocent, "b"), "a trial that was not sent counts for nothing")
}

// The end of a life counts once, whoever tells it and however often.
func TestTheEndOfALifeCountsOnce(t *testing.T) {
	var h history
	ended := quarantine.Change{Ended: []quarantine.Ended{{Life: "i", Service: "s", Requests: []quarantine.Digest{cause, cause}}}}
	assert.Assert(t, h.apply(ended))
	assert.Assert(t, !h.apply(ended))
	assert.Equal(t, h.Find(cause).Ends, 1)
	part := h.Effective(&ended)
	assert.Assert(t, part.Empty())
}

// Late trials without an answer are used up; an operator may still release the request.
func TestLateTrialsAreUsedUp(t *testing.T) {
	var h history
	for range quarantine.ManyEnds {
		h.ends(cause)
	}
	for range quarantine.MostLateTrials {
		assert.Assert(t, h.ask(cause, "a"))
		h.over(cause, true, false)
	}
	assert.Assert(t, h.Find(cause).Spent() && !h.ask(cause, "a"))
	assert.Assert(t, !h.apply(quarantine.Change{Further: []quarantine.Digest{cause}}))
	assert.Assert(t, h.apply(quarantine.Change{Released: []quarantine.Digest{cause}}))
	assert.Assert(t, h.Find(cause) == nil)
}

// Thousands of distinct requests push the oldest out that are not held back, and those last
// that are.
func TestTheSetIsBounded(t *testing.T) {
	var h history
	for range quarantine.ManyEnds {
		h.ends(cause)
	}
	for number := range 3 * quarantine.MostSuspects {
		h.ends(numbered(100 + number))
	}
	assert.Equal(t, len(h.Suspects), quarantine.MostSuspects)
	assert.Assert(t, h.Find(cause) != nil)
	assert.NilError(t, h.Check())
}

// sender is a gateway of the property below: what it was granted and has not used.
type sender struct{ granted []uint64 }

// Whatever is lost, comes late or twice, and whoever asks: once ManyEnds have ended under a
// request it is sent MostLateTrials times at most, as long as it is not answered.
func TestNoOrderOfEventsGivesMoreLateTrials(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		senders := []*sender{{}, {}, {}}
		var untold []quarantine.Change
		late := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			node := rapid.IntRange(0, 2).Draw(t, "gateway")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // a back end ends under a copy that was sent before
				h.ends(cause)
			case 1:
				if h.ask(cause, fmt.Sprint(node)) {
					senders[node].granted = append(senders[node].granted, h.Find(cause).Trial.Number)
				}
			case 2: // a granted trial is used, once, whatever the set says by now
				if granted := senders[node].granted; len(granted) > 0 {
					senders[node].granted = granted[1:]
					if suspect := h.Find(cause); suspect.Ends >= quarantine.ManyEnds {
						late++
					}
					failed := rapid.Bool().Draw(t, "failed")
					untold = append(untold, quarantine.Change{Over: []quarantine.Over{{Request: cause, Number: granted[0], Sent: true, Failed: failed}}})
				}
			case 3: // a trial is given back
				if granted := senders[node].granted; len(granted) > 0 {
					senders[node].granted = granted[1:]
					untold = append(untold, quarantine.Change{Over: []quarantine.Over{{Request: cause, Number: granted[0]}}})
				}
			case 4: // what was told arrives, in any order, perhaps once more later
				if len(untold) > 0 {
					h.apply(untold[rapid.IntRange(0, len(untold)-1).Draw(t, "told")])
				}
			case 5: // a trial whose gateway has ended, and a held request's time is over
				if suspect := h.Find(cause); suspect != nil && suspect.Trial != nil && rapid.Bool().Draw(t, "lost") {
					h.lose(cause)
				} else {
					h.apply(quarantine.Change{Further: []quarantine.Digest{cause}})
				}
			}
			if late > quarantine.MostLateTrials {
				t.Fatalf("sent %d times after %d ends", late, quarantine.ManyEnds)
			}
			assert.NilError(t, h.Check())
		}
	})
}

// A trial that nobody tells the end of is over after its limit, and a held request is tried
// once more after its time, three times in all.
func TestTheDeskFindsWhatIsDue(t *testing.T) {
	terms := quarantine.Terms{}.WithDefaults()
	assert.NilError(t, terms.Check())
	assert.ErrorContains(t, quarantine.Terms{TrialLimit: -1}.Check(), "trial limit")
	var h history
	var desk quarantine.Desk
	h.ends(cause)
	h.ask(cause, "a")
	due := desk.Review(&h.Set, terms, time.Second)
	assert.Assert(t, due.Empty())
	due = desk.Review(&h.Set, terms, time.Second+terms.TrialLimit)
	assert.Equal(t, len(due.Over), 1)
	assert.Assert(t, h.apply(due))
	for range 2 {
		h.ask(cause, "a")
		h.ends(cause)
	}
	now, further := time.Hour, 0
	for h.Find(cause).Held() && further <= quarantine.MostLateTrials {
		due = desk.Review(&h.Set, terms, now)
		now += terms.FurtherAfter
		if !h.apply(due) {
			if h.Find(cause).Spent() {
				break
			}
			continue
		}
		further++
		assert.Assert(t, h.ask(cause, "a"))
		h.ends(cause)
	}
	assert.Assert(t, h.Find(cause).Spent())
	assert.Assert(t, further <= quarantine.MostLateTrials, "%d", further)
}
