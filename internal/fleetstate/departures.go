package fleetstate

import "github.com/quartzdock/quartzdock/internal/departure"

// Departures returns the back ends that have announced their departure. The caller must not
// change the set.
func (s *State) Departures() *departure.Set { return &s.departures }

func (s *State) recordDepartures(index uint64, change *departure.Change) Result {
	s.departures.Apply(index, change)
	return Result{Outcome: Accepted, Current: s.Version()}
}
