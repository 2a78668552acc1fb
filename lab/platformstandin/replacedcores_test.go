package platformstandin

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/pause"
)

const (
	// successorAfter is the time from the end of a core machine until its successor starts, and
	// countsAgain from then until another machine may be lost.
	successorAfter = 2 * time.Second
	countsAgain    = 4 * time.Second
)

// Each core machine is replaced by one with a new address, more often than there are seats, as planned
// and not, with a restart of another one between. The group takes a change after each replacement,
// and reads back what was acknowledged.
func TestControllersAreReplacedInTurn(t *testing.T) {
	r := newRig(t)
	version := 5
	for round := range 5 {
		r.RemoveCore(r.ctx, r.Cores[0], round%2 == 1)
		_ = pause.For(r.ctx, successorAfter)
		_, err := r.AddCore()
		assert.NilError(t, err)
		_ = pause.For(r.ctx, countsAgain)
		version = r.changeConfiguration(version)
		if round == 2 {
			r.Cores[1].Signal(syscall.SIGKILL)
			assert.NilError(t, r.Cores[1].Start())
			_ = pause.For(r.ctx, countsAgain)
			version = r.changeConfiguration(version)
		}
	}
	for _, side := range r.Sides {
		r.waitServed(side)
	}
	r.checkPromises()
}

// changeConfiguration replaces the configuration by its next version and returns that.
func (r *rig) changeConfiguration(base int) (version int) {
	r.t.Helper()
	version = base + 2
	status, err := r.Operate(r.ctx, "/config/put", r.configuration(version, base))
	assert.NilError(r.t, err)
	assert.Equal(r.t, status, http.StatusOK)
	return version
}
