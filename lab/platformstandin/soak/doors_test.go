package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// ciDoors is how long callers are at work beside strikes of doors in CI.
const ciDoors = 12 * time.Second

// A refused connection, or another life that answers in its place, is not the end of
// a back end that holds keys.
func TestClosedDoorsGiveKeysToNobodyElse(t *testing.T) {
	program := buildProgram(t)
	for _, seed := range []uint64{1, 2} {
		for _, grants := range []Grants{ByCall, ByHeartbeat} {
			t.Run(fmt.Sprintf("seed %d, keys by %s", seed, grants), func(t *testing.T) {
				report, err := Soak(t.Context(), Config{Seed: seed, Duration: ciDoors, Program: program, Grants: grants, Kinds: namesOf(doorKinds)})
				assert.NilError(t, err)
				broken := report.Violations[:min(len(report.Violations), mostTold)]
				assert.Equal(t, strings.Join(broken, "\n"), "", "%d promises broken", len(report.Violations))
				assert.Assert(t, report.Answered > 0 && report.Lines > 0 && report.Versions > 1, "%+v", report)
			})
		}
	}
}

// mostTold bounds the broken promises that a failing test tells.
const mostTold = 20
