package fleetstate

import "github.com/quartzdock/quartzdock/internal/quarantine"

// Quarantine returns the requests under which back ends have ended. The caller must not
// change it.
func (s *State) Quarantine() *quarantine.Set { return &s.quarantine }

func (s *State) changeQuarantine(index uint64, change *quarantine.Change) Result {
	// What was returned before does not change.
	next := s.quarantine.Clone()
	if next.Apply(index, change) {
		s.quarantine = next
	}
	return Result{Outcome: Accepted, Current: s.Version()}
}
