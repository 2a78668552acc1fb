package gateway

import (
	"math"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// Any load report is either rejected or encoded again to the same text by formatLoad.
func FuzzLoad(f *testing.F) {
	for _, text := range []string{
		"3,1,18,90000,20000,150000,1000000,12500", "0,0,0,0,0,0,0,0", "-1,0,18,1,1,1,1,1", "NaN,0,18,1,1,1,1,1",
		"9223372036854775807,0,18,1,1,1,1,1", ",,,,,,,", "1,0,18,1e3,1,1,1,1", "",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		result := decodeResult(responseWithLoad(text), nil)
		if !result.loadRead {
			assert.Equal(t, result.Load, peerLoad{})
			return
		}
		assert.Equal(t, formatLoad(result.Load), text)
		p := &peer{}
		p.endAttempt(result, steady.Reading())
		seconds := p.expect(time.Second, loadMaxAge, steady.Reading()).seconds
		if !(seconds >= 0) || math.IsInf(seconds, 0) {
			t.Fatalf("estimated duration %v s for load report %q", seconds, text)
		}
	})
}

// Decoding any header fields of a peer or a back end yields a known reason, a number in its
// range, or nothing.
func FuzzFields(f *testing.F) {
	f.Add("answered", "no-room", "2500", "7")
	f.Add("not-run", "", "-1", "65536")
	f.Add("x", "y", "99999999999999999999", "NaN")
	f.Fuzz(func(t *testing.T, outcomeText, reasonText, retryAfter, key string) {
		response := &http.Response{StatusCode: http.StatusOK, Header: http.Header{fieldOutcome: {outcomeText}, fieldReason: {reasonText}, fieldRetryAfter: {retryAfter}}}
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
