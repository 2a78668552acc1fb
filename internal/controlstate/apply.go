package controlstate

import (
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// application is one command on its way through Apply.
type application struct {
	state    *State
	revision topology.Revision
	command  *Command
	result   Result
	delta    wire.RoutingDelta
}

// Apply makes the change of the log entry at revision. Revisions must grow. The
// delta is empty, with From equal to To, where nothing changed.
func (s *State) Apply(revision topology.Revision, command Command) (Result, wire.RoutingDelta) {
	a := &application{state: s, revision: revision, command: &command}
	a.result.Revision = revision
	a.delta = wire.RoutingDelta{Group: s.group, From: s.revision, To: s.revision}
	if command.isOperators() {
		a.applyOperators()
	} else {
		a.applyLeaders()
	}
	return a.result, a.delta
}

// Check returns what Apply would answer to an operator's change now, without
// changing anything. An accepted change has no refusal and the present
// revision.
func (s *State) Check(command Command) Result {
	if repeated, seen := s.repeat(&command); seen {
		return repeated
	}
	if refused, ok := s.refuse(&command); ok {
		return refused
	}
	return Result{Revision: s.configured}
}

// refuse returns the refusal of an operator's change that was not seen before.
func (s *State) refuse(command *Command) (Result, bool) {
	if conflict := s.conflict(command); conflict != nil {
		return Result{Revision: s.configured, RevisionConflict: conflict}, true
	}
	if found := s.check(command); len(found) > 0 {
		return Result{Revision: s.configured, Violations: found}, true
	}
	return Result{}, false
}

func (s *State) conflict(command *Command) *RevisionConflictError {
	anyRevision := command.MarkLoadShift != nil && command.ExpectedRevision == 0
	if anyRevision || command.ExpectedRevision == s.configured {
		return nil
	}
	return &RevisionConflictError{
		Expected: command.ExpectedRevision,
		Winner:   s.configured,
		Author:   s.author,
	}
}

func (a *application) applyOperators() {
	s := a.state
	if repeated, seen := s.repeat(a.command); seen {
		a.result = repeated
		return
	}
	if refused, ok := s.refuse(a.command); ok {
		a.result = refused
		a.keepAnswer()
		return
	}
	a.changeConfiguration()
	s.changed(a)
	if a.command.MarkLoadShift == nil {
		s.configured = a.revision
		s.author = a.command.Author
	}
	a.keepAnswer()
}

func (a *application) keepAnswer() {
	if a.command.RequestID == "" {
		return
	}
	a.state.answers.keep(answer{
		RequestID: a.command.RequestID,
		Digest:    a.command.Digest,
		Author:    a.command.Author,
		Result:    a.result,
	})
}

func (a *application) applyLeaders() {
	switch command := a.command; {
	case command.ChangeOwnership != nil:
		a.changeOwnership(command.ChangeOwnership)
		if a.result.OwnershipApplied > 0 {
			a.state.changed(a)
		}
	case command.AnnounceController != nil:
		a.announceController(command.AnnounceController)
		a.state.changed(a)
	}
}

// changed moves the state to the revision of the application.
func (s *State) changed(a *application) {
	s.revision = a.revision
	a.delta.To = a.revision
}

func (c *Command) isOperators() bool {
	return c.ChangeOwnership == nil && c.AnnounceController == nil
}

func (a *application) changeConfiguration() {
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

func (a *application) stamp() change {
	return change{Revision: a.revision, Author: a.command.Author}
}
