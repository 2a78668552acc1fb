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

// numberedDigest returns the digest of a request with a number.
func numberedDigest(number int) quarantine.Digest {
	return quarantine.Digest{byte(number >> 8), byte(number)}
}

var (
	cause    = numberedDigest(1)
	harmless = numberedDigest(2)
)

// history applies changes under rising log indices.
type history struct {
	quarantine.Set
	index        uint64
	incarnations int
}

func (h *history) apply(change quarantine.Change) bool {
	h.index++
	return h.Apply(h.index, &change)
}

// crash crashes one more incarnation while it processes some requests.
func (h *history) crash(requests ...quarantine.Digest) {
	h.incarnations++
	h.apply(quarantine.Change{Ended: []quarantine.Ended{{Life: fmt.Sprint("life-", h.incarnations), Service: "s", Requests: requests}}})
}

// ask requests a trial for a gateway and reports whether it was granted.
func (h *history) ask(request quarantine.Digest, node string) bool {
	return h.apply(quarantine.Change{Asked: []quarantine.Asked{{Request: request, Node: node, Boot: 1}}})
}

// endTrial ends the current trial of a request.
func (h *history) endTrial(request quarantine.Digest, sent, failed bool) {
	h.apply(quarantine.Change{Over: []quarantine.Over{{Request: request, Number: h.Find(request).Trial.Number, Sent: sent, Failed: failed}}})
}

// lose closes the current trial of a request without a report of its gateway.
func (h *history) lose(request quarantine.Digest) {
	h.apply(quarantine.Change{Over: []quarantine.Over{{Request: request, Number: h.Find(request).Trial.Number, Lost: true}}})
}

// A request that crashes each back end that processes it is quarantined after the third crash.
func TestCauseIsQuarantinedAfterThreeCrashes(t *testing.T) {
	var h history
	h.crash(cause, harmless)
	for range 2 {
		assert.Assert(t, h.ask(cause, "a"))
		assert.Assert(t, !h.ask(cause, "b"), "one at a time")
		h.crash(cause)
	}
	assert.Equal(t, h.Find(cause).Ends, quarantine.LikelyCauseCrashes)
	assert.Assert(t, h.Find(cause).Quarantined())
	assert.Assert(t, !h.ask(cause, "a"))
	assert.Assert(t, !h.Find(harmless).Quarantined())
}

// One complete response clears a request. Others that were in process at the same time stay
// suspects.
func TestResponseClearsRequest(t *testing.T) {
	var h history
	h.crash(cause, harmless)
	assert.Assert(t, h.ask(harmless, "a"))
	h.apply(quarantine.Change{Answered: []quarantine.Digest{harmless}})
	assert.Assert(t, h.Find(harmless) == nil)
	assert.Assert(t, h.Find(cause) != nil)
}

// A zone loses power while many of its back ends process a popular request. The request is
// retried at once, and not quarantined.
func TestSimultaneousCrashesDoNotQuarantineRequest(t *testing.T) {
	var h history
	for range 25 {
		h.crash(harmless)
	}
	assert.Assert(t, !h.Find(harmless).Quarantined())
	assert.Assert(t, h.ask(harmless, "a"))
	h.endTrial(harmless, false, false)
	assert.Assert(t, h.ask(harmless, "b"), "a trial that was not sent does not count")
}

// The crash of an incarnation counts once, however often it is reported and by whom.
func TestCrashOfIncarnationCountsOnce(t *testing.T) {
	var h history
	crashed := quarantine.Change{Ended: []quarantine.Ended{{Life: "i", Service: "s", Requests: []quarantine.Digest{cause, cause}}}}
	assert.Assert(t, h.apply(crashed))
	assert.Assert(t, !h.apply(crashed))
	assert.Equal(t, h.Find(cause).Ends, 1)
	part := h.Effective(&crashed)
	assert.Assert(t, part.Empty())
}

// Late trials without a response are limited; an operator may still release the request.
func TestLateTrialsAreLimited(t *testing.T) {
	var h history
	for range quarantine.LikelyCauseCrashes {
		h.crash(cause)
	}
	for range quarantine.MaxLateTrials {
		assert.Assert(t, h.ask(cause, "a"))
		h.endTrial(cause, true, false)
	}
	assert.Assert(t, h.Find(cause).Exhausted() && !h.ask(cause, "a"))
	assert.Assert(t, !h.apply(quarantine.Change{Further: []quarantine.Digest{cause}}))
	assert.Assert(t, h.apply(quarantine.Change{Released: []quarantine.Digest{cause}}))
	assert.Assert(t, h.Find(cause) == nil)
}

