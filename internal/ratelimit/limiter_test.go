package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

// The promise to back ends: in any 4 s no more than one and a half times what the limit allows, and
// 5 requests in addition.
const (
	promiseWindow = 4 * time.Second
	promiseFactor = 1.5
	promiseSlack  = 5
)

func allowed(perSecond float64) float64 {
	return promiseFactor*perSecond*promiseWindow.Seconds() + promiseSlack
}

// lastWindow counts the requests of the 4 s that end with the last one.
func lastWindow(sent []time.Time) int {
	count := 0
	for i := len(sent) - 1; i >= 0 && sent[len(sent)-1].Sub(sent[i]) < promiseWindow; i-- {
		count++
	}
	return count
}

// sendAll sends requests as fast as the limiter allows, once a millisecond, and returns when they
// were sent.
func sendAll(l *ratelimit.Limiter, from time.Time, length time.Duration) []time.Time {
	var sent []time.Time
	for now := from; now.Before(from.Add(length)); now = now.Add(time.Millisecond) {
		for l.Wait(now) == 0 && l.Limited() {
			l.Sent(now)
			sent = append(sent, now)
		}
	}
	return sent
}

// The whole limit is used, and no more, whatever the limit is.
func TestSteadyLoadGetsTheStatedRate(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1, 3.3, 28.8, 400, 5000} {
		var l ratelimit.Limiter
		l.Observe(limitOf(perSecond), at(0), at(1))
		sent := sendAll(&l, at(1), 20*time.Second)
		assert.Assert(t, float64(len(sent)) >= 20*perSecond*0.98 && float64(len(sent)) <= 20*perSecond*1.02+2, "%g: %d in 20 s", perSecond, len(sent))
	}
}

// A back end that takes nothing gets a request now and then, since only a response can lift its
// limit, and never more than the slack.
func TestBackEndThatTakesNothingIsTriedNowAndThen(t *testing.T) {
	var l ratelimit.Limiter
	l.Observe(limitOf(0), at(0), at(1))
	sent := sendAll(&l, at(1), 20*time.Second)
	assert.Assert(t, len(sent) >= 10)
	for i := range sent {
		assert.Assert(t, lastWindow(sent[:i+1]) <= promiseSlack)
	}
	l.Observe(unlimited, sent[len(sent)-1], at(21000))
	assert.Equal(t, l.Wait(at(21000)), time.Duration(0))
}

// At the end of the wait a request may be sent, and one behind others as long as those are sent.
func TestWaitIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l ratelimit.Limiter
		now := at(1)
		l.Observe(limitOf(rapid.Float64Range(0, 200).Draw(t, "first")), at(0), now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400_000).Draw(t, "pause")) * time.Microsecond)
			for l.Wait(now) == 0 {
				l.Sent(now)
			}
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				l.Observe(limitOf(rapid.Float64Range(0, 200).Draw(t, "limit")), now, now)
			}
			ahead := rapid.IntRange(0, 5).Draw(t, "ahead")
			wait := l.WaitBehind(ahead, now)
			// The requests ahead are sent as early as they may be.
			later, sentAt := l, now
			for range ahead {
				step := later.Wait(sentAt)
				sentAt = sentAt.Add(step)
				assert.Assert(t, later.Wait(sentAt) == 0, "the wait of %v is too short", step)
				later.Sent(sentAt)
			}
			earliest := sentAt.Add(later.Wait(sentAt)).Sub(now)
			assert.Assert(t, (wait-earliest).Abs() <= time.Millisecond, "%d ahead: told %v, but the earliest is %v", ahead, wait, earliest)
		}
	})
}

// Whatever the limits, the load and the order of the responses, no window has more requests than
// the limit in force at its last one allows. The gateway is restarted in between, and gets the
// limit back from another one with the first request that has to keep to it.
func TestNoWindowExceedsTheLimitInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := []float64{0, 0.3, 1, 2.5, 10, 28.8, 60}
		var l ratelimit.Limiter
		var sent []time.Time
		now := at(1)
		inForce := rapid.SampledFrom(limits).Draw(t, "first")
		l.Observe(limitOf(inForce), at(0), now)
		restarted := now
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 60).Draw(t, "event") {
			case 0:
				inForce = rapid.SampledFrom(limits).Draw(t, "limit")
				l.Observe(limitOf(inForce), now, now.Add(time.Microsecond))
			case 1:
				// A process takes at least this long to restart.
				if now.Sub(restarted) > time.Second && inForce >= 1 {
					l, restarted = ratelimit.Limiter{}, now
					sent = nil // see TestRestartsAddLittle
					l.Relay(inForce, now)
					l.Observe(limitOf(inForce), now, now)
				}
			case 2:
				l.Observe(unlimited, now.Add(-time.Hour), now) // an old response
			}
			for range rapid.IntRange(0, 40).Draw(t, "demand") {
				if l.Wait(now) > 0 {
					break
				}
				l.Sent(now)
				sent = append(sent, now)
				assert.Assert(t, float64(lastWindow(sent)) <= allowed(inForce), "%d at a limit of %g", lastWindow(sent), inForce)
			}
		}
	})
}

// A gateway that is killed every second forgets what it has sent, but not the limit.
func TestRestartsAddLittle(t *testing.T) {
	for _, perSecond := range []float64{0, 0.5, 2, 28.8, 300} {
		var sent []time.Time
		for life := range 12 {
			var l ratelimit.Limiter
			from := at(life * 1000)
			l.Relay(perSecond, from)
			for _, one := range sendAll(&l, from, time.Second) {
				sent = append(sent, one)
				assert.Assert(t, float64(lastWindow(sent)) <= allowed(perSecond), "%g: %d in 4 s", perSecond, lastWindow(sent))
			}
		}
	}
}
