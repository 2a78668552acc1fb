package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/warmup"
)

const (
	rate   = 13.0
	length = 3 * time.Second
	// bound is what one second may have: the rate, a half of it over, and 8 beside.
	bound = 1.5*rate + 8
)

var start = time.Unix(1_000_000, 0)

// sendAll sends as fast as the limiter lets it, from a time for a time, and
// returns when each request was sent.
func sendAll(l *warmup.Limiter, from time.Time, length time.Duration) []time.Time {
	var sent []time.Time
	for now := from; now.Before(from.Add(length)); now = now.Add(time.Millisecond) {
		for l.Wait(now) == 0 && len(sent) < 10_000 {
			l.Sent(now)
			sent = append(sent, now)
		}
	}
	return sent
}

// busiest returns the most requests of any second.
func busiest(sent []time.Time) int {
	most, first := 0, 0
	for last := range sent {
		for sent[last].Sub(sent[first]) > time.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestAColdBackEndGetsWhatItBears(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, length)
	l.Tell(10*time.Second, start)
	sent := sendAll(l, start, 8*time.Second)
	assert.Assert(t, float64(busiest(sent)) <= bound, "%d in one second", busiest(sent))
	assert.Assert(t, float64(len(sent)) >= 0.95*8*rate, "%d in 8 s", len(sent))
}

// One that turns cold under load is given the time to work off what it got.
func TestABackEndThatTurnsColdUnderLoadRests(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, length)
	for i := range 200 {
		l.Sent(start.Add(time.Duration(i) * 5 * time.Millisecond))
	}
	now := start.Add(time.Second)
	l.Tell(5*time.Second, now)
	assert.Assert(t, l.Wait(now) > 900*time.Millisecond)
	assert.Assert(t, l.Wait(now) < 1200*time.Millisecond)
}

// Who does not know takes the back end for cold.
func TestAnUnknownBackEndIsCold(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, length)
	assert.Assert(t, !l.Cold(start))
	l.Suspect(start)
	assert.Assert(t, l.Cold(start) && l.Suspected())
	assert.Equal(t, l.Bears(start), rate)
	l.Tell(0, start)
	assert.Assert(t, !l.Cold(start) && !l.Suspected())
	assert.Equal(t, l.Bears(start), 0.0)
}

// A heartbeat may have been sent before the back end turned cold.
func TestAHeartbeatThatSaysWarmEndsNoSuspicion(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, length)
	l.Suspect(start)
	l.Hear(0, start)
	assert.Assert(t, l.Cold(start) && l.Suspected())
	l.Hear(time.Second, start)
	assert.Assert(t, l.Cold(start) && !l.Suspected(), "it has said for how long")
}

// One that answers no question is not taken for cold for ever.
func TestASuspicionEnds(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, length)
	l.Suspect(start)
	assert.Assert(t, l.Cold(start.Add(length-time.Millisecond)))
	assert.Assert(t, !l.Cold(start.Add(length)))
}

// A word that was sent before the back end turned cold may arrive after it.
func TestALateWordMakesNothingWarm(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, length)
	l.Tell(3*time.Second, start)
	l.Tell(0, start.Add(100*time.Millisecond))
	assert.Assert(t, l.Cold(start.Add(2*time.Second)))
	assert.Assert(t, !l.Cold(start.Add(3*time.Second)))
	l.Tell(3*time.Second, start.Add(4*time.Second))
	l.Forget()
	assert.Assert(t, !l.Cold(start.Add(4*time.Second)), "a new life")
	assert.Equal(t, l.Rate(), rate)
}

// Services that say nothing of it have no bound.
func TestWithoutARateNothingIsBounded(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(-1, length)
	l.Suspect(start)
	l.Tell(time.Hour, start)
	l.Sent(start)
	assert.Equal(t, l.Wait(start), time.Duration(0))
	assert.Assert(t, !l.Suspected())
}

// Seventy senders that do not know of each other keep to what one back end bears.
func TestManySendersShareWhatIsBorne(t *testing.T) {
	const senders = 70
	random := rand.New(rand.NewPCG(7, 7))
	shares := make([]warmup.Share, senders)
	sent := 0
	const seconds = 10
	for tick := range seconds * 100 {
		now := start.Add(time.Duration(tick) * 10 * time.Millisecond)
		for i := range shares {
			if random.Float64() < 0.1 && shares[i].Take(rate, senders, random.Float64(), now) {
				sent++
			}
		}
	}
	assert.Assert(t, float64(sent) <= seconds*rate*1.2, "%d", sent)
	assert.Assert(t, float64(sent) >= seconds*rate*0.8, "%d", sent)
}