// Thousands of distinct requests evict the oldest ones first. Requests with LikelyCauseCrashes
// are evicted last.
func TestSetIsBounded(t *testing.T) {
	var h history
	for range quarantine.LikelyCauseCrashes {
		h.crash(cause)
	}
	for number := range 3 * quarantine.MaxSuspects {
		h.crash(numberedDigest(100 + number))
	}
	assert.Equal(t, len(h.Suspects), quarantine.MaxSuspects)
	assert.Assert(t, h.Find(cause) != nil)
	assert.NilError(t, h.Check())
}

// sender is a gateway in the property test below, with the trials that it was granted and has
// not used.
type sender struct{ granted []uint64 }

// Whatever is lost, delayed or repeated, and whichever gateway asks: once LikelyCauseCrashes
// incarnations have crashed while processing a request, it is sent at most MaxLateTrials times
// until it is answered.
func TestNoOrderOfEventsGivesMoreLateTrials(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		senders := []*sender{{}, {}, {}}
		var reports []quarantine.Change
		late := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			node := rapid.IntRange(0, 2).Draw(t, "gateway")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0: // a back end crashes while processing a copy that was sent before
				h.crash(cause)
			case 1:
				if h.ask(cause, fmt.Sprint(node)) {
					senders[node].granted = append(senders[node].granted, h.Find(cause).Trial.Number)
				}
			case 2: // a granted trial is used, once, whatever the state of the set is by now
				if granted := senders[node].granted; len(granted) > 0 {
					senders[node].granted = granted[1:]
					if suspect := h.Find(cause); suspect.Ends >= quarantine.LikelyCauseCrashes {
						late++
					}
					failed := rapid.Bool().Draw(t, "failed")
					reports = append(reports, quarantine.Change{Over: []quarantine.Over{{Request: cause, Number: granted[0], Sent: true, Failed: failed}}})
				}
			case 3: // a trial is given back
				if granted := senders[node].granted; len(granted) > 0 {
					senders[node].granted = granted[1:]
					reports = append(reports, quarantine.Change{Over: []quarantine.Over{{Request: cause, Number: granted[0]}}})
				}
			case 4: // a report arrives, in any order, perhaps repeatedly
				if len(reports) > 0 {
					h.apply(reports[rapid.IntRange(0, len(reports)-1).Draw(t, "told")])
				}
			case 5: // a trial is lost with its gateway, or a quarantined request gets one more trial
				if suspect := h.Find(cause); suspect != nil && suspect.Trial != nil && rapid.Bool().Draw(t, "lost") {
					h.lose(cause)
				} else {
					h.apply(quarantine.Change{Further: []quarantine.Digest{cause}})
				}
			}
			if late > quarantine.MaxLateTrials {
				t.Fatalf("sent %d times after %d crashes", late, quarantine.LikelyCauseCrashes)
			}
			assert.NilError(t, h.Check())
		}
	})
}

// A trial whose end is not reported counts as lost after TrialLimit, and a quarantined request
// gets one more trial after FurtherAfter, three times in all.
func TestTimersReturnDueChanges(t *testing.T) {
	terms := quarantine.Terms{}.WithDefaults()
	assert.NilError(t, terms.Check())
	assert.ErrorContains(t, quarantine.Terms{TrialLimit: -1}.Check(), "trial limit")
	var h history
	var timers quarantine.Timers
	h.crash(cause)
	h.ask(cause, "a")
	due := timers.Due(&h.Set, terms, time.Second)
	assert.Assert(t, due.Empty())
	due = timers.Due(&h.Set, terms, time.Second+terms.TrialLimit)
	assert.Equal(t, len(due.Over), 1)
	assert.Assert(t, h.apply(due))
	for range 2 {
		h.ask(cause, "a")
		h.crash(cause)
	}
	now, further := time.Hour, 0
	for h.Find(cause).Quarantined() && further <= quarantine.MaxLateTrials {
		due = timers.Due(&h.Set, terms, now)
		now += terms.FurtherAfter
		if !h.apply(due) {
			if h.Find(cause).Exhausted() {
				break
			}
			continue
		}
		further++
		assert.Assert(t, h.ask(cause, "a"))
		h.crash(cause)
	}
	assert.Assert(t, h.Find(cause).Exhausted())
	assert.Assert(t, further <= quarantine.MaxLateTrials, "%d", further)
}
