package configlease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/configlease"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

const (
	second = time.Second
	// start is when the leases of earlier leaders have expired.
	start = time.Minute
)

var (
	terms = configlease.Terms{}.WithDefaults()
	one   = configlease.Gateway{Node: "one", Boot: 1}
	two   = configlease.Gateway{Node: "two", Boot: 1}
)

// settled returns the grantor of a leader that has led for a long time.
func settled() *configlease.Grantor { return configlease.NewGrantor(terms, 0) }

func TestConfigurationIsAcknowledgedOnceAllHaveConfirmedIt(t *testing.T) {
	g := settled()
	g.Grant(one, 1, 1, start)
	g.Grant(two, 1, 1, start)
	assert.Assert(t, !g.MayAcknowledge(2, start))
	g.Grant(one, 2, 2, start+1)
	assert.Assert(t, !g.MayAcknowledge(2, start+1))
	assert.DeepEqual(t, g.Lagging(2, start+1), []string{"two"})
	g.Confirm(two, 2)
	g.Confirm(two, 1) // late
	assert.Assert(t, g.MayAcknowledge(2, start+2))
}

// A gateway that sends no more reports delays an acknowledgement for a bounded time.
func TestSilentGatewayDelaysAcknowledgementForBoundedTime(t *testing.T) {
	g := settled()
	g.Grant(one, 1, 1, start)
	assert.Assert(t, !g.MayAcknowledge(2, start+terms.AcknowledgeWithin-1))
	assert.Assert(t, g.MayAcknowledge(2, start+terms.AcknowledgeWithin))
}

// A gateway that goes on reporting without confirming gets the new version with each response,
// so that its reports don't prolong the delay.
func TestGatewayWithoutConfirmationDelaysForBoundedTime(t *testing.T) {
	g := settled()
	g.Grant(one, 1, 1, start)
	for at := start; at < start+terms.AcknowledgeWithin; at += 50 * time.Millisecond {
		assert.Assert(t, !g.MayAcknowledge(2, at))
		g.Grant(one, 1, 2, at)
	}
	assert.Assert(t, g.MayAcknowledge(2, start+terms.AcknowledgeWithin))
}

// A new leader doesn't know which gateways got leases from its predecessors.
func TestNewLeaderAssumesLeaseForEveryGateway(t *testing.T) {
	g := configlease.NewGrantor(terms, start)
	assert.Assert(t, !g.MayAcknowledge(2, start))
	assert.Assert(t, !g.MayAcknowledge(2, start+terms.AcknowledgeWithin-1))
	assert.Assert(t, g.MayAcknowledge(2, start+terms.AcknowledgeWithin))
}

// A confirmation of a restarted gateway doesn't count for its previous process, which may
// still run and use its leases.
func TestRestartedGatewayDoesNotConfirmForPreviousProcess(t *testing.T) {
	g := settled()
	g.Grant(one, 1, 1, start)
	g.Grant(configlease.Gateway{Node: "one", Boot: 2}, 2, 2, start+1)
	assert.Assert(t, !g.MayAcknowledge(2, start+1))
	g.Expire(start + terms.Validity())
	assert.Assert(t, g.MayAcknowledge(2, start+terms.Validity()))
	assert.Equal(t, len(g.Lagging(2, start)), 0)
}

func TestShortApplyWithinKeepsValidity(t *testing.T) {
	short := configlease.Terms{ApplyWithin: second / 2}.WithDefaults()
	assert.Assert(t, short.Validity() >= terms.Validity()-second/2)
	assert.ErrorContains(t, configlease.Terms{ApplyWithin: -1}.Check(), "apply within")
	assert.ErrorContains(t, configlease.Terms{AcknowledgeWithin: -1}.Check(), "acknowledge within")
	assert.NilError(t, terms.Check())
}

// gatewayState is a gateway in the property test below: the version that it has in force, and
// until when.
type gatewayState struct {
	name    configlease.Gateway
	version routeconfig.Version
	until   time.Duration
	// responses in flight, which may arrive in any later step, in their order.
	responses []response
}

type response struct {
	version routeconfig.Version
	until   time.Duration
}

// Whatever is lost, delayed or suspended, no gateway uses, under a valid lease, a version older
// than one that was acknowledged ApplyWithin ago or earlier.
func TestNoGatewayUsesOlderConfigurationAfterApplyWithin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, current := start, routeconfig.Version(1)
		g := settled()
		gateways := []*gatewayState{{name: one}, {name: two}}
		acknowledged := map[routeconfig.Version]time.Duration{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "milliseconds")) * time.Millisecond
			gateway := gateways[rapid.IntRange(0, 1).Draw(t, "gateway")]
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				current++
			case 1: // a report that took a while
				sent := now - time.Duration(rapid.IntRange(0, 900).Draw(t, "way"))*time.Millisecond
				validity := g.Grant(gateway.name, gateway.version, current, now)
				gateway.responses = append(gateway.responses, response{current, sent + validity})
			case 2:
				if len(gateway.responses) > 0 {
					gateway.version, gateway.until = gateway.responses[0].version, max(gateway.until, gateway.responses[0].until)
					gateway.responses = gateway.responses[1:]
				}
			case 3: // the session ends, and the responses in flight are lost
				gateway.responses = nil
			case 4:
				g.Expire(now)
			}
			if _, done := acknowledged[current]; !done && g.MayAcknowledge(current, now) {
				acknowledged[current] = now
			}
			for version, at := range acknowledged {
				for _, gateway := range gateways {
					if now >= at+terms.ApplyWithin && now < gateway.until && gateway.version < version {
						t.Fatalf("%v uses version %d at %v; %d was acknowledged at %v", gateway.name, gateway.version, now, version, at)
					}
				}
			}
		}
	})
}

func BenchmarkMayAcknowledge(b *testing.B) {
	g := settled()
	for i := range 1100 {
		g.Grant(configlease.Gateway{Node: string(rune('a' + i)), Boot: uint64(i)}, 1, 2, start)
	}
	for b.Loop() {
		g.MayAcknowledge(2, start)
	}
}
