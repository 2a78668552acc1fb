package quarantine

import (
	"fmt"
	"slices"
)

const (
	// ManyEnds is how many lives of back ends may end under a request before it counts as
	// the likely cause.
	ManyEnds = 3
	// MostLateTrials is how often a request may be sent in all once ManyEnds have ended,
	// unless it is answered.
	MostLateTrials = 3
	// failedTrials is under how many trials a back end may end before a request with
	// ManyEnds is held back. Ends at the same moment, as where a zone loses power, are no
	// trials.
	failedTrials = 2
	// MostSuspects bounds the set. The oldest with fewer than ManyEnds goes first.
	MostSuspects = 512
	// mostLives bounds the lives whose end is remembered, so that it counts once.
	mostLives = 512
	// mostName bounds names of services, lives and gateways, in bytes.
	mostName = 256
	// MostEnded bounds the requests that are told to have been at work when a life ended.
	MostEnded = 256
)

// Trial lets one gateway send a request once.
type Trial struct {
	// Node is the gateway, and Boot its process.
	Node string
	Boot uint64
	// Number is the log index that granted it.
	Number uint64
}

// Suspect is a request under which a back end has ended.
type Suspect struct {
	Request Digest
	Service string
	// Ends is how many lives have ended under it, and FailedTrials how many of them while
	// it was on trial.
	Ends, FailedTrials int
	// LateTrials is how often it may have been sent since ManyEnds had ended.
	LateTrials int
	// Further is how many more failed trials it is given than failedTrials.
	Further int
	// Trial is the one that is granted, nil where none is.
	Trial *Trial
	// Untold are the numbers of trials that were granted before ManyEnds had ended and that
	// are over without their gateways' word: they may be sent yet.
	Untold []uint64
}

// Held reports whether no trial is left.
func (s *Suspect) Held() bool {
	return s.Spent() || s.Ends >= ManyEnds && s.FailedTrials >= failedTrials+s.Further
}

// Spent reports whether a held request gets no further trial by itself.
func (s *Suspect) Spent() bool { return s.LateTrials+len(s.Untold) >= MostLateTrials }

// Ended is one life of a back end that has ended, with the requests that it was at work on.
type Ended struct {
	Life     string
	Service  string
	Requests []Digest
}

// Check refuses what no gateway tells.
func (e *Ended) Check() error {
	switch {
	case e.Life == "" || len(e.Life) > mostName || len(e.Service) > mostName:
		return fmt.Errorf("end of a back end: life of %d bytes, service of %d bytes", len(e.Life), len(e.Service))
	case len(e.Requests) > MostEnded:
		return fmt.Errorf("end of %.64q: %d requests, %d at most", e.Life, len(e.Requests), MostEnded)
	}
	return nil
}

// Asked is a gateway that has a suspect to send.
type Asked struct {
	Request Digest
	Node    string
	Boot    uint64
}

// Over is the end of a trial without an answer.
type Over struct {
	Request Digest
	// Number is that of the trial.
	Number uint64
	// Sent says that a back end may have been sent the request, and Failed that it ended.
	Sent, Failed bool
	// Lost says that the gateway has not told it, and may send the request yet.
	Lost bool
}

// Change is what happened, in the order in which the fields are applied.
type Change struct {
	Ended []Ended
	// Answered are suspects that got a whole answer.
	Answered []Digest
	Over     []Over
	// Further are held ones that get one more trial, and Released those that an operator
	// has cleared.
	Further  []Digest
	Released []Digest
	Asked    []Asked
}

// Empty reports whether nothing happened.
func (c *Change) Empty() bool {
	return len(c.Ended)+len(c.Answered)+len(c.Over)+len(c.Further)+len(c.Released)+len(c.Asked) == 0
}

// Add adds what happened besides.
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
	// Index is the log index of the last change that changed anything.
	Index    uint64
	Suspects []Suspect
	// Lives are those whose end was counted, the latest last.
	Lives []string
}

// Find returns a suspect, nil where a request is none.
func (s *Set) Find(request Digest) *Suspect {
	for i := range s.Suspects {
		if s.Suspects[i].Request == request {
			return &s.Suspects[i]
		}
	}
	return nil
}

// Knows reports whether the end of a life was counted.
func (s *Set) Knows(life string) bool { return slices.Contains(s.Lives, life) }

// Clone returns a copy that shares nothing.
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

// Apply puts a change of a log index in force and reports whether it changed anything.
func (s *Set) Apply(index uint64, change *Change) (changed bool) {
	for i := range change.Ended {
		changed = s.ended(&change.Ended[i]) || changed
	}
	for _, request := range change.Answered {
		changed = s.clear(request) || changed
	}
	for _, over := range change.Over {
		changed = s.over(over) || changed
	}
	for _, request := range change.Further {
		changed = s.further(request) || changed
	}
	for _, request := range change.Released {
		changed = s.clear(request) || changed
	}
	for _, asked := range change.Asked {
		changed = s.grant(index, asked) || changed
	}
	if changed {
		s.Index = index
	}
	return changed
}

