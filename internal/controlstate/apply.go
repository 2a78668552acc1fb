package controlstate

import (
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// applyContext holds the command that Apply is running, its result and the
// routing changes collected so far.
type applyContext struct {
	state    *State
	revision topology.Revision
	command  *Command
	result   Result
	delta    wire.RoutingDelta
}

// Apply applies the command of the log entry at the given revision. Revisions
// must increase. If nothing changed, the delta is empty and From equals To.
func (s *State) Apply(revision topology.Revision, command Command) (Result, wire.RoutingDelta) {
	a := &applyContext{state: s, revision: revision, command: &command}
	a.result.Revision = revision
	a.delta = wire.RoutingDelta{Group: s.group, From: s.revision, To: s.revision}
	if command.isOperatorCommand() {
		a.applyOperatorCommand()
	} else {
		a.applyLeaderCommand()
	}
	return a.result, a.delta
}

// Check returns the result that Apply would return for an operator command, but
// changes nothing. If the command would be accepted, the result has no error and
// the current configuration revision.
func (s *State) Check(command Command) Result {
	if repeated, seen := s.previousResult(&command); seen {
		return repeated
	}
	if rejected, ok := s.reject(&command); ok {
		return rejected
	}
	return Result{Revision: s.configRevision}
}

// reject validates an operator command whose request ID is new. It returns the
// rejection and true if the command is invalid.
func (s *State) reject(command *Command) (Result, bool) {
	if conflict := s.revisionConflict(command); conflict != nil {
		return Result{Revision: s.configRevision, RevisionConflict: conflict}, true
	}
	if found := s.fieldViolations(command); len(found) > 0 {
		return Result{Revision: s.configRevision, Violations: found}, true
	}
	return Result{}, false
}

// revisionConflict returns an error if the command was made for another
// configuration revision. MarkLoadShift accepts any revision if it expects zero.
func (s *State) revisionConflict(command *Command) *RevisionConflictError {
	acceptsAnyRevision := command.MarkLoadShift != nil && command.ExpectedRevision == 0
	if acceptsAnyRevision || command.ExpectedRevision == s.configRevision {
		return nil
	}
	return &RevisionConflictError{
		Expected: command.ExpectedRevision,
		Winner:   s.configRevision,
		Author:   s.configAuthor,
	}
}

func (a *applyContext) applyOperatorCommand() {
	s := a.state
	if repeated, seen := s.previousResult(a.command); seen {
		a.result = repeated
		return
	}
	if rejected, ok := s.reject(a.command); ok {
		a.result = rejected
		a.cacheResult()
		return
	}
	a.changeConfiguration()
	s.advanceRevision(a)
	if a.command.MarkLoadShift == nil {
		s.configRevision = a.revision
		s.configAuthor = a.command.Author
	}
	a.cacheResult()
}

func (a *applyContext) cacheResult() {
	if a.command.RequestID == "" {
		return
	}
	a.state.results.add(cachedResult{
		RequestID: a.command.RequestID,
		Digest:    a.command.Digest,
		Author:    a.command.Author,
		Result:    a.result,
	})
}

func (a *applyContext) applyLeaderCommand() {
	switch command := a.command; {
	case command.ChangeOwnership != nil:
		a.changeOwnership(command.ChangeOwnership)
		if a.result.OwnershipApplied > 0 {
			a.state.advanceRevision(a)
		}
	case command.AnnounceController != nil:
		a.announceController(command.AnnounceController)
		a.state.advanceRevision(a)
	}
}

// advanceRevision sets the state's revision to that of the applied command.
func (s *State) advanceRevision(a *applyContext) {
	s.revision = a.revision
	a.delta.To = a.revision
}

func (c *Command) isOperatorCommand() bool {
	return c.ChangeOwnership == nil && c.AnnounceController == nil
}

func (a *applyContext) changeConfiguration() {
	switch command := a.command; {
	case command.CreateService != nil:
		a.createService(command.CreateService.Service)
	case command.UpdateService != nil:
		a.updateService(command.UpdateService.Service)
	case command.DeleteService != nil:
		a.deleteService(command.DeleteService.Name)
	case command.CreateBackend != nil:
		a.createBackend(command.CreateBackend)
	case command.UpdateBackend != nil:
		a.updateBackend(command.UpdateBackend)
	case command.SetBackendState != nil:
		a.setBackendState(command.SetBackendState)
	case command.RemoveBackend != nil:
		a.removeBackend(command.RemoveBackend.Backend)
	case command.MarkLoadShift != nil:
		a.markLoadShift(command.MarkLoadShift)
	case command.AddController != nil:
		a.addController(command.AddController)
	case command.RemoveController != nil:
		delete(a.state.controllers, command.RemoveController.ID)
	}
}

func (a *applyContext) newChangeInfo() changeInfo {
	return changeInfo{Revision: a.revision, Author: a.command.Author}
}
