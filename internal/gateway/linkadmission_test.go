package gateway

import (
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

// linkLoad is one machine that is asked for large answers.
type linkLoad struct {
	// rate is how many are asked for a second.
	rate float64
	// lasting is for how long.
	lasting time.Duration
	// returns is how often a refused caller comes back, each time after what the link
	// had to send.
	returns int
}

const (
	transferSize   = 90_000
	transferRun    = 300 * time.Millisecond
	transferTarget = 1500 * time.Millisecond
	transferLeaves = 8 * time.Second
)

// linkOutcome counts how requests for large answers ended.
type linkOutcome struct{ asked, inTime, late, refused, gone int }

// play asks a machine for large answers at random times; each is made in a time,
// goes over the machine's link, and needs a little for the caller's.
func (l linkLoad) play(t *testing.T) linkOutcome {
	pacer := newLinkPacer(narrowRate)
	link := &narrowLink{rate: narrowRate}
	draw := rand.New(rand.NewPCG(1, 2))
	began := steady.Reading()
	var outcome linkOutcome
	var mutex sync.Mutex
	var all sync.WaitGroup
	ask := func() {
		asked := steady.Reading()
		count := func(which *int) {
			mutex.Lock()
			*which++
			mutex.Unlock()
		}
		wanted := overload.Transfer{Due: asked.Add(transferTarget), Deadline: asked.Add(transferLeaves), Target: transferTarget, Run: transferRun}
		kept, ok := pacer.admit(wanted)
		for range l.returns {
			if ok {
				break
			}
			mutex.Lock()
			pause := time.Duration((0.5 + draw.Float64()) * float64(max(retryRoom, pacer.backlog())))
			mutex.Unlock()
			time.Sleep(pause)
			kept, ok = pacer.admit(wanted)
		}
		if !ok {
			count(&outcome.refused)
			return
		}
		time.Sleep(transferRun)
		pacer.settle(kept, true, transferSize)
		pacer.write(t.Context(), &linkWriter{httptest.NewRecorder(), link}, make([]byte, transferSize))
		time.Sleep(pacer.link.TimeFor(transferSize))
		switch took := steady.Elapsed(asked); {
		case took <= transferTarget:
			count(&outcome.inTime)
		case took <= transferLeaves:
			count(&outcome.late)
		default:
			count(&outcome.gone)
		}
	}
	for steady.Elapsed(began) < l.lasting {
		outcome.asked++
		all.Go(ask)
		mutex.Lock()
		pause := time.Duration(draw.ExpFloat64() / l.rate * float64(time.Second))
		mutex.Unlock()
		time.Sleep(pause)
	}
	all.Wait()
	return outcome
}

// linkAnswers is how many large answers the link sends in a second.
const linkAnswers = bulkShare * narrowRate / transferSize

// Where more is asked for than the link sends, nearly all that it sends comes in
// time, and the rest is refused at once instead of waiting for nothing.
func TestALinkThatIsAskedForTooMuchServesWhatItCanInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkLoad{rate: 1.4 * linkAnswers, lasting: 30 * time.Second}.play(t)
		t.Logf("%+v", outcome)
		sent := linkAnswers * 30
		assert.Assert(t, float64(outcome.inTime) > 0.85*sent, "%+v, of %.0f that the link sends", outcome, sent)
		assert.Assert(t, float64(outcome.late) < 0.15*sent, "%+v", outcome)
		assert.Equal(t, outcome.gone, 0)
	})
}

// Callers that come back add to what is asked for, and what is sent goes to first
// tries all the same.
func TestCallersThatComeBackDoNotMakeAllLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkLoad{rate: 1.7 * linkAnswers, lasting: 30 * time.Second, returns: 2}.play(t)
		t.Logf("%+v", outcome)
		assert.Assert(t, float64(outcome.inTime) > 0.8*linkAnswers*30, "%+v", outcome)
		assert.Equal(t, outcome.gone, 0)
	})
}

// A wave that the link can send before the callers leave is late, not refused for good:
// who comes back as told finds room behind it.
func TestAShortWaveOfLargeAnswersIsServedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkLoad{rate: 3 * linkAnswers, lasting: time.Second, returns: 2}.play(t)
		t.Logf("%+v", outcome)
		assert.Equal(t, outcome.gone, 0)
		assert.Assert(t, float64(outcome.refused) < 0.35*float64(outcome.asked), "%+v", outcome)
	})
}

func TestALinkWithRoomRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkLoad{rate: 0.6 * linkAnswers, lasting: 30 * time.Second}.play(t)
		assert.Equal(t, outcome.refused, 0)
		assert.Assert(t, outcome.late < outcome.asked/50, "%+v", outcome)
	})
}

// A process that has just started does not know how large the answers are.
func TestFewAnswersAreBegunBeforeTheirSizeIsKnown(t *testing.T) {
	pacer := newLinkPacer(narrowRate)
	wanted := overload.Transfer{Due: steady.Reading().Add(transferTarget), Deadline: steady.Reading().Add(transferLeaves), Target: transferTarget, Run: transferRun}
	begun := 0
	var first overload.Kept
	for range 60 {
		if kept, ok := pacer.admit(wanted); ok {
			first = kept
			begun++
		}
	}
	assert.Assert(t, begun > 0 && begun*transferSize < narrowRate, "%d begun", begun)
	pacer.settle(first, true, transferSize)
	_, ok := pacer.admit(wanted)
	assert.Assert(t, ok, "the size is known")
}

func TestAnUnknownLinkAdmitsAll(t *testing.T) {
	pacer := newLinkPacer(0)
	kept, ok := pacer.admit(overload.Transfer{})
	assert.Assert(t, ok)
	pacer.settle(kept, true, transferSize)
}

// A process that gets too little of its processor hands bodies over more slowly
// than the link sends them: the link looks free, and there is no room.
func TestALinkIsInUseWhileBodiesWaitForTheProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := newLinkPacer(narrowRate)
		pacer.settle(overload.Kept{}, true, transferSize)
		pacer.wait(20 * transferSize) // nothing of it is handed over
		now := steady.Reading()
		wanted := overload.Transfer{Due: now.Add(transferTarget), Deadline: now.Add(transferLeaves), Target: transferTarget, Run: transferRun}
		_, ok := pacer.admit(wanted)
		assert.Assert(t, !ok)
	})
}
