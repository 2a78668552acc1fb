package requestrecord

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestPackedAnswerRoundTrips(t *testing.T) {
	assert.Assert(t, packAnswer(nil).answer() == nil)
	rapid.Check(t, func(t *rapid.T) {
		header := rapid.MapOf(rapid.String(), rapid.SliceOfN(rapid.String(), 1, 3)).Draw(t, "header")
		answer := &Answer{
			Status: rapid.IntRange(100, 999).Draw(t, "status"),
			Body:   rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		if len(header) > 0 {
			answer.Header = http.Header(header)
		}
		back := packAnswer(answer).answer()
		assert.Equal(t, back.Status, answer.Status)
		assert.DeepEqual(t, back.Header, answer.Header)
		assert.Equal(t, string(back.Body), string(answer.Body))
	})
}

func TestDamagedPackedAnswerDoesNotPanic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		packed := packedAnswer(rapid.SliceOf(rapid.Byte()).Draw(t, "packed"))
		_ = packed.answer()
	})
	whole := packAnswer(&Answer{Status: 200, Header: http.Header{"A": {"b"}}, Body: []byte("ok")})
	for length := range whole {
		_ = whole[:length].answer()
	}
}
