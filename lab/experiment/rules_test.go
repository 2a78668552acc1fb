package experiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Before the coordinator decided again when a move ended, a drain of 34 shards
// took 9 s, and the leaving back end took work until its end.
func TestLeavingBackEndTakesNoNewWorkAfterAFewSeconds(t *testing.T) {
	for _, name := range []string{"gatukarta", "roamlink"} {
		result := emulateOnce(t, name, "leave", "quartzdock", 1)
		assert.Equal(t, len(result.Violations), 0, "%s: %v", name, result.Violations)
	}
}
