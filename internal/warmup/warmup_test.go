package warmup_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/warmup"
)

const (
	rate     = 13.0
	coldTime = 3 * time.Second
	// maxInAnySecond is the number of requests allowed in any second: 1.5 times the rate, plus 8.
	maxInAnySecond = 1.5*rate + 8
)

var start = time.Unix(1_000_000, 0)

// sendAll sends requests as fast as the limiter allows for the given time, and returns the
// times at which they were sent.
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

// maxPerSecond returns the largest number of requests in any second.
func maxPerSecond(sent []time.Time) int {
	highest, first := 0, 0
	for last := range sent {
		for sent[last].Sub(sent[first]) > time.Second {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

func TestColdBackEndGetsItsConfiguredRate(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, coldTime)
	l.RecordProbe(10*time.Second, start)
	sent := sendAll(l, start, 8*time.Second)
	assert.Assert(t, float64(maxPerSecond(sent)) <= maxInAnySecond, "%d in one second", maxPerSecond(sent))
	assert.Assert(t, float64(len(sent)) >= 0.95*8*rate, "%d in 8 s", len(sent))
}

// A back end that becomes cold under load gets time to work off what it has been sent.
func TestBackEndThatTurnsColdUnderLoadGetsAPause(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, coldTime)
	for i := range 200 {
		l.Sent(start.Add(time.Duration(i) * 5 * time.Millisecond))
	}
	now := start.Add(time.Second)
	l.RecordProbe(5*time.Second, now)
	assert.Assert(t, l.Wait(now) > 900*time.Millisecond)
	assert.Assert(t, l.Wait(now) < 1200*time.Millisecond)
}

func TestBackEndOfUnknownStateIsConsideredCold(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, coldTime)
	assert.Assert(t, !l.Cold(start))
	l.MarkUnknown(start)
	assert.Assert(t, l.Cold(start) && l.StateUnknown())
	assert.Equal(t, l.EnforcedRate(start), rate)
	l.RecordProbe(0, start)
	assert.Assert(t, !l.Cold(start) && !l.StateUnknown())
	assert.Equal(t, l.EnforcedRate(start), 0.0)
}

// A heartbeat that reports a warm back end may have been sent before it became cold.
func TestHeartbeatReportingWarmDoesNotClearUnknownState(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, coldTime)
	l.MarkUnknown(start)
	l.RecordReport(0, start)
	assert.Assert(t, l.Cold(start) && l.StateUnknown())
	l.RecordReport(time.Second, start)
	assert.Assert(t, l.Cold(start) && !l.StateUnknown(), "the back end has reported its cold time")
}

// A back end that never responds isn't considered cold forever.
func TestUnknownStateExpires(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, coldTime)
	l.MarkUnknown(start)
	assert.Assert(t, l.Cold(start.Add(coldTime-time.Millisecond)))
	assert.Assert(t, !l.Cold(start.Add(coldTime)))
}

// A message that was sent before the back end became cold may arrive afterwards.
func TestLateMessageDoesNotShortenTheColdTime(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(rate, coldTime)
	l.RecordProbe(3*time.Second, start)
	l.RecordProbe(0, start.Add(100*time.Millisecond))
	assert.Assert(t, l.Cold(start.Add(2*time.Second)))
	assert.Assert(t, !l.Cold(start.Add(3*time.Second)))
	l.RecordProbe(3*time.Second, start.Add(4*time.Second))
	l.Reset()
	assert.Assert(t, !l.Cold(start.Add(4*time.Second)), "after a restart")
	assert.Equal(t, l.Rate(), rate)
}

// A service without a configured rate has no limit.
func TestWithoutARateNothingIsLimited(t *testing.T) {
	l := &warmup.Limiter{}
	l.Configure(-1, coldTime)
	l.MarkUnknown(start)
	l.RecordProbe(time.Hour, start)
	l.Sent(start)
	assert.Equal(t, l.Wait(start), time.Duration(0))
	assert.Assert(t, !l.StateUnknown())
}

// Seventy senders that don't coordinate stay together close to the rate of one back end.
func TestManySendersShareOneRate(t *testing.T) {
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
	assert.Assert(t, float64(sent) <= seconds*rate*1.2, "%d requests sent", sent)
	assert.Assert(t, float64(sent) >= seconds*rate*0.8, "%d requests sent", sent)
}
