package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// TestSilentConnectionsDoNotBlockHandshakes checks that a peer that connects
// and sends nothing does not occupy a handshake slot: more silent connections
// than slots are open while a router connects.
func TestSilentConnectionsDoNotBlockHandshakes(t *testing.T) {
	const silent = 100
	f := start(t)
	options := transport.Options{IdleTimeout: time.Second}
	for range silent {
		conn, err := transport.Dial(t.Context(), f.addr.Sessions, options)
		assert.NilError(t, err)
		defer conn.Close()
	}
	conn, err := transport.Dial(t.Context(), f.addr.Sessions, options)
	assert.NilError(t, err)
	defer conn.Close()
	assert.NilError(t, conn.Send(wire.ToController{Hello: &wire.Hello{Group: 1, Role: topology.RoleRouter, Name: "router", Probe: true}}))
	var answer wire.FromController
	assert.NilError(t, conn.Receive(&answer), "the silent connections must still be open; they time out after 2 s")
	assert.Assert(t, answer.Welcome != nil && answer.Welcome.Refusal == "")
}
