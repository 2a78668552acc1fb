package fleetstate

import (
	"maps"
	"slices"
)

// ChangeEvacuation is an operator's order that the back ends of a zone are to get
// nothing more, or that they may again. Orders set the state whatever it was, so that
// one whose answer was lost may be sent again.
type ChangeEvacuation struct {
	Zone string
	// Evacuate is false where the evacuation ends.
	Evacuate bool
}

// evacuations are the zones that are evacuated.
type evacuations struct {
	// Since has the log index of the order by zone, and Index that of the last order
	// that changed anything.
	Since map[string]uint64
	Index uint64
}

// Evacuated reports whether the back ends of a zone are to get nothing.
func (s *State) Evacuated(zone string) bool {
	_, ok := s.evacuations.Since[zone]
	return ok
}

// EvacuatedZones returns the zones that are evacuated, sorted.
func (s *State) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuations.Since)) }

// EvacuationsIndex is the log index of the last order that changed the set of
// evacuated zones; zero is none.
func (s *State) EvacuationsIndex() uint64 { return s.evacuations.Index }

func (s *State) changeEvacuation(index uint64, change *ChangeEvacuation) Result {
	if s.Evacuated(change.Zone) == change.Evacuate {
		return Result{Outcome: Repeated, Current: s.Version()}
	}
	if change.Evacuate {
		s.evacuations.Since[change.Zone] = index
	} else {
		delete(s.evacuations.Since, change.Zone)
	}
	s.evacuations.Index = index
	return Result{Outcome: Accepted, Current: s.Version()}
}
