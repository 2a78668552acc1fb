package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// vouch lets the gateway take its configuration for the present one for a time, as a
// leader's answer does.
func (g *Gateway) vouch(duration time.Duration) {
	g.session.vouched.take(&fleetwire.Lease{SentAt: g.session.now(), ConfigurationFor: duration}, g.session.started)
}

// The word counts from when the gateway asked for it, by its own clock, which may run
// slower than the leader's. One that comes late or once more renews nothing.
func TestALeadersWordCountsFromTheQuestion(t *testing.T) {
	epoch := steady.Reading()
	answer := func(sentAt time.Duration) *fleetwire.Lease {
		return &fleetwire.Lease{SentAt: sentAt, ConfigurationFor: 10 * time.Second}
	}
	v := &vouched{}
	assert.Assert(t, !v.holds(epoch), "nothing was heard yet")
	v.take(answer(time.Second), epoch)
	assert.Assert(t, v.holds(epoch.Add(10*time.Second)))
	assert.Assert(t, !v.holds(epoch.Add(11*time.Second-time.Duration(clockDrift*float64(10*time.Second)))))
	v.take(answer(3*time.Second), epoch)
	v.take(answer(2*time.Second), epoch)
	assert.Equal(t, v.since(), epoch.Add(3*time.Second))
	assert.Assert(t, v.holds(epoch.Add(12*time.Second)))
	assert.Assert(t, v.left(epoch.Add(14*time.Second)) < 0)
}

// An order to evacuate of which nothing was heard counts from the leader's last word, so
// that the back end gets nothing after the bound whoever stands still.
func TestABackEndGetsNothingWhereAnEvacuationMayBeUnheard(t *testing.T) {
	g := choosingGateway(t)
	g.config.EvacuateWithin = 5 * time.Second
	g.session.vouched.present.Store(nil)
	assert.Assert(t, g.mayBeEvacuated(steady.Reading()))
	g.vouch(time.Hour)
	assert.Assert(t, !g.mayBeEvacuated(steady.Reading()))
	assert.Assert(t, g.mayBeEvacuated(steady.Reading().Add(g.config.EvacuateWithin-1)))
}
