package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// numbered returns a response that states the number of the request that it answers.
func numbered(number int, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nNumber: %d\r\nContent-Length: %d\r\n\r\n%s", number, len(body), body)
}

// fetchNumbered sends requests in turn, and returns the bodies of their responses until one fails.
func fetchNumbered(t *testing.T, peer *scriptedPeer, count int) (bodies []string, stats Stats, err error) {
	t.Helper()
	const patience = 10 * time.Second
	pool := newPool(t, Config{Address: peer.listener.Addr().String(), IsSurplus: func(request *http.Request, response *http.Response) bool {
		return response.Header.Get("Number") != "" && response.Header.Get("Number") != request.Header.Get("Number")
	}})
	for number := 1; number <= count; number++ {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		request := newRequest(t, http.MethodGet, "")
		request.Header = http.Header{"Number": {fmt.Sprint(number)}}
		response, err := pool.Do(ctx, request)
		if err != nil {
			return bodies, pool.Stats(), err
		}
		content, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		bodies = append(bodies, string(content))
	}
	return bodies, pool.Stats(), nil
}

// startNumberedPeer starts a peer that sends what answer returns for the number of a request.
func startNumberedPeer(t *testing.T, answer func(number int) string) *scriptedPeer {
	t.Helper()
	return startAnsweringPeer(t, func(request *http.Request) string {
		var number int
		_, _ = fmt.Sscan(request.Header.Get("Number"), &number)
		return answer(number)
	}, false)
}

// Guards against an exchange that is broken off, its request possibly running, since an answer to an
// earlier request came in the place of the one that is due.
func TestResponseToAnotherRequestIsDiscarded(t *testing.T) {
	peer := startNumberedPeer(t, func(number int) string {
		if number == 1 {
			return numbered(1, "first")
		}
		return numbered(number-1, "again") + "HTTP/1.1 100 Continue\r\n\r\n" +
			fmt.Sprintf("HTTP/1.1 200 OK\r\nNumber: %d\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nagain\r\n0\r\n\r\n", number-1) + numbered(number, fmt.Sprint("due ", number))
	})
	bodies, stats, err := fetchNumbered(t, peer, 3)
	assert.NilError(t, err)
	assert.DeepEqual(t, bodies, []string{"first", "due 2", "due 3"})
	assert.Equal(t, stats.Dials, uint64(2), "a connection with surplus responses was used again")
}

// What is discarded is bounded, in responses and in bytes, and ends with the connection.
func TestDiscardedResponsesAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		answer   string
		accepted bool
	}{
		"as many as are discarded":    {strings.Repeat(numbered(0, "x"), maxSurplusResponses-1) + numbered(1, "due"), true},
		"one more":                    {strings.Repeat(numbered(0, "x"), maxSurplusResponses) + numbered(1, "due"), false},
		"as many bytes as are read":   {numbered(0, strings.Repeat("x", maxSurplusBytes/2)) + numbered(0, strings.Repeat("x", maxSurplusBytes/2)) + numbered(1, "due"), true},
		"one byte more":               {numbered(0, strings.Repeat("x", maxSurplusBytes/2)) + numbered(0, strings.Repeat("x", maxSurplusBytes/2+1)) + numbered(1, "due"), false},
		"it ends with the connection": {"HTTP/1.1 200 OK\r\nNumber: 0\r\n\r\n", false},
		"it closes the connection":    {"HTTP/1.1 200 OK\r\nNumber: 0\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			bodies, _, err := fetchNumbered(t, startNumberedPeer(t, func(int) string { return test.answer }), 1)
			if test.accepted {
				assert.NilError(t, err)
				assert.DeepEqual(t, bodies, []string{"due"})
				return
			}
			assert.Assert(t, errors.Is(err, ErrSurplus) && errors.Is(err, ErrInterrupted), "%v", err)
		})
	}
}
