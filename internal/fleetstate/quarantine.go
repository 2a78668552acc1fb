package fleetstate

import "github.com/quartzdock/quartzdock/internal/quarantine"

// Quarantine returns the requests during which back ends have crashed. The caller must not
// change it.
func (s *State) Quarantine() *quarantine.Set { return &s.quarantine }

func (s *State) changeQuarantine(index uint64, change *quarantine.Change) Result {
	// Sets that Quarantine has returned must not change, so apply the change to a copy.
	next := s.quarantine.Clone()
	if next.Apply(index, change) {
		s.quarantine = next
	}
	return Result{Outcome: Accepted, Current: s.Version()}
}
