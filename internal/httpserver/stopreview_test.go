package httpserver_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A connection that never sent a byte carries no request. Where the time of a
// stop ends while one is open, nothing was cut off, and the stop did not fail.
func TestAStopThatCutsNothingOffIsNoFailure(t *testing.T) {
	server, address, _ := start(t, func(http.ResponseWriter, *http.Request) {}, 0)
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer connection.Close()
	for server.Open(http.StateNew) == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, server.Stop(ctx))
}