// Effective returns the part of a change that would change anything.
func (s *Set) Effective(change *Change) Change {
	after := s.Clone()
	var part Change
	for i := range change.Ended {
		if after.ended(&change.Ended[i]) {
			part.Ended = append(part.Ended, change.Ended[i])
		}
	}
	part.Answered = keep(change.Answered, after.clear)
	part.Over = keep(change.Over, after.over)
	part.Further = keep(change.Further, after.further)
	part.Released = keep(change.Released, after.clear)
	part.Asked = keep(change.Asked, func(asked Asked) bool { return after.grant(s.Index+1, asked) })
	return part
}

// keep returns the events that change anything, in their order.
func keep[Event any](events []Event, apply func(Event) bool) []Event {
	var kept []Event
	for _, event := range events {
		if apply(event) {
			kept = append(kept, event)
		}
	}
	return kept
}

// ended counts the end of a life against all that it was at work on.
func (s *Set) ended(ended *Ended) bool {
	if ended.Check() != nil || s.Knows(ended.Life) {
		return false
	}
	s.Lives = append(s.Lives[max(0, len(s.Lives)+1-mostLives):], ended.Life)
	counted := map[Digest]bool{}
	for _, request := range ended.Requests {
		if !counted[request] {
			counted[request] = true
			s.endedUnder(request, ended.Service)
		}
	}
	return true
}

func (s *Set) endedUnder(request Digest, service string) {
	suspect := s.Find(request)
	if suspect == nil {
		s.makeRoom()
		s.Suspects = append(s.Suspects, Suspect{Request: request, Service: service})
		suspect = &s.Suspects[len(s.Suspects)-1]
	}
	if suspect.Trial != nil {
		// Its gateway may yet send it: the life may have ended under an earlier copy.
		suspect.FailedTrials++
		suspect.lose()
	}
	suspect.Ends++
}

// lose ends the present trial without its gateway's word.
func (s *Suspect) lose() {
	if s.Ends < ManyEnds {
		s.Untold = append(s.Untold, s.Trial.Number)
	}
	s.Trial = nil
}

// makeRoom pushes one suspect out where there are too many.
func (s *Set) makeRoom() {
	if len(s.Suspects) < MostSuspects {
		return
	}
	oldest := max(0, slices.IndexFunc(s.Suspects, func(suspect Suspect) bool { return suspect.Ends < ManyEnds }))
	s.Suspects = slices.Delete(s.Suspects, oldest, oldest+1)
}

func (s *Set) clear(request Digest) bool {
	before := len(s.Suspects)
	s.Suspects = slices.DeleteFunc(s.Suspects, func(suspect Suspect) bool { return suspect.Request == request })
	return len(s.Suspects) < before
}

func (s *Set) over(over Over) bool {
	suspect := s.Find(over.Request)
	switch {
	case suspect == nil:
		return false
	case suspect.Trial == nil || suspect.Trial.Number != over.Number:
		return !over.Lost && suspect.tellLate(over)
	case over.Lost:
		suspect.lose()
		return true
	}
	suspect.Trial = nil
	switch {
	case over.Failed:
		suspect.FailedTrials++
	case !over.Sent && suspect.Ends >= ManyEnds:
		suspect.LateTrials--
	}
	return true
}

// tellLate takes a gateway's word of a trial that was over without it.
func (s *Suspect) tellLate(over Over) bool {
	place := slices.Index(s.Untold, over.Number)
	if place < 0 {
		return false
	}
	s.Untold = slices.Delete(s.Untold, place, place+1)
	if over.Sent && s.Ends >= ManyEnds {
		s.LateTrials++
	}
	return true
}

func (s *Set) further(request Digest) bool {
	suspect := s.Find(request)
	if suspect == nil || !suspect.Held() || suspect.Spent() {
		return false
	}
	suspect.Further = suspect.FailedTrials + 1 - failedTrials
	return true
}

func (s *Set) grant(index uint64, asked Asked) bool {
	suspect := s.Find(asked.Request)
	if suspect == nil || suspect.Trial != nil || suspect.Held() || len(asked.Node) > mostName {
		return false
	}
	suspect.Trial = &Trial{Node: asked.Node, Boot: asked.Boot, Number: index}
	if suspect.Ends >= ManyEnds {
		suspect.LateTrials++
	}
	return true
}

// Check refuses a set that no log makes.
func (s *Set) Check() error {
	if len(s.Suspects) > MostSuspects || len(s.Lives) > mostLives {
		return fmt.Errorf("quarantine of %d requests and %d lives", len(s.Suspects), len(s.Lives))
	}
	seen := map[Digest]bool{}
	for i := range s.Suspects {
		suspect := &s.Suspects[i]
		if seen[suspect.Request] || suspect.Ends < 1 || suspect.LateTrials < 0 || suspect.FailedTrials < 0 || suspect.LateTrials+len(suspect.Untold) > MostLateTrials {
			return fmt.Errorf("quarantine of %v: %d ends, %d late trials", suspect.Request, suspect.Ends, suspect.LateTrials)
		}
		seen[suspect.Request] = true
		if trial := suspect.Trial; trial != nil && trial.Number > s.Index {
			return fmt.Errorf("quarantine of %v: trial %d after index %d", suspect.Request, trial.Number, s.Index)
		}
	}
	return nil
}
