package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startAnsweringPeer starts a peer that answers each request with what answer returns for it and, if
// closes is set, ends the connection after that.
func startAnsweringPeer(t *testing.T, answer func(*http.Request) string, closes bool) *scriptedPeer {
	t.Helper()
	return startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
		for {
			request, err := next()
			if err != nil {
				return
			}
			if _, err := io.WriteString(conn, answer(request)); err != nil || closes {
				return
			}
		}
	})
}

// startMalformedPeer starts a peer that answers each request with the same bytes and, if closes is
// set, ends the connection after them.
func startMalformedPeer(t *testing.T, answer string, closes bool) *scriptedPeer {
	t.Helper()
	return startAnsweringPeer(t, func(*http.Request) string { return answer }, closes)
}

// fetch sends one request to a peer and reads the whole response.
func fetch(t *testing.T, peer *scriptedPeer) (status int, body string, err error) {
	t.Helper()
	const patience = 10 * time.Second
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	pool := newPool(t, Config{Address: peer.listener.Addr().String()})
	response, err := pool.Do(ctx, newRequest(t, http.MethodGet, ""))
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// An answer whose status is no status code must not pass for an interim one: what follows it, which
// its sender may have from anybody, would be taken for the answer to the request.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const hidden = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden"
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		answer := fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: %d\r\n\r\n%s", status, len(hidden), hidden)
		got, body, err := fetch(t, startMalformedPeer(t, answer, false))
		assert.Check(t, errors.Is(err, ErrInterrupted), "status %s: got %d %q, %v", status, got, body, err)
		assert.Check(t, !errors.Is(err, context.DeadlineExceeded), "status %s: %v", status, err)
	}
}

// A peer that ends the connection anywhere within its answer has not answered.
func TestAnswerCutAnywhereIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 12\r\nResponse-Seal: s\r\n\r\nwhole answer",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nResponse-Seal: s\r\n\r\n5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n",
		"empty":  "HTTP/1.1 204 No Content\r\nResponse-Seal: s\r\n\r\n",
	} {
		for cut := range len(answer) {
			status, body, err := fetch(t, startMalformedPeer(t, answer[:cut], true))
			assert.Check(t, err != nil, "%s: %d with %q after %q", name, status, body, answer[:cut])
		}
		_, _, err := fetch(t, startMalformedPeer(t, answer, true))
		assert.Check(t, err, "%s: whole", name)
	}
}

// Bytes without end in place of an answer's head are given up after maxHeaderBytes, not at the
// request's deadline.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, endless := range map[string]string{
		"no answer":     "x",
		"status line":   "HTTP/1.1 200 O",
		"fields":        "HTTP/1.1 200 OK\r\nField: value\r\n",
		"interim heads": "HTTP/1.1 103 Early Hints\r\n\r\n",
	} {
		repeated := strings.TrimPrefix(endless, "HTTP/1.1 200 OK\r\n")
		peer := startPeer(t, func(_ int, conn net.Conn, next func() (*http.Request, error)) {
			if _, err := next(); err != nil {
				return
			}
			_, err := io.WriteString(conn, endless)
			for err == nil {
				_, err = io.WriteString(conn, strings.Repeat(repeated, 100))
			}
		})
		_, _, err := fetch(t, peer)
		assert.Check(t, errors.Is(err, ErrInterrupted) && !errors.Is(err, context.DeadlineExceeded), "%s: %v", name, err)
	}
}
