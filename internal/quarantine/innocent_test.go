package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// Innocent requests beside the end of back ends, in virtual time. Most requests come once and
// are brought again by their callers; a few popular ones come all the time, at all gateways.
// Slots and queues are left out, and a leader is always there.

const (
	// simulationStep is the unit of the simulation's time.
	simulationStep = 10 * time.Millisecond
	// runLasts is how long a run takes, wordTakes how long a gateway's word to the leader's
	// log and back, and returns how long a caller waits until it comes again.
	runLasts  = 10 * simulationStep
	wordTakes = 5 * simulationStep
	returns   = 20 * simulationStep
	// longestRefusal and mostRefused are the aim: no innocent request is refused for longer
	// than a second, and fewer than one in 10,000 at all.
	longestRefusal = time.Second
	mostRefused    = 1e-4
)

// innocentLoad is a service whose back ends end.
type innocentLoad struct {
	backends int
	// perStep is how many requests come in each step, and popular the share of them that are
	// one of popularKinds.
	perStep      int
	popular      float64
	popularKinds int
	// endEach is the time between two ends, each of endsTogether back ends.
	endEach      time.Duration
	endsTogether int
}

// copyOf is one copy of a request that waits, or runs until a step.
type copyOf struct {
	request quarantine.Digest
	came    int
	until   int
	backend int
	trial   uint64
}

// innocents is the state of a simulation.
type innocents struct {
	load    innocentLoad
	random  *rand.Rand
	history history
	running []copyOf
	waiting []copyOf
	// later are words that arrive in a later step.
	later           map[int][]quarantine.Change
	come, refused   int
	longest, unique int
}

func (s *innocents) draw() quarantine.Digest {
	if s.random.Float64() < s.load.popular {
		return numbered(s.random.IntN(s.load.popularKinds))
	}
	s.unique++
	return quarantine.Digest{1, byte(s.unique >> 24), byte(s.unique >> 16), byte(s.unique >> 8), byte(s.unique)}
}

func (s *innocents) tell(step int, change quarantine.Change) {
	at := step + int(wordTakes/simulationStep)
	s.later[at] = append(s.later[at], change)
}

// endBackends ends some back ends; their callers come again.
func (s *innocents) endBackends(step int) {
	first := s.random.IntN(s.load.backends)
	var left []copyOf
	ended := make([]quarantine.Ended, s.load.endsTogether)
	for i := range ended {
		s.history.lives++
		ended[i] = quarantine.Ended{Life: fmt.Sprint("life-", s.history.lives), Service: "s"}
	}
	for _, run := range s.running {
		place := (run.backend - first + s.load.backends) % s.load.backends
		if place >= s.load.endsTogether {
			left = append(left, run)
			continue
		}
		ended[place].Requests = append(ended[place].Requests, run.request)
		if run.trial != 0 {
			s.tell(step, quarantine.Change{Over: []quarantine.Over{{Request: run.request, Number: run.trial, Sent: true, Failed: true}}})
		}
		s.waiting = append(s.waiting, copyOf{request: run.request, came: step + int(returns/simulationStep)})
	}
	s.running = left
	s.tell(step, quarantine.Change{Ended: ended})
}

// admit lets the waiting copies run that may. A copy that has waited too long is refused.
func (s *innocents) admit(step int) {
	var still []copyOf
	for _, waits := range s.waiting {
		suspect := s.history.Find(waits.request)
		switch {
		case step < waits.came:
			still = append(still, waits)
		case suspect == nil:
			s.run(waits, step, 0)
		case suspect.Trial != nil && suspect.Trial.Node == "used":
			still = s.wait(still, waits, step)
		case s.history.ask(waits.request, "used"):
			s.run(waits, step+int(wordTakes/simulationStep), s.history.Find(waits.request).Trial.Number)
		default:
			still = s.wait(still, waits, step)
		}
	}
	s.waiting = still
}

func (s *innocents) wait(still []copyOf, waits copyOf, step int) []copyOf {
	if waited := step - waits.came; waited > s.longest {
		s.longest = waited
	}
	if time.Duration(step-waits.came)*simulationStep > longestRefusal {
		s.refused++
		return still
	}
	return append(still, waits)
}

func (s *innocents) run(waits copyOf, step int, trial uint64) {
	waits.until, waits.backend, waits.trial = step+int(runLasts/simulationStep), s.random.IntN(s.load.backends), trial
	s.running = append(s.running, waits)
}

// finish ends the runs that are done. An answer clears its request.
func (s *innocents) finish(step int) {
	var still []copyOf
	for _, run := range s.running {
		if run.until > step {
			still = append(still, run)
			continue
		}
		if s.history.Find(run.request) != nil {
			s.tell(step, quarantine.Change{Answered: []quarantine.Digest{run.request}})
		}
	}
	s.running = still
}

func simulate(load innocentLoad, seed uint64, lasts time.Duration) *innocents {
	s := &innocents{load: load, random: rand.New(rand.NewPCG(seed, 1)), later: map[int][]quarantine.Change{}}
	for step := range int(lasts / simulationStep) {
		for _, change := range s.later[step] {
			s.history.apply(change)
		}
		delete(s.later, step)
		s.finish(step)
		if every := int(load.endEach / simulationStep); step%every == every-1 {
			s.endBackends(step)
		}
		for range load.perStep {
			s.come++
			s.waiting = append(s.waiting, copyOf{request: s.draw(), came: step})
		}
		s.admit(step)
	}
	return s
}

// No innocent request waits for more than a second for its trial, whether back ends end alone,
// a zone of them ends at once, or requests are popular.
func TestInnocentRequestsAreNotHeldBack(t *testing.T) {
	busy := innocentLoad{backends: 20, perStep: 20, popularKinds: 10, endEach: 5 * time.Second, endsTogether: 1}
	popular, zone, flapping := busy, busy, busy
	popular.popular = 0.3
	zone.popular, zone.endsTogether, zone.endEach = 0.3, 7, 9*time.Second
	flapping.popular, flapping.endEach = 0.3, 900*time.Millisecond
	for name, load := range map[string]innocentLoad{"busy": busy, "popular": popular, "a zone": zone, "back ends that end all the time": flapping} {
		for seed := range uint64(10) {
			s := simulate(load, seed, 20*time.Second)
			share := float64(s.refused) / float64(s.come)
			assert.Check(t, share <= mostRefused, "%s, seed %d: %d of %d refused, the longest waited %v", name, seed, s.refused, s.come, time.Duration(s.longest)*simulationStep)
		}
	}
}
