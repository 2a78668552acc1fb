package controlstate

import (
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// fieldViolations validates an operator command against the state and returns
// every invalid field.
func (s *State) fieldViolations(command *Command) FieldViolationsError {
	violations := &violationList{}
	checkRequestFields(violations, command)
	switch {
	case command.CreateService != nil:
		s.checkCreateService(violations, &command.CreateService.Service)
	case command.UpdateService != nil:
		s.checkUpdateService(violations, &command.UpdateService.Service)
	case command.DeleteService != nil:
		s.checkDeleteService(violations, command.DeleteService.Name)
	case command.CreateBackend != nil:
		s.checkCreateBackend(violations, command.CreateBackend)
	case command.UpdateBackend != nil:
		s.checkUpdateBackend(violations, command.UpdateBackend)
	case command.SetBackendState != nil:
		checkRequestedState(violations, command.SetBackendState.State)
		s.checkBackendTransition(violations, command.SetBackendState.Backend, backendEventFor(command.SetBackendState.State))
	case command.RemoveBackend != nil:
		s.checkBackendTransition(violations, command.RemoveBackend.Backend, ownership.EventRemove)
	case command.MarkLoadShift != nil:
		s.checkMarkLoadShift(violations, command)
	case command.AddController != nil:
		s.checkAddController(violations, &command.AddController.Controller)
	case command.PromoteController != nil:
		s.checkControllerExists(violations, command.PromoteController.ID, command.PromoteController.Member)
	case command.RemoveController != nil:
		s.checkControllerExists(violations, command.RemoveController.ID, command.RemoveController.Member)
	default:
		violations.require(false, "mutation", "names no change")
	}
	return violations.list
}

func (s *State) checkCreateService(violations *violationList, created *topology.Service) {
	checkService(violations, created)
	_, exists := s.serviceIDs[created.Name]
	violations.require(!exists, "service.name", "service %q exists already", created.Name)
}

func (s *State) checkUpdateService(violations *violationList, updated *topology.Service) {
	present, exists := s.Service(updated.Name)
	violations.require(exists, "service.name", "there is no service %q", updated.Name)
	checkService(violations, updated)
	if !exists {
		return
	}
	violations.require(updated.InitialShards == present.InitialShards, "service.initial_shards",
		"%d: was %d at creation and cannot be changed", updated.InitialShards, present.InitialShards)
}

func (s *State) checkDeleteService(violations *violationList, name string) {
	id, exists := s.serviceIDs[name]
	violations.require(exists, "name", "there is no service %q", name)
	if !exists {
		return
	}
	for _, backendID := range sortedKeys(s.services[id].backends) {
		member := s.backends[backendID]
		violations.require(member.State == topology.BackendDraining, "name",
			"back end %q is still active; drain it first", member.Name)
	}
}

func (s *State) checkCreateBackend(violations *violationList, create *CreateBackend) {
	checkBackend(violations, &create.Backend)
	s.checkServiceExists(violations, "backend.service", create.Service)
	name := BackendName{Service: create.Service, Name: create.Backend.Name}
	violations.require(s.backendByName(name) == nil, "backend.name", "back end %q exists already", name.Name)
	s.checkAddressFree(violations, create.Backend.AgentAddress, 0)
}

func (s *State) checkUpdateBackend(violations *violationList, update *UpdateBackend) {
	checkBackend(violations, &update.Backend)
	s.checkServiceExists(violations, "backend.service", update.Service)
	name := BackendName{Service: update.Service, Name: update.Backend.Name}
	present := s.backendByName(name)
	violations.require(present != nil, "backend.name", "there is no back end %q", name.Name)
	if present != nil {
		s.checkAddressFree(violations, update.Backend.AgentAddress, present.ID)
	}
}

func (s *State) checkServiceExists(violations *violationList, field, name string) {
	_, exists := s.serviceIDs[name]
	violations.require(exists, field, "there is no service %q", name)
}

func (s *State) checkAddressFree(violations *violationList, address string, self topology.BackendID) {
	other, taken := s.BackendByAddress(address)
	violations.require(!taken || other.ID == self, "backend.agent_address",
		"%s belongs to back end %q", address, other.Name)
}

func checkRequestedState(violations *violationList, state topology.BackendState) {
	ok := state == topology.BackendActive || state == topology.BackendDraining
	violations.require(ok, "state", "%d: a back end can be made active or draining", state)
}

// backendEventFor returns the event that takes a back end to the given state.
func backendEventFor(state topology.BackendState) ownership.BackendEvent {
	if state == topology.BackendActive {
		return ownership.EventActivate
	}
	return ownership.EventDrain
}

func (s *State) checkBackendTransition(violations *violationList, name BackendName, event ownership.BackendEvent) {
	s.checkServiceExists(violations, "service", name.Service)
	present := s.backendByName(name)
	violations.require(present != nil, "name", "there is no back end %q", name.Name)
	if present == nil {
		return
	}
	_, action, allowed := ownership.NextBackendState(present.State, event)
	violations.require(allowed, "name", "back end %q is in that state already", name.Name)
	if action != ownership.BackendCheckOwnsNothing {
		return
	}
	violations.require(len(present.owned) == 0, "name",
		"back end %q owns %d shards; drain it and wait", name.Name, len(present.owned))
	violations.require(len(present.incoming) == 0, "name",
		"%d shards are on their way to back end %q; drain it and wait", len(present.incoming), name.Name)
}

func (s *State) checkMarkLoadShift(violations *violationList, command *Command) {
	mark := command.MarkLoadShift
	s.checkServiceExists(violations, "service", mark.Service)
	violations.require(len(mark.Keys) >= 1 && len(mark.Keys) <= MaximumShiftKeys, "keys",
		"%d keys: want 1 to %d", len(mark.Keys), MaximumShiftKeys)
	violations.require(mark.StartUnixMilli < mark.EndUnixMilli, "end", "is not after start")
	violations.require(mark.EndUnixMilli > command.UnixMilli, "end", "is past")
	violations.require(mark.ExpectedSlots > 0 && mark.ExpectedSlots <= MaximumSlots, "expected_slots",
		"%g: want more than 0 and at most %d", mark.ExpectedSlots, MaximumSlots)
	violations.require(len(s.loadShifts) < MaximumShifts, "service", "%d load shifts are marked already", len(s.loadShifts))
}

func (s *State) checkAddController(violations *violationList, added *Controller) {
	violations.require(added.Incarnation != 0, "incarnation", "is missing or not hexadecimal")
	checkAddress(violations, "peer_address", added.PeerAddress)
	checkAddress(violations, "session_address", added.SessionAddress)
	checkAddress(violations, "rpc_address", added.RPCAddress)
	for _, known := range s.Controllers() {
		violations.require(known.Incarnation != added.Incarnation, "incarnation",
			"belongs to controller %d already", known.ID)
		violations.require(known.PeerAddress != added.PeerAddress, "peer_address",
			"belongs to controller %d; remove that first", known.ID)
	}
}

func (s *State) checkControllerExists(violations *violationList, id topology.ReplicaID, member bool) {
	_, known := s.controllers[id]
	violations.require(known || member, "id", "there is no controller %d", id)
}
