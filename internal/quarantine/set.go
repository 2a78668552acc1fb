package quarantine

import (
	"fmt"
	"slices"
)

const (
	// LikelyCauseCrashes is the number of incarnations of back ends that have crashed while
	// processing a request from which it counts as the likely cause.
	LikelyCauseCrashes = 3
	// MaxLateTrials is how often a request may be sent in all once LikelyCauseCrashes
	// incarnations have crashed, unless it is answered.
	MaxLateTrials = 3
	// maxFailedTrials is the number of failed trials from which a request with
	// LikelyCauseCrashes is quarantined. Several crashes at the same moment, as when a zone
	// loses power, are not failed trials.
	maxFailedTrials = 2
	// MaxSuspects bounds the set. The oldest suspect with fewer than LikelyCauseCrashes is evicted
	// first.
	MaxSuspects = 512
	// maxIncarnations bounds the incarnations whose crash is remembered so that it counts once.
	maxIncarnations = 512
	// maxNameLength bounds names of services, incarnations and gateways, in bytes.
	maxNameLength = 256
	// MaxCrashRequests bounds the requests that are reported as in process when an incarnation
	// crashed.
	MaxCrashRequests = 256
)

// Trial lets one gateway send a request once.
type Trial struct {
	// Node is the gateway, and Boot identifies its process.
	Node string
	Boot uint64
	// Number is the log index at which the trial was granted.
	Number uint64
}

// Suspect is a request during which a back end has crashed.
type Suspect struct {
	Request Digest
	Service string
	// Ends is how many incarnations have crashed while processing it, and FailedTrials how many
	// of these were trials.
	Ends, FailedTrials int
	// LateTrials is how often it may have been sent since LikelyCauseCrashes incarnations had
	// crashed.
	LateTrials int
	// Further is how many failed trials it is allowed beyond maxFailedTrials.
	Further int
	// Trial is the current trial, nil if none is granted.
	Trial *Trial
	// Untold are the numbers of trials that were granted before LikelyCauseCrashes incarnations
	// had crashed and that were closed without a report of their gateways: they may still be
	// sent.
	Untold []uint64
}

// Quarantined reports whether the request is quarantined because no trial is left.
func (s *Suspect) Quarantined() bool {
	return s.Exhausted() || s.Ends >= LikelyCauseCrashes && s.FailedTrials >= maxFailedTrials+s.Further
}

// Exhausted reports whether all late trials are used up, so that a quarantined request gets no
// further trial by waiting.
func (s *Suspect) Exhausted() bool { return s.LateTrials+len(s.Untold) >= MaxLateTrials }

// Ended reports the crash of an incarnation of a back end, with the requests that it was
// processing.
type Ended struct {
	Life     string
	Service  string
	Requests []Digest
}

// Check returns an error for a report that no gateway sends.
func (e *Ended) Check() error {
	switch {
	case e.Life == "" || len(e.Life) > maxNameLength || len(e.Service) > maxNameLength:
		return fmt.Errorf("crash of a back end: incarnation name of %d bytes, service name of %d bytes", len(e.Life), len(e.Service))
	case len(e.Requests) > MaxCrashRequests:
		return fmt.Errorf("crash of back end %.64q: %d requests, %d at most", e.Life, len(e.Requests), MaxCrashRequests)
	}
	return nil
}

// Asked is a gateway's request for a trial of a suspect.
type Asked struct {
	Request Digest
	Node    string
	Boot    uint64
}

// Over reports the end of a trial that got no response.
type Over struct {
	Request Digest
	// Number is that of the trial.
	Number uint64
	// Sent is set if the request may have been sent to a back end, and Failed if this back end
	// crashed.
	Sent, Failed bool
	// Lost is set if the gateway has not reported the end and may still send the request.
	Lost bool
}

// Change is a set of events. They are applied in the order of the fields.
type Change struct {
	Ended []Ended
	// Answered are suspects that got a complete response.
	Answered []Digest
	Over     []Over
	// Further are quarantined requests that get one more trial, and Released suspects that an
	// operator has cleared.
	Further  []Digest
	Released []Digest
	Asked    []Asked
}

