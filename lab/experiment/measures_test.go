package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A shift that came exactly 10 s after another used to be judged as if there
// had been 10 s to settle it, and the least churn was reckoned with it.
func TestShiftIsNotJudgedByWhatTheNextOneBrings(t *testing.T) {
	result := emulateOnce(t, "gatukarta", "hot-key", "quartzdock", 1)
	assert.Assert(t, result.ImbalanceSettled < settledImbalance, "%v after 10 s", result.ImbalanceSettled)
	assert.Assert(t, result.SettleMillis <= float64(settleTime/time.Millisecond))
}
