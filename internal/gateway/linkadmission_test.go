package gateway

import (
	"bytes"
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

// linkScenario describes the requests for large responses that one machine gets.
type linkScenario struct {
	// rate is the number of requests a second.
	rate float64
	// duration is how long requests keep arriving.
	duration time.Duration
	// retries is how often a refused caller comes back, each time after the link's backlog
	// at that moment has been sent.
	retries int
}

const (
	transferSize    = 90_000
	transferRun     = 300 * time.Millisecond
	transferTarget  = 1500 * time.Millisecond
	transferTimeout = 8 * time.Second
)

// linkOutcome counts the outcomes of requests for large responses.
type linkOutcome struct{ requests, inTime, late, refused, abandoned int }

// simulate sends a machine requests for large responses at random times. Each response takes
// transferRun to produce, then passes the machine's link and finally the caller's link.
func (l linkScenario) simulate(t *testing.T) linkOutcome {
	pacer := newLinkPacer(slowLinkRate)
	link := &slowLink{rate: slowLinkRate}
	random := rand.New(rand.NewPCG(1, 2))
	began := steady.Reading()
	var outcome linkOutcome
	var mutex sync.Mutex
	var all sync.WaitGroup
	send := func() {
		sentAt := steady.Reading()
		count := func(which *int) {
			mutex.Lock()
			*which++
			mutex.Unlock()
		}
		wanted := overload.Transfer{Due: sentAt.Add(transferTarget), Deadline: sentAt.Add(transferTimeout), Target: transferTarget, Run: transferRun}
		reservation, ok := pacer.admit(wanted)
		for range l.retries {
			if ok {
				break
			}
			mutex.Lock()
			pause := time.Duration((0.5 + random.Float64()) * float64(max(minRetryWhenFull, pacer.backlog())))
			mutex.Unlock()
			time.Sleep(pause)
			reservation, ok = pacer.admit(wanted)
		}
		if !ok {
			count(&outcome.refused)
			return
		}
		time.Sleep(transferRun)
		pacer.settle(reservation, true, transferSize)
		writePaced(t.Context(), pacer, &linkWriter{httptest.NewRecorder(), link}, transferSize)
		time.Sleep(pacer.link.TimeFor(transferSize))
		switch took := steady.Elapsed(sentAt); {
		case took <= transferTarget:
			count(&outcome.inTime)
		case took <= transferTimeout:
			count(&outcome.late)
		default:
			count(&outcome.abandoned)
		}
	}
	for steady.Elapsed(began) < l.duration {
		outcome.requests++
		all.Go(send)
		mutex.Lock()
		pause := time.Duration(random.ExpFloat64() / l.rate * float64(time.Second))
		mutex.Unlock()
		time.Sleep(pause)
	}
	all.Wait()
	return outcome
}

// linkCapacity is how many large responses the link sends in a second.
const linkCapacity = pacedLinkFraction * slowLinkRate / transferSize

// If more is requested than the link can send, nearly all that it sends arrives in time, and
// the other requests are refused at once.
func TestOverloadedLinkServesItsCapacityInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkScenario{rate: 1.4 * linkCapacity, duration: 30 * time.Second}.simulate(t)
		t.Logf("%+v", outcome)
		sent := linkCapacity * 30
		assert.Assert(t, float64(outcome.inTime) > 0.85*sent, "%+v, of %.0f that the link can send", outcome, sent)
		assert.Assert(t, float64(outcome.late) < 0.15*sent, "%+v", outcome)
		assert.Equal(t, outcome.abandoned, 0)
	})
}

// Callers that retry add to the load, but the link's capacity still goes to first attempts,
// so that most of what is sent is in time.
func TestRetriesDoNotMakeAllResponsesLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkScenario{rate: 1.7 * linkCapacity, duration: 30 * time.Second, retries: 2}.simulate(t)
		t.Logf("%+v", outcome)
		assert.Assert(t, float64(outcome.inTime) > 0.8*linkCapacity*30, "%+v", outcome)
		assert.Equal(t, outcome.abandoned, 0)
	})
}

// A burst that the link can send before the callers time out is served late instead of being
// refused for good: callers that come back after their Retry-After time find capacity behind
// it.
func TestShortBurstOfLargeResponsesIsServedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkScenario{rate: 3 * linkCapacity, duration: time.Second, retries: 2}.simulate(t)
		t.Logf("%+v", outcome)
		assert.Equal(t, outcome.abandoned, 0)
		assert.Assert(t, float64(outcome.refused) < 0.35*float64(outcome.requests), "%+v", outcome)
	})
}

func TestLinkWithSpareCapacityRefusesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outcome := linkScenario{rate: 0.6 * linkCapacity, duration: 30 * time.Second}.simulate(t)
		assert.Equal(t, outcome.refused, 0)
		assert.Assert(t, outcome.late < outcome.requests/50, "%+v", outcome)
	})
}

// A process that has just started does not know how large the responses are.
func TestFewTransfersStartBeforeTheirSizeIsKnown(t *testing.T) {
	pacer := newLinkPacer(slowLinkRate)
	wanted := overload.Transfer{Due: steady.Reading().Add(transferTarget), Deadline: steady.Reading().Add(transferTimeout), Target: transferTarget, Run: transferRun}
	started := 0
	var first overload.Reservation
	for range 60 {
		if reservation, ok := pacer.admit(wanted); ok {
			first = reservation
			started++
		}
	}
	assert.Assert(t, started > 0 && started*transferSize < slowLinkRate, "%d started", started)
	pacer.settle(first, true, transferSize)
	_, ok := pacer.admit(wanted)
	assert.Assert(t, ok, "refused although the size is known")
}

func TestLinkOfUnknownRateAdmitsAll(t *testing.T) {
	pacer := newLinkPacer(0)
	reservation, ok := pacer.admit(overload.Transfer{})
	assert.Assert(t, ok)
	pacer.settle(reservation, true, transferSize)
}

// A process that gets too little CPU time writes bodies more slowly than the link sends
// them. The link then looks idle although it has no capacity left.
func TestBodiesWaitingInProcessCountAsLinkLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pacer := newLinkPacer(slowLinkRate)
		pacer.settle(overload.Reservation{}, true, transferSize)
		waiting := &pacedBody{pacer: pacer}
		waiting.count(20 * transferSize) // none of it is written to the link
		now := steady.Reading()
		wanted := overload.Transfer{Due: now.Add(transferTarget), Deadline: now.Add(transferTimeout), Target: transferTarget, Run: transferRun}
		_, ok := pacer.admit(wanted)
		assert.Assert(t, !ok)
	})
}

// Bodies whose readers have stalled don't use the link. They must not keep the gateway from admitting
// requests with large responses.
func TestStalledBodiesAreNoLinkLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stalled = 50
		pacer := newLinkPacer(slowLinkRate)
		pacer.settle(overload.Reservation{}, true, transferSize)
		left := make(chan struct{})
		var all sync.WaitGroup
		for range stalled {
			all.Go(func() {
				source := bytes.NewReader(make([]byte, transferSize))
				assert.Check(t, copyPaced(pacer, stalledWriter{httptest.NewRecorder(), left}, source, transferSize) != nil)
			})
		}
		time.Sleep(20 * time.Second)
		now := steady.Reading()
		reservation, ok := pacer.admit(overload.Transfer{Due: now.Add(transferTarget), Deadline: now.Add(transferTimeout), Target: transferTarget, Run: transferRun})
		assert.Assert(t, ok, "the link is idle, and its backlog is %v", pacer.backlog())
		pacer.settle(reservation, false, 0)
		close(left)
		all.Wait()
		assert.Equal(t, pacer.backlog(), time.Duration(0))
	})
}

// slowWriter is an http.ResponseWriter whose reader takes its time for each part.
type slowWriter struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (w slowWriter) Write(body []byte) (int, error) {
	time.Sleep(w.pause)
	return w.ResponseRecorder.Write(body)
}

// The time that slow readers take for their responses says nothing about the link. It must not make
// the gateway refuse requests that the link has capacity for.
func TestSlowReadersDoNotMakeTheLinkLookSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const responses, pause = 50, time.Second
		pacer := newLinkPacer(slowLinkRate)
		pacer.settle(overload.Reservation{}, true, transferSize)
		wanted := func() overload.Transfer {
			now := steady.Reading()
			return overload.Transfer{Due: now.Add(2 * transferRun), Deadline: now.Add(2 * transferRun), Target: transferTarget, Run: transferRun}
		}
		for range responses {
			reservation, ok := pacer.admit(wanted())
			assert.Assert(t, ok, "the link is idle")
			pacer.settle(reservation, true, transferSize)
			body, err := pacer.begin(t.Context(), transferSize)
			assert.NilError(t, err)
			assert.Assert(t, body.write(t.Context(), slowWriter{httptest.NewRecorder(), pause}, make([]byte, transferSize)))
			body.delivered(reservation)
			body.end()
		}
	})
}
