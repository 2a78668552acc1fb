package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// Simulates, in virtual time, harmless requests that are in process when back ends crash. Most
// requests are unique and retried by their callers; a few popular ones arrive all the time, at
// all gateways. Slots and queues are not modelled, and there is always a leader.

const (
	// simulationStep is the unit of the simulation's time.
	simulationStep = 10 * time.Millisecond
	// runTime is how long a run takes, reportDelay how long a gateway's report takes to the
	// leader's log and back, and retryDelay how long a caller waits until it retries.
	runTime     = 10 * simulationStep
	reportDelay = 5 * simulationStep
	retryDelay  = 20 * simulationStep
	// maxWait and maxRefusedShare are the aim: a harmless request that waits for longer than a
	// second counts as refused, and fewer than one in 10,000 are refused.
	maxWait         = time.Second
	maxRefusedShare = 1e-4
)

// simulatedLoad describes a service whose back ends crash from time to time.
type simulatedLoad struct {
	backends int
	// perStep is how many requests arrive in each step, and popular the share of them that are
	// one of popularKinds requests.
	perStep      int
	popular      float64
	popularKinds int
	// crashInterval is the time between two failures, in each of which simultaneousCrashes back
	// ends crash.
	crashInterval       time.Duration
	simultaneousCrashes int
}

// requestCopy is one copy of a request that waits, or runs until a step.
type requestCopy struct {
	request   quarantine.Digest
	arrivedAt int
	until     int
	backend   int
	trial     uint64
}

// simulation is the state of a simulation.
type simulation struct {
	load    simulatedLoad
	random  *rand.Rand
	history history
	running []requestCopy
	waiting []requestCopy
	// delayed are the reports that arrive in a later step.
	delayed                   map[int][]quarantine.Change
	arrived, refused          int
	maxWaited, uniqueRequests int
}

func (s *simulation) drawRequest() quarantine.Digest {
	if s.random.Float64() < s.load.popular {
		return numberedDigest(s.random.IntN(s.load.popularKinds))
	}
	s.uniqueRequests++
	return quarantine.Digest{1, byte(s.uniqueRequests >> 24), byte(s.uniqueRequests >> 16), byte(s.uniqueRequests >> 8), byte(s.uniqueRequests)}
}

func (s *simulation) report(step int, change quarantine.Change) {
	at := step + int(reportDelay/simulationStep)
	s.delayed[at] = append(s.delayed[at], change)
}

// crashBackends crashes some back ends; their callers retry.
func (s *simulation) crashBackends(step int) {
	first := s.random.IntN(s.load.backends)
	var left []requestCopy
	crashes := make([]quarantine.Ended, s.load.simultaneousCrashes)
	for i := range crashes {
		s.history.incarnations++
		crashes[i] = quarantine.Ended{Life: fmt.Sprint("life-", s.history.incarnations), Service: "s"}
	}
	for _, run := range s.running {
		place := (run.backend - first + s.load.backends) % s.load.backends
		if place >= s.load.simultaneousCrashes {
			left = append(left, run)
			continue
		}
		crashes[place].Requests = append(crashes[place].Requests, run.request)
		if run.trial != 0 {
			s.report(step, quarantine.Change{Over: []quarantine.Over{{Request: run.request, Number: run.trial, Sent: true, Failed: true}}})
		}
		s.waiting = append(s.waiting, requestCopy{request: run.request, arrivedAt: step + int(retryDelay/simulationStep)})
	}
	s.running = left
	s.report(step, quarantine.Change{Ended: crashes})
}

// admit starts the waiting copies that may run. A copy that has waited too long is refused.
func (s *simulation) admit(step int) {
	var remaining []requestCopy
	for _, waitingCopy := range s.waiting {
		suspect := s.history.Find(waitingCopy.request)
		switch {
		case step < waitingCopy.arrivedAt:
			remaining = append(remaining, waitingCopy)
		case suspect == nil:
			s.run(waitingCopy, step, 0)
		case suspect.Trial != nil && suspect.Trial.Node == "used":
			remaining = s.wait(remaining, waitingCopy, step)
		case s.history.ask(waitingCopy.request, "used"):
			s.run(waitingCopy, step+int(reportDelay/simulationStep), s.history.Find(waitingCopy.request).Trial.Number)
		default:
			remaining = s.wait(remaining, waitingCopy, step)
		}
	}
	s.waiting = remaining
}

func (s *simulation) wait(remaining []requestCopy, waitingCopy requestCopy, step int) []requestCopy {
	if waited := step - waitingCopy.arrivedAt; waited > s.maxWaited {
		s.maxWaited = waited
	}
	if time.Duration(step-waitingCopy.arrivedAt)*simulationStep > maxWait {
		s.refused++
		return remaining
	}
	return append(remaining, waitingCopy)
}

func (s *simulation) run(waitingCopy requestCopy, step int, trial uint64) {
	waitingCopy.until, waitingCopy.backend, waitingCopy.trial = step+int(runTime/simulationStep), s.random.IntN(s.load.backends), trial
	s.running = append(s.running, waitingCopy)
}

// finish ends the runs that are complete. A response clears its request.
func (s *simulation) finish(step int) {
	var remaining []requestCopy
	for _, run := range s.running {
		if run.until > step {
			remaining = append(remaining, run)
			continue
		}
		if s.history.Find(run.request) != nil {
			s.report(step, quarantine.Change{Answered: []quarantine.Digest{run.request}})
		}
	}
	s.running = remaining
}

func simulate(load simulatedLoad, seed uint64, duration time.Duration) *simulation {
	s := &simulation{load: load, random: rand.New(rand.NewPCG(seed, 1)), delayed: map[int][]quarantine.Change{}}
	for step := range int(duration / simulationStep) {
		for _, change := range s.delayed[step] {
			s.history.apply(change)
		}
		delete(s.delayed, step)
		s.finish(step)
		if interval := int(load.crashInterval / simulationStep); step%interval == interval-1 {
			s.crashBackends(step)
		}
		for range load.perStep {
			s.arrived++
			s.waiting = append(s.waiting, requestCopy{request: s.drawRequest(), arrivedAt: step})
		}
		s.admit(step)
	}
	return s
}

// Harmless requests are not refused, whether back ends crash one by one or a zone of them at
// once, and also if requests are popular.
func TestHarmlessRequestsAreNotQuarantined(t *testing.T) {
	busy := simulatedLoad{backends: 20, perStep: 20, popularKinds: 10, crashInterval: 5 * time.Second, simultaneousCrashes: 1}
	popular, zone, flapping := busy, busy, busy
	popular.popular = 0.3
	zone.popular, zone.simultaneousCrashes, zone.crashInterval = 0.3, 7, 9*time.Second
	flapping.popular, flapping.crashInterval = 0.3, 900*time.Millisecond
	for name, load := range map[string]simulatedLoad{"busy": busy, "popular": popular, "a zone": zone, "back ends that crash all the time": flapping} {
		for seed := range uint64(10) {
			s := simulate(load, seed, 20*time.Second)
			share := float64(s.refused) / float64(s.arrived)
			assert.Check(t, share <= maxRefusedShare, "%s, seed %d: %d of %d refused, the longest waited %v", name, seed, s.refused, s.arrived, time.Duration(s.maxWaited)*simulationStep)
		}
	}
}
