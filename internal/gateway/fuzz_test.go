package gateway

import (
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// Whatever a told load's bytes are, it tells nothing, or what formatLoad writes again.
func FuzzLoad(f *testing.F) {
	for _, text := range []string{
		"3,1,18,90000,20000,150000,1000000,12500", "0,0,0,0,0,0,0,0", "-1,0,18,1,1,1,1,1", "NaN,0,18,1,1,1,1,1",
		"9223372036854775807,0,18,1,1,1,1,1", ",,,,,,,", "1,0,18,1e3,1,1,1,1", "",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		result := decodeResult(answerOf(text), nil)
		if !result.loadRead {
			assert.Equal(t, result.Load, peerLoad{})
			return
		}
		assert.Equal(t, formatLoad(result.Load), text)
		p := &peer{}
		p.end(result, steady.Reading())
		seconds, _ := p.expected(time.Second, steady.Reading())
		if !(seconds >= 0) || math.IsInf(seconds, 0) {
			t.Fatalf("%v s by %q", seconds, text)
		}
	})
}

// Whatever a peer's or a back end's fields hold, reading them gives a known word, a number
// in its range, or nothing.
func FuzzFields(f *testing.F) {
	f.Add("answered", "no-room", "2500", "7")
	f.Add("not-run", "", "-1", "65536")
	f.Add("x", "y", "99999999999999999999", "NaN")
	f.Fuzz(func(t *testing.T, told, why, wait, key string) {
		response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{fieldOutcome: {told}, fieldReason: {why}, fieldRetryAfter: {wait}}}
		result := decodeResult(response, nil)
		if !result.Reason.known() || result.RetryAfter < 0 || result.RetryAfter > 24*time.Hour {
			t.Fatalf("%+v", result)
		}
		switch result.Outcome {
		case outcomeAnswered, outcomeNotRun, outcomeUnknown:
		default:
			t.Fatalf("%+v", result)
		}
		if number, ok := parseKey(key); !ok && number != 0 {
			t.Fatalf("key %d", number)
		}
	})
}
