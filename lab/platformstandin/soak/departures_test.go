package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ciDepartures is how long callers are at work beside departures in CI.
const ciDepartures = 16 * time.Second

// Back ends deregister at any moment of a stop, a kill and a start of their gateways, while controllers
// are killed and frozen. What was acknowledged holds.
func TestAcknowledgedDeparturesHoldUnderStrikes(t *testing.T) {
	program := buildProgram(t)
	names := namesOf(append([]Kind{ControllersKill, ControllerPause, GatewayKill}, departureKinds...))
	for _, grants := range []Grants{ByCall, ByHeartbeat} {
		t.Run(fmt.Sprintf("keys by %s", grants), func(t *testing.T) {
			report, err := Soak(t.Context(), Config{Seed: 66, Duration: ciDepartures, Program: program, Grants: grants, Kinds: names})
			assert.NilError(t, err)
			broken := report.Violations[:min(len(report.Violations), mostTold)]
			assert.Equal(t, strings.Join(broken, "\n"), "", "%d promises broken", len(report.Violations))
			assert.Assert(t, report.Answered > 0, "%+v", report)
		})
	}
}