// Empty reports whether the change has no events.
func (c *Change) Empty() bool {
	return len(c.Ended)+len(c.Answered)+len(c.Over)+len(c.Further)+len(c.Released)+len(c.Asked) == 0
}

// Add appends the events of another change.
func (c *Change) Add(other *Change) {
	c.Ended = append(c.Ended, other.Ended...)
	c.Answered = append(c.Answered, other.Answered...)
	c.Over = append(c.Over, other.Over...)
	c.Further = append(c.Further, other.Further...)
	c.Released = append(c.Released, other.Released...)
	c.Asked = append(c.Asked, other.Asked...)
}

// Set is the replicated set of suspects, the oldest first. The zero value is empty. It is a
// deterministic state machine: its replicas apply the same changes.
type Set struct {
	// Index is the log index of the last change that had an effect.
	Index    uint64
	Suspects []Suspect
	// Lives are the incarnations whose crash was counted, the latest last.
	Lives []string
}

// Find returns the suspect for a request, nil if there is none.
func (s *Set) Find(request Digest) *Suspect {
	for i := range s.Suspects {
		if s.Suspects[i].Request == request {
			return &s.Suspects[i]
		}
	}
	return nil
}

// HasCounted reports whether the crash of an incarnation was counted.
func (s *Set) HasCounted(incarnation string) bool { return slices.Contains(s.Lives, incarnation) }

// Clone returns a deep copy.
func (s *Set) Clone() Set {
	copied := Set{Index: s.Index, Suspects: slices.Clone(s.Suspects), Lives: slices.Clone(s.Lives)}
	for i := range copied.Suspects {
		if trial := copied.Suspects[i].Trial; trial != nil {
			granted := *trial
			copied.Suspects[i].Trial = &granted
		}
		copied.Suspects[i].Untold = slices.Clone(copied.Suspects[i].Untold)
	}
	return copied
}

// Apply applies the change at a log index and reports whether it had an effect.
func (s *Set) Apply(index uint64, change *Change) (changed bool) {
	for i := range change.Ended {
		changed = s.recordCrash(&change.Ended[i]) || changed
	}
	for _, request := range change.Answered {
		changed = s.clear(request) || changed
	}
	for _, over := range change.Over {
		changed = s.endTrial(over) || changed
	}
	for _, request := range change.Further {
		changed = s.allowFurtherTrial(request) || changed
	}
	for _, request := range change.Released {
		changed = s.clear(request) || changed
	}
	for _, asked := range change.Asked {
		changed = s.grantTrial(index, asked) || changed
	}
	if changed {
		s.Index = index
	}
	return changed
}

// Effective returns the events of a change that would have an effect.
func (s *Set) Effective(change *Change) Change {
	after := s.Clone()
	var part Change
	for i := range change.Ended {
		if after.recordCrash(&change.Ended[i]) {
			part.Ended = append(part.Ended, change.Ended[i])
		}
	}
	part.Answered = applicable(change.Answered, after.clear)
	part.Over = applicable(change.Over, after.endTrial)
	part.Further = applicable(change.Further, after.allowFurtherTrial)
	part.Released = applicable(change.Released, after.clear)
	part.Asked = applicable(change.Asked, func(asked Asked) bool { return after.grantTrial(s.Index+1, asked) })
	return part
}

// applicable returns the events that have an effect, in their order.
func applicable[Event any](events []Event, apply func(Event) bool) []Event {
	var kept []Event
	for _, event := range events {
		if apply(event) {
			kept = append(kept, event)
		}
	}
	return kept
}

// recordCrash counts the crash of an incarnation for all requests that it was processing.
func (s *Set) recordCrash(crash *Ended) bool {
	if crash.Check() != nil || s.HasCounted(crash.Life) {
		return false
	}
	s.Lives = append(s.Lives[max(0, len(s.Lives)+1-maxIncarnations):], crash.Life)
	counted := map[Digest]bool{}
	for _, request := range crash.Requests {
		if !counted[request] {
			counted[request] = true
			s.countCrash(request, crash.Service)
		}
	}
	return true
}

