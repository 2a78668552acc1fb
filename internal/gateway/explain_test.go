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

// A gateway that refuses a try says which request it was, why, and what it knew.
func TestARefusedTryIsToldWithItsReason(t *testing.T) {
	backend := startRawBackend(t, nil)
	g := egressOver(t, backend)
	var out bytes.Buffer
	g.config.Log = slog.New(slog.NewJSONHandler(&out, nil))
	request := tryOf("r-1")
	request.Instance = "i-other"
	result := g.egress.serve(context.Background(), request)
	assert.Equal(t, result.Reason, reasonNotAdmitted)
	for _, part := range []string{`"msg":"try refused"`, `"request":"r-1"`, `"reason":"not-admitted"`, `"present":"i-1"`} {
		assert.Check(t, strings.Contains(out.String(), part), "%s lacks %s", out.String(), part)
	}
}

// Why a key is not held is told apart: what is not leased, not granted, expired
// or taken back has different causes.
func TestWhyAKeyIsNotHeldIsToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		keys := rig.g.keys
		assert.Equal(t, keys.whyNot(5, steady.Reading()), keyNotLeased)
		rig.holder.setRefuse(context.DeadlineExceeded)
		rig.lease(held(0, 9), nil)
		assert.Equal(t, keys.whyNot(5, steady.Reading()), keyNotGranted)
		rig.holder.setRefuse(nil)
		time.Sleep(time.Second)
		assert.Assert(t, keys.holds("i-1", 5, steady.Reading()))
		assert.Equal(t, keys.whyNot(5, steady.Reading().Add(time.Minute)), keyExpired)
		rig.lease([]fleetwire.Held{}, asked(0, 9))
		assert.Equal(t, keys.whyNot(5, steady.Reading()), keyNotLeased)
	})
}

func TestWhyAKeyIsNotHeldIsToldApartByHeartbeatToo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newHeartbeatRig(t)
		keys := rig.g.keys
		assert.Equal(t, keys.whyNot(5, steady.Reading()), keyNotLeased)
		rig.lease(held(0, 9), nil)
		assert.Equal(t, keys.whyNot(5, steady.Reading()), keyNotTold)
		rig.beat(t, "i-1", nil)
		assert.Assert(t, keys.holds("i-1", 5, steady.Reading()))
		assert.Equal(t, keys.whyNot(5, steady.Reading().Add(time.Minute)), keyExpired)
		rig.beat(t, "i-1", nil)
		assert.Equal(t, keys.whyNot(5, steady.Reading()), keyNotTaken)
	})
}

// All hops draw the same requests for the log, about one in sampledOf.
func TestSamplesAreDrawnByTheRequestsID(t *testing.T) {
	drawn := 0
	for i := range 100 * sampledOf {
		if sampled(strings.Repeat("x", i%7) + time.Duration(i).String()) {
			drawn++
		}
	}
	assert.Assert(t, drawn > 50 && drawn < 200, "%d", drawn)
}
