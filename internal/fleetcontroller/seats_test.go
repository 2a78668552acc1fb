package fleetcontroller_test

import (
	"log/slog"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/seats"
)

// Guards against a group that loses a voter for good: a controller that came back with an empty disk took
// the seat of another one that was only away, and its own was given up.
func TestControllerWithAnEmptyDiskGetsItsOwnSeatBack(t *testing.T) {
	const count = 5
	g := startGroupOf(t, count)
	_, leader := g.change(documentChange(3, 0, 1))
	away, wiped := (leader+1)%count, (leader+2)%count
	var log lines
	for _, i := range []int{away, wiped} {
		g.stop(i)
	}
	for i := range g.configs {
		g.configs[i].Log = slog.New(slog.NewTextHandler(&log, nil))
	}
	for i, controller := range g.controllers {
		if controller != nil {
			g.stop(i)
			g.start(i)
		}
	}
	_, leader = g.change(documentChange(4, 3, 1))
	time.Sleep(seats.ReplaceAfter + shortWait)
	assert.NilError(t, os.RemoveAll(g.configs[wiped].DataDir))
	g.start(wiped)
	log.awaitAdmission(t, g.configs[wiped].PeerListen)
	assert.Assert(t, !log.contains("voter replaced"), "%s", log.text.String())
	assert.Equal(t, len(g.redirect(wiped).Standing.Voters), count)
	g.start(away)
	g.stop(leader)
	g.stop(wiped)
	g.change(documentChange(5, 4, 1))
}
