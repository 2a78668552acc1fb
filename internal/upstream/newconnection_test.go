package upstream

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// answerAll is a script that answers each request.
func answerAll(_ int, conn net.Conn, next func() (*http.Request, error)) {
	for {
		if _, err := next(); err != nil {
			return
		}
		if _, err := conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n")); err != nil {
			return
		}
	}
}

// A request that must not meet an answer to an earlier one gets a connection of its own, which others
// use afterwards. The limit of connections holds.
func TestRequestOnNewConnection(t *testing.T) {
	pool := newPool(t, Config{Address: startPeer(t, answerAll).listener.Addr().String(), MaxConnections: 2, MinWarm: -1})
	send := func(do func() (*http.Response, error)) {
		t.Helper()
		response, err := do()
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	onAny := func() (*http.Response, error) { return pool.Do(t.Context(), newRequest(t, http.MethodGet, "")) }
	onNew := func() (*http.Response, error) {
		return pool.DoOnNewConnection(t.Context(), newRequest(t, http.MethodGet, ""))
	}
	for dials, do := range []func() (*http.Response, error){onAny, onNew, onNew, onNew} {
		send(do)
		send(onAny)
		assert.Equal(t, pool.Stats().Dials, uint64(dials+1))
		assert.Assert(t, pool.Stats().Open <= 2)
	}
}

// Without room for another connection the request is not sent.
func TestRequestOnNewConnectionWithoutRoomIsNotSent(t *testing.T) {
	pool := newPool(t, Config{Address: startPeer(t, answerAll).listener.Addr().String(), MaxConnections: 1, MinWarm: -1})
	busy, err := pool.acquire(t.Context())
	assert.NilError(t, err)
	_, err = pool.DoOnNewConnection(t.Context(), newRequest(t, http.MethodGet, ""))
	assert.ErrorIs(t, err, ErrNotSent)
	assert.ErrorIs(t, err, ErrNoRoom)
	pool.release(busy)
	pool.Close()
	_, err = pool.DoOnNewConnection(t.Context(), newRequest(t, http.MethodGet, ""))
	assert.ErrorIs(t, err, ErrClosed)
}
