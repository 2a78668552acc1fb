package fleetstate

import (
	"maps"
	"slices"
)

// ChangeEvacuation is an operator's command to start or end the evacuation of a zone, during
// which the zone's back ends get no requests. It is idempotent, so that it can be repeated if
// the response was lost.
type ChangeEvacuation struct {
	Zone string
	// Evacuate is true to start the evacuation and false to end it.
	Evacuate bool
}

// evacuations is the set of evacuated zones.
type evacuations struct {
	// Since holds the log index of the command that started the evacuation, by zone. Index
	// is that of the last command that changed anything.
	Since map[string]uint64
	Index uint64
}

// Evacuated reports whether a zone is evacuated.
func (s *State) Evacuated(zone string) bool {
	_, ok := s.evacuations.Since[zone]
	return ok
}

// EvacuatedZones returns the evacuated zones, sorted.
func (s *State) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuations.Since)) }

// EvacuationsIndex returns the log index of the last command that changed the set of
// evacuated zones; zero if there has been none.
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
