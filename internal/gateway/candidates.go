package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/selection"
)

// candidateSets has, by service, the instances that this gateway considers for requests without a
// key.
type candidateSets struct {
	mutex     sync.Mutex
	byService map[string]*candidateSet
}

// candidateSet is that of one service.
type candidateSet struct {
	// considered was selected from a view's list of the service's instances, at the index of a
	// set of evacuated zones.
	considered       []fleetwire.Instance
	list             []fleetwire.Instance
	evacuationsIndex uint64
	pace             selection.Pace
}

func newCandidateSets() *candidateSets {
	return &candidateSets{byService: map[string]*candidateSet{}}
}

// forRequest returns the instances to consider for a request at now, and for how long what is
// known of each may be relied on. The result must not be modified.
func (s *candidateSets) forRequest(g *Gateway, v *view, service string, now time.Time) ([]fleetwire.Instance, time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	set, ok := s.byService[service]
	if !ok {
		set = &candidateSet{}
		s.byService[service] = set
	}
	if list := v.instances[service]; set.considered == nil || !isSameList(set.list, list) || set.evacuationsIndex != v.evacuationsIndex {
		set.considered = selectCandidates(g.config.Name, g.config.Zone, v, service)
		set.list, set.evacuationsIndex = list, v.evacuationsIndex
	}
	set.pace.Observe(now)
	return set.considered, set.pace.Reliance(len(set.considered), loadMaxAge)
}

// isSameList reports whether two lists share their elements. Views share the lists of services
// whose instances haven't changed.
func isSameList(a, b []fleetwire.Instance) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// selectCandidates returns the instances of a service that a gateway considers: a bounded number
// of those that accept requests.
func selectCandidates(gateway, zone string, v *view, service string) []fleetwire.Instance {
	instances := v.instances[service]
	usable := make([]fleetwire.Instance, 0, len(instances))
	candidates := make([]selection.Candidate, 0, len(instances))
	for _, instance := range instances {
		if instance.State != fleetwire.InstanceReady || v.evacuated(instance.Zone) {
			continue
		}
		usable = append(usable, instance)
		candidates = append(candidates, selection.Candidate{ID: instance.ID, Near: instance.Zone == zone})
	}
	considered := make([]fleetwire.Instance, 0, selection.NearSize+selection.FarSize)
	for _, index := range selection.Subset(gateway, candidates) {
		considered = append(considered, usable[index])
	}
	return considered
}
