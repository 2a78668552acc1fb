package controller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// TestSilentConnectionsDoNotKeepOthersOut: greetings take turns, and a peer that
// connects and says nothing must not hold one. There are more of them than
// turns, and the router is greeted while they are still open.
func TestSilentConnectionsDoNotKeepOthersOut(t *testing.T) {
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
	assert.NilError(t, conn.Receive(&answer), "silent peers are given up after 2 s, so they are still open")
	assert.Assert(t, answer.Welcome != nil && answer.Welcome.Refusal == "")
}
