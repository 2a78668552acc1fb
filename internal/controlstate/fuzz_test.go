package controlstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// seedCommands returns one command of each kind.
func seedCommands() []controlstate.Command {
	service := topology.Service{Name: "closures", InitialShards: 2, Rules: []topology.RequestRule{{Methods: []string{"POST"}, NonRepeatable: true}}}
	name := controlstate.BackendName{Service: "wayfinder", Name: "backend-1"}
	controller := controlstate.Controller{ID: 2, Incarnation: 9, PeerAddress: "127.0.0.1:1", SessionAddress: "127.0.0.1:2", RPCAddress: "127.0.0.1:3"}
	return []controlstate.Command{
		{CreateService: &controlstate.CreateService{Service: service}},
		{UpdateService: &controlstate.UpdateService{Service: service}},
		{DeleteService: &controlstate.DeleteService{Name: "wayfinder"}},
		{CreateBackend: &controlstate.CreateBackend{Service: "wayfinder", Backend: topology.Backend{Name: "b", AgentAddress: "127.0.0.1:1"}}},
		{UpdateBackend: &controlstate.UpdateBackend{Service: "wayfinder", Backend: topology.Backend{Name: "backend-1"}}},
		{SetBackendState: &controlstate.SetBackendState{Backend: name, State: topology.BackendDraining}},
		{RemoveBackend: &controlstate.RemoveBackend{Backend: name}},
		{MarkLoadShift: &controlstate.MarkLoadShift{Service: "wayfinder", Keys: []topology.KeyHash{1}, EndUnixMilli: 1, ExpectedSlots: 1}},
		{AddController: &controlstate.AddController{Controller: controller, LowestID: 2}},
		{PromoteController: &controlstate.PromoteController{ID: 1}},
		{RemoveController: &controlstate.RemoveController{ID: 1}},
		{AnnounceController: &controlstate.AnnounceController{Controller: controller, LeaseDuration: 1}},
		ownershipCommand(1, 0, ownership.EventAssign, 1),
		ownershipCommand(1, 0, ownership.EventSplit, 0),
		ownershipCommand(1, 0, ownership.EventMerge, 0),
	}
}

// FuzzDecodeCommand checks that any command that can be decoded can also be
// encoded and decoded again, and can be applied without a panic.
func FuzzDecodeCommand(f *testing.F) {
	for _, command := range seedCommands() {
		command.RequestID, command.Author, command.ExpectedRevision = "r", "anna", 4
		data, err := controlstate.EncodeCommand(command)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		command, err := controlstate.DecodeCommand(data)
		if err != nil {
			return
		}
		reencoded, err := controlstate.EncodeCommand(command)
		assert.NilError(t, err)
		_, err = controlstate.DecodeCommand(reencoded)
		assert.NilError(t, err)
		l := newPopulatedLog(2)
		l.apply(ownershipCommand(1, 0, ownership.EventAssign, 1))
		l.apply(command)
		l.state.Routing()
		l.state.Backends()
	})
}

// FuzzDecodeState checks that a damaged snapshot is either rejected, leaving the
// state unchanged, or decoded to a state that can be read without a panic.
func FuzzDecodeState(f *testing.F) {
	l := newPopulatedLog(2)
	l.apply(ownershipCommand(1, 0, ownership.EventAssign, 1))
	data, err := l.state.Encode()
	assert.NilError(f, err)
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		l := newPopulatedLog(1)
		before := l.state.Revision()
		if l.state.Decode(data) != nil {
			assert.Equal(t, l.state.Revision(), before)
			return
		}
		l.state.Routing()
		l.state.Backends()
	})
}
