package platformstandin

import (
	"net/http"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// Each core machine is replaced by one with a new address, more often than there are seats, as planned
// and not, with a restart of another one between. The group takes a change after each replacement,
// and reads back what was acknowledged.
func TestControllersAreReplacedInTurn(t *testing.T) {
	r := newRig(t)
	version := 5
	for round := range 5 {
		_, err := r.ReplaceCore(r.ctx, r.Cores[0], round%2 == 1)
		assert.NilError(t, err)
		_ = pause.For(r.ctx, CountsAgain)
		version = r.changeConfiguration(version)
		if round == 2 {
			r.Cores[1].Signal(syscall.SIGKILL)
			assert.NilError(t, r.Cores[1].Start())
			_ = pause.For(r.ctx, CountsAgain)
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