func (s *Set) countCrash(request Digest, service string) {
	suspect := s.Find(request)
	if suspect == nil {
		s.evictIfFull()
		s.Suspects = append(s.Suspects, Suspect{Request: request, Service: service})
		suspect = &s.Suspects[len(s.Suspects)-1]
	}
	if suspect.Trial != nil {
		// The gateway of the trial may still send the request: the incarnation may have crashed
		// while processing an earlier copy.
		suspect.FailedTrials++
		suspect.loseTrial()
	}
	suspect.Ends++
}

// loseTrial closes the current trial without a report of its gateway.
func (s *Suspect) loseTrial() {
	if s.Ends < LikelyCauseCrashes {
		s.Untold = append(s.Untold, s.Trial.Number)
	}
	s.Trial = nil
}

// evictIfFull evicts one suspect if the set is full.
func (s *Set) evictIfFull() {
	if len(s.Suspects) < MaxSuspects {
		return
	}
	oldest := max(0, slices.IndexFunc(s.Suspects, func(suspect Suspect) bool { return suspect.Ends < LikelyCauseCrashes }))
	s.Suspects = slices.Delete(s.Suspects, oldest, oldest+1)
}

func (s *Set) clear(request Digest) bool {
	before := len(s.Suspects)
	s.Suspects = slices.DeleteFunc(s.Suspects, func(suspect Suspect) bool { return suspect.Request == request })
	return len(s.Suspects) < before
}

func (s *Set) endTrial(over Over) bool {
	suspect := s.Find(over.Request)
	switch {
	case suspect == nil:
		return false
	case suspect.Trial == nil || suspect.Trial.Number != over.Number:
		return !over.Lost && suspect.recordLateResult(over)
	case over.Lost:
		suspect.loseTrial()
		return true
	}
	suspect.Trial = nil
	switch {
	case over.Failed:
		suspect.FailedTrials++
	case !over.Sent && suspect.Ends >= LikelyCauseCrashes:
		suspect.LateTrials--
	}
	return true
}

// recordLateResult records a gateway's report of a trial that was closed without it.
func (s *Suspect) recordLateResult(over Over) bool {
	place := slices.Index(s.Untold, over.Number)
	if place < 0 {
		return false
	}
	s.Untold = slices.Delete(s.Untold, place, place+1)
	if over.Sent && s.Ends >= LikelyCauseCrashes {
		s.LateTrials++
	}
	return true
}

func (s *Set) allowFurtherTrial(request Digest) bool {
	suspect := s.Find(request)
	if suspect == nil || !suspect.Quarantined() || suspect.Exhausted() {
		return false
	}
	suspect.Further = suspect.FailedTrials + 1 - maxFailedTrials
	return true
}

func (s *Set) grantTrial(index uint64, asked Asked) bool {
	suspect := s.Find(asked.Request)
	if suspect == nil || suspect.Trial != nil || suspect.Quarantined() || len(asked.Node) > maxNameLength {
		return false
	}
	suspect.Trial = &Trial{Node: asked.Node, Boot: asked.Boot, Number: index}
	if suspect.Ends >= LikelyCauseCrashes {
		suspect.LateTrials++
	}
	return true
}

// Check returns an error for a set that can't result from a log.
func (s *Set) Check() error {
	if len(s.Suspects) > MaxSuspects || len(s.Lives) > maxIncarnations {
		return fmt.Errorf("quarantine of %d requests and %d incarnations", len(s.Suspects), len(s.Lives))
	}
	seen := map[Digest]bool{}
	for i := range s.Suspects {
		suspect := &s.Suspects[i]
		if seen[suspect.Request] || suspect.Ends < 1 || suspect.LateTrials < 0 || suspect.FailedTrials < 0 || suspect.LateTrials+len(suspect.Untold) > MaxLateTrials {
			return fmt.Errorf("quarantine of %v: %d crashes, %d late trials", suspect.Request, suspect.Ends, suspect.LateTrials)
		}
		seen[suspect.Request] = true
		if trial := suspect.Trial; trial != nil && trial.Number > s.Index {
			return fmt.Errorf("quarantine of %v: trial %d after index %d", suspect.Request, trial.Number, s.Index)
		}
	}
	return nil
}
