package platformstandin

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Hundreds of machines have addresses of their own that can be bound.
func TestEachOfHundredsOfMachinesHasAnAddress(t *testing.T) {
	fleet, err := NewFleet("none", t.TempDir(), mostCores, make([]string, mostSides))
	assert.NilError(t, err)
	seen := map[string]bool{}
	for _, machine := range append(append([]*Machine{}, fleet.Cores...), fleet.Sides...) {
		assert.Assert(t, !seen[machine.IP], "%s twice", machine.IP)
		seen[machine.IP] = true
		assert.Assert(t, net.ParseIP(machine.IP).IsLoopback(), "%s", machine.IP)
	}
	listener, err := net.Listen("tcp", fleet.Sides[mostSides-1].IP+":0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
}

func TestAFleetBeyondTheAddressesIsAnError(t *testing.T) {
	_, err := NewFleet("none", t.TempDir(), mostCores+1, nil)
	assert.ErrorContains(t, err, "controllers")
	_, err = NewFleet("none", t.TempDir(), 1, make([]string, mostSides+1))
	assert.ErrorContains(t, err, "gateways")
}
