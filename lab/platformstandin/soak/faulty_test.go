package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ciFaulty is how long callers are at work beside these strikes in CI.
const ciFaulty = 20 * time.Second

// Back ends send answers twice, to requests, grants and releases, and drain; controllers are replaced one
// after the other; and many large bodies come at once.
func TestSurplusAnswersReplacedControllersAndLargeBodies(t *testing.T) {
	program := buildProgram(t)
	names := namesOf([]Kind{SurplusAnswers, BackendDrain, ControllersReplaced, LargeBodies})
	for seed, grants := range map[uint64]Grants{1: ByCall, 2: ByHeartbeat} {
		t.Run(fmt.Sprintf("keys by %s", grants), func(t *testing.T) {
			report, err := Soak(t.Context(), Config{Seed: seed, Duration: ciFaulty, Program: program, Grants: grants, Kinds: names})
			assert.NilError(t, err)
			broken := report.Violations[:min(len(report.Violations), mostTold)]
			assert.Equal(t, strings.Join(broken, "\n"), "", "%d promises broken", len(report.Violations))
			assert.Assert(t, report.Answered > 0, "%+v", report)
		})
	}
}
