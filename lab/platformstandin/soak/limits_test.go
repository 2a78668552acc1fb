package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ciLimits is how long callers are at work beside limits in CI.
const ciLimits = 14 * time.Second

// Back ends state limits, and gateways and controllers are killed and stopped meanwhile.
func TestStrikesMakeNobodyExceedALimit(t *testing.T) {
	program := buildProgram(t)
	names := namesOf([]Kind{BackendLimit, BackendDrain, GatewayKill, GatewayStop, ControllersKill})
	for _, grants := range []Grants{ByCall, ByHeartbeat} {
		t.Run(fmt.Sprintf("keys by %s", grants), func(t *testing.T) {
			report, err := Soak(t.Context(), Config{Seed: 60, Duration: ciLimits, Program: program, Grants: grants, Kinds: names})
			assert.NilError(t, err)
			broken := report.Violations[:min(len(report.Violations), mostTold)]
			assert.Equal(t, strings.Join(broken, "\n"), "", "%d promises broken", len(report.Violations))
			assert.Assert(t, report.Answered > 0, "%+v", report)
		})
	}
}
