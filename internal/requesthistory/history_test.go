package requesthistory

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// read returns the lines of several processes' logs.
func read(t *testing.T, logs ...string) []Line {
	t.Helper()
	var all []Line
	for _, log := range logs {
		lines, err := Read(strings.NewReader(log))
		assert.NilError(t, err)
		all = append(all, lines...)
	}
	return all
}

func decisive(h *History) Line {
	for _, entry := range h.Entries {
		if entry.Decisive {
			return entry.Line
		}
	}
	return Line{}
}

const moveLog = `{"time":"2026-01-01T00:00:09.9Z","msg":"keys change owner","node":"core","first":100,"last":200,"from":"i-old","to":"i-new","handover":false}
{"time":"2026-01-01T00:00:09.9Z","msg":"keys change owner","node":"core","first":300,"last":400,"from":"i-old","to":"i-new","handover":false}
`

const gatewayLog = `not JSON at all
 10.2 side-1 {"time":"2026-01-01T00:00:10.2Z","msg":"request not served","node":"side-1","request":"r1","status":503,"reason":"not-owner","key":"150","tries":[{"instance":"i-new","node":"side-2","outcome":"not-run","reason":"not-owner"}]}
{"time":"2026-01-01T00:00:10.3Z","msg":"request not served","node":"side-1","request":"r2","status":503,"reason":"no-room","key":"","tries":[{"instance":"i-full","node":"side-3","outcome":"not-run","reason":"no-room"}]}
`

const peerLog = `{"time":"2026-01-01T00:00:10.1Z","msg":"try refused","node":"side-2","request":"r1","reason":"not-owner","because":"not-granted","instance":"i-new"}
{"time":"2026-01-01T00:00:10.25Z","msg":"try refused","node":"side-3","request":"r2","reason":"no-room","running":4,"waiting":9,"instance":"i-full"}
`

// The history of a request covers the logs of all processes in order of time. The
// decisive line is the move that left the request's key without an owner.
func TestKeyMoveExplainsUnservedRequest(t *testing.T) {
	history, err := Find("r1", read(t, gatewayLog, moveLog, peerLog))
	assert.NilError(t, err)
	assert.Equal(t, len(history.Entries), 3, "the move of its key, the refused try and the final line; not the other move")
	found := decisive(history)
	assert.Equal(t, found.Message, "keys change owner")
	assert.Equal(t, found.First, uint32(100))
	assert.Assert(t, history.Entries[0].At.Before(history.Entries[1].At))
	var out strings.Builder
	assert.NilError(t, history.Write(&out))
	assert.Assert(t, strings.Contains(out.String(), "=>   -0.200 core"), "%s", out.String())
	assert.Assert(t, strings.Contains(out.String(), "cause: the key was moving"), "%s", out.String())
}

func TestFullBackendIsTheCause(t *testing.T) {
	history, err := Find("r2", read(t, gatewayLog, moveLog, peerLog))
	assert.NilError(t, err)
	assert.Equal(t, decisive(history).Message, "try refused")
	assert.Equal(t, decisive(history).Node, "side-3")
}

const nestedCallLog = `{"time":"2026-01-01T00:00:10.00Z","msg":"request not served","node":"side-9","request":"before","status":503,"reason":"no-room"}
{"time":"2026-01-01T00:00:10.15Z","msg":"request not served","node":"side-9","request":"inner","status":503,"reason":"no-room"}
{"time":"2026-01-01T00:00:10.16Z","msg":"request not served","node":"side-9","request":"a caller's","status":503,"reason":"no-room","key":"17"}
{"time":"2026-01-01T00:00:10.16Z","msg":"request not served","node":"side-8","request":"elsewhere","status":503,"reason":"no-room"}
{"time":"2026-01-01T00:00:10.20Z","msg":"request answered","node":"side-1","request":"r3","status":500,"took_ms":100,"tries":[{"instance":"i-9","node":"side-9","outcome":"answered"}]}
`

// A back end often fails because a call that it makes itself fails, and that call has
// another request id. The history shows unserved calls through its gateway during the run.
func TestBackendFailureShowsUnservedNestedCalls(t *testing.T) {
	history, err := Find("r3", read(t, nestedCallLog))
	assert.NilError(t, err)
	assert.Equal(t, len(history.Entries), 2, "only the call during the run, at that gateway")
	assert.Equal(t, decisive(history).Request, "inner")
	assert.Equal(t, history.Cause, nestedCallExplanation)
}

// A process that was killed writes no final line for a request; the cause says so.
func TestRequestWithoutFinalLineIsReported(t *testing.T) {
	history, err := Find("r1", read(t, peerLog))
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(history.Cause, "was killed"), "%s", history.Cause)
	_, err = Find("nobody", read(t, peerLog))
	assert.Assert(t, errors.Is(err, ErrNotFound))
}

// Each of these reasons must have an explanation.
func TestEachReasonIsExplained(t *testing.T) {
	for _, reason := range []string{
		reasonNoConfiguration, reasonNoInstance, reasonNoRoom, reasonNotOwner, reasonNotAdmitted,
		reasonRefused, reasonUnreachable, reasonExchangeBroken, reasonTimeout, reasonNoRoute,
	} {
		assert.Assert(t, explanations[reason].meaning != "", reason)
	}
}

// An answer that waited for an earlier one on its connection is explained by that.
func TestPipelinedAnswerIsExplainedByThePrecedingOne(t *testing.T) {
	const log = `{"time":"2026-01-01T00:00:10.20Z","msg":"request answered","node":"side-1","request":"r3","status":200,"late":true,"took_ms":100,"tries":[]}
{"time":"2026-01-01T00:00:10.45Z","msg":"answer waited for its turn","node":"side-1","request":"r3","behind":"r2","wait_ms":250}`
	history, err := Find("r3", read(t, log))
	assert.NilError(t, err)
	assert.Equal(t, decisive(history).Message, "answer waited for its turn")
	assert.Assert(t, strings.Contains(history.Cause, "waited 250 ms for that of request r2"), "%s", history.Cause)
}
