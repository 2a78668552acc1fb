package controlstate

import (
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// check returns every bad field of an operator's change.
func (s *State) check(command *Command) FieldViolationsError {
	found := &violations{}
	checkEnvelope(found, command)
	switch {
	case command.CreateService != nil:
		s.checkCreateService(found, &command.CreateService.Service)
	case command.UpdateService != nil:
		s.checkUpdateService(found, &command.UpdateService.Service)
	case command.DeleteService != nil:
		s.checkDeleteService(found, command.DeleteService.Name)
	case command.CreateBackend != nil:
		s.checkCreateBackend(found, command.CreateBackend)
	case command.UpdateBackend != nil:
		s.checkUpdateBackend(found, command.UpdateBackend)
	case command.SetBackendState != nil:
		checkOrderedState(found, command.SetBackendState.State)
		s.checkBackendOrder(found, command.SetBackendState.Backend, orderFor(command.SetBackendState.State))
	case command.RemoveBackend != nil:
		s.checkBackendOrder(found, command.RemoveBackend.Backend, ownership.EventRemove)
	case command.MarkLoadShift != nil:
		s.checkMarkLoadShift(found, command)
	case command.AddController != nil:
		s.checkAddController(found, &command.AddController.Controller)
	case command.PromoteController != nil:
		s.checkControllerKnown(found, command.PromoteController.ID, command.PromoteController.Member)
	case command.RemoveController != nil:
		s.checkControllerKnown(found, command.RemoveController.ID, command.RemoveController.Member)
	default:
		found.require(false, "mutation", "names no change")
	}
	return found.found
}

func (s *State) checkCreateService(found *violations, created *topology.Service) {
	checkService(found, created)
	_, exists := s.serviceIDs[created.Name]
	found.require(!exists, "service.name", "service %q exists already", created.Name)
}

func (s *State) checkUpdateService(found *violations, updated *topology.Service) {
	present, exists := s.Service(updated.Name)
	found.require(exists, "service.name", "there is no service %q", updated.Name)
	checkService(found, updated)
	if !exists {
		return
	}
	found.require(updated.InitialShards == present.InitialShards, "service.initial_shards",
		"%d: was %d at creation and cannot be changed", updated.InitialShards, present.InitialShards)
}

func (s *State) checkDeleteService(found *violations, name string) {
	id, exists := s.serviceIDs[name]
	found.require(exists, "name", "there is no service %q", name)
	if !exists {
		return
	}
	for _, backendID := range sortedKeys(s.services[id].backends) {
		member := s.backends[backendID]
		found.require(member.State == topology.BackendDraining, "name",
			"back end %q is still active; drain it first", member.Name)
	}
}

func (s *State) checkCreateBackend(found *violations, create *CreateBackend) {
	checkBackend(found, &create.Backend)
	s.checkServiceExists(found, "backend.service", create.Service)
	name := BackendName{Service: create.Service, Name: create.Backend.Name}
	found.require(s.backendByName(name) == nil, "backend.name", "back end %q exists already", name.Name)
	s.checkAddressFree(found, create.Backend.AgentAddress, 0)
}

func (s *State) checkUpdateBackend(found *violations, update *UpdateBackend) {
	checkBackend(found, &update.Backend)
	s.checkServiceExists(found, "backend.service", update.Service)
	name := BackendName{Service: update.Service, Name: update.Backend.Name}
	present := s.backendByName(name)
	found.require(present != nil, "backend.name", "there is no back end %q", name.Name)
	if present != nil {
		s.checkAddressFree(found, update.Backend.AgentAddress, present.ID)
	}
}

func (s *State) checkServiceExists(found *violations, field, name string) {
	_, exists := s.serviceIDs[name]
	found.require(exists, field, "there is no service %q", name)
}

func (s *State) checkAddressFree(found *violations, address string, self topology.BackendID) {
	other, taken := s.BackendByAddress(address)
	found.require(!taken || other.ID == self, "backend.agent_address",
		"%s belongs to back end %q", address, other.Name)
}

func checkOrderedState(found *violations, state topology.BackendState) {
	ok := state == topology.BackendActive || state == topology.BackendDraining
	found.require(ok, "state", "%d: a back end can be made active or draining", state)
}

// orderFor returns the event that leads to a back end's state.
func orderFor(state topology.BackendState) ownership.BackendEvent {
	if state == topology.BackendActive {
		return ownership.EventActivate
	}
	return ownership.EventDrain
}

func (s *State) checkBackendOrder(found *violations, name BackendName, order ownership.BackendEvent) {
	s.checkServiceExists(found, "service", name.Service)
	present := s.backendByName(name)
	found.require(present != nil, "name", "there is no back end %q", name.Name)
	if present == nil {
		return
	}
	_, action, allowed := ownership.NextBackendState(present.State, order)
	found.require(allowed, "name", "back end %q is in that state already", name.Name)
	if action != ownership.BackendCheckOwnsNothing {
		return
	}
	found.require(len(present.owned) == 0, "name",
		"back end %q owns %d shards; drain it and wait", name.Name, len(present.owned))
	found.require(len(present.incoming) == 0, "name",
		"%d shards are on their way to back end %q; drain it and wait", len(present.incoming), name.Name)
}

func (s *State) checkMarkLoadShift(found *violations, command *Command) {
	mark := command.MarkLoadShift
	s.checkServiceExists(found, "service", mark.Service)
	found.require(len(mark.Keys) >= 1 && len(mark.Keys) <= MaximumShiftKeys, "keys",
		"%d keys: want 1 to %d", len(mark.Keys), MaximumShiftKeys)
	found.require(mark.StartUnixMilli < mark.EndUnixMilli, "end", "is not after start")
	found.require(mark.EndUnixMilli > command.UnixMilli, "end", "is past")
	found.require(mark.ExpectedSlots > 0 && mark.ExpectedSlots <= MaximumSlots, "expected_slots",
		"%g: want more than 0 and at most %d", mark.ExpectedSlots, MaximumSlots)
	found.require(len(s.shifts) < MaximumShifts, "service", "%d load shifts are marked already", len(s.shifts))
}

func (s *State) checkAddController(found *violations, added *Controller) {
	found.require(added.Incarnation != 0, "incarnation", "is missing or not hexadecimal")
	checkAddress(found, "peer_address", added.PeerAddress)
	checkAddress(found, "session_address", added.SessionAddress)
	checkAddress(found, "rpc_address", added.RPCAddress)
	for _, known := range s.Controllers() {
		found.require(known.Incarnation != added.Incarnation, "incarnation",
			"belongs to controller %d already", known.ID)
		found.require(known.PeerAddress != added.PeerAddress, "peer_address",
			"belongs to controller %d; remove that first", known.ID)
	}
}

func (s *State) checkControllerKnown(found *violations, id topology.ReplicaID, member bool) {
	_, known := s.controllers[id]
	found.require(known || member, "id", "there is no controller %d", id)
}
