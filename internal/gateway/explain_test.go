package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A gateway that refuses an attempt logs the request, the reason and the state that the
// decision was based on.
func TestRefusedAttemptIsLoggedWithReason(t *testing.T) {
	backend := startRawBackend(t, nil)
	g := gatewayWithBackend(t, backend)
	var out bytes.Buffer
	g.config.Log = slog.New(slog.NewJSONHandler(&out, nil))
	request := testRequest("r-1")
	request.Instance = "i-other"
	result := g.egress.serve(context.Background(), request)
	assert.Equal(t, result.Reason, reasonNotAdmitted)
	for _, part := range []string{`"msg":"try refused"`, `"request":"r-1"`, `"reason":"not-admitted"`, `"present":"i-1"`} {
		assert.Check(t, strings.Contains(out.String(), part), "%s lacks %s", out.String(), part)
	}
}

// Keys that are not leased, not granted, expired or taken back have different causes and are
// reported as different states.
func TestMissingKeyStates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		keys := rig.g.keys
		assert.Equal(t, keys.missingState(5, steady.Reading()), keyNotLeased)
		rig.holder.setError(context.DeadlineExceeded)
		rig.lease(leasedRange(0, 9), nil)
		assert.Equal(t, keys.missingState(5, steady.Reading()), keyNotGranted)
		rig.holder.setError(nil)
		time.Sleep(time.Second)
		assert.Assert(t, keys.holds("i-1", 5, steady.Reading()))
		assert.Equal(t, keys.missingState(5, steady.Reading().Add(time.Minute)), keyExpired)
		rig.lease([]fleetwire.Held{}, releasable(0, 9))
		assert.Equal(t, keys.missingState(5, steady.Reading()), keyNotLeased)
	})
}

func TestMissingKeyStatesByHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		keys := rig.g.keys
		assert.Equal(t, keys.missingState(5, steady.Reading()), keyNotLeased)
		rig.lease(leasedRange(0, 9), nil)
		assert.Equal(t, keys.missingState(5, steady.Reading()), keyNotOffered)
		rig.heartbeat(t, "i-1", nil)
		assert.Assert(t, keys.holds("i-1", 5, steady.Reading()))
		assert.Equal(t, keys.missingState(5, steady.Reading().Add(time.Minute)), keyExpired)
		rig.heartbeat(t, "i-1", nil)
		assert.Equal(t, keys.missingState(5, steady.Reading()), keyNotAccepted)
	})
}

// All hops sample the same requests for the log, about one in logSampleInterval.
func TestLogSamplingByRequestID(t *testing.T) {
	count := 0
	for i := range 100 * logSampleInterval {
		if isSampled(strings.Repeat("x", i%7) + time.Duration(i).String()) {
			count++
		}
	}
	assert.Assert(t, count > 50 && count < 200, "%d", count)
}
