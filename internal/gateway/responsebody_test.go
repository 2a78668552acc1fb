package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A response body above the limit is an error, also if its length is not stated: a truncated body
// must not pass for the whole.
func TestResponseBodyAboveLimitIsRejected(t *testing.T) {
	const limit = 1000
	for _, stated := range []bool{true, false} {
		for _, length := range []int{0, limit, limit + 1, 3 * limit} {
			response := &http.Response{ContentLength: -1, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", length)))}
			if stated {
				response.ContentLength = int64(length)
			}
			body, err := readBodyWithin(response, limit)
			if length > limit {
				assert.ErrorIs(t, err, errInvalidResponse)
				continue
			}
			assert.NilError(t, err)
			assert.Equal(t, len(body), length)
		}
	}
}
