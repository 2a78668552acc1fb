package simulate

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/deployment"
)

// Config of a simulation.
type Config struct {
	Seed uint64
	// Duration of virtual time, with the quiet end of the fault plan.
	Duration   time.Duration
	Deployment *deployment.Deployment
	Faults     *FaultPlan
	// Defect to switch on; empty is none.
	Defect Defect
}

// Result of a simulation.
type Result struct {
	Seed uint64 `json:"seed"`
	// Steps is how many events ran.
	Steps      uint64            `json:"steps"`
	Faults     map[FaultKind]int `json:"faults"`
	Violations map[Promise]int   `json:"violations"`
	// Digest is equal for equal seeds.
	Digest string `json:"digest"`
	// Requests counts the callers' requests, Answered the whole answers.
	Requests uint64 `json:"requests"`
	Answered int    `json:"answered"`
	// Changes counts accepted changes of operators, InForce those that were
	// known to be in force everywhere, Repairs replaced disks.
	Changes int `json:"changes"`
	InForce int `json:"in_force"`
	Repairs int `json:"repairs"`
	// Examples are the first violations of each promise.
	Examples []Finding `json:"examples,omitempty"`
}

// Violated counts the violations.
func (r *Result) Violated() int { return sum(r.Violations) }

func sum(violations map[Promise]int) int {
	total := 0
	for _, count := range violations {
		total += count
	}
	return total
}

// minimumQuiet is the least time without faults before the end is judged.
const minimumQuiet = 5 * time.Second

// Simulate runs one simulation.
func Simulate(config Config) (*Result, error) {
	quiet := max(config.Faults.Quiet, minimumQuiet)
	if config.Duration <= quiet {
		return nil, fmt.Errorf("duration %v is not longer than the quiet end, %v", config.Duration, quiet)
	}
	w := newWorld(config.Seed)
	c := newCluster(w, config.Deployment, config.Defect)
	faults := newInjector(c, config.Faults)
	c.start()
	faults.start(config.Duration - quiet)
	w.runUntil(config.Duration - quiet/2)
	before := c.outcomes[wire.OutcomeAnswered]
	c.settle()
	w.runUntil(config.Duration - settledLag)
	settled := c.committed.reference.Revision()
	w.runUntil(config.Duration)
	c.lateAnswers = c.outcomes[wire.OutcomeAnswered] - before
	c.checkEnd(settled)
	return c.result(config.Seed, faults), nil
}

// settle stops the operators, so that all can come to the last revision.
func (c *cluster) settle() {
	for _, o := range c.operators {
		o.kill()
	}
}

func (c *cluster) result(seed uint64, faults *injector) *Result {
	return &Result{
		Seed:       seed,
		Steps:      c.world.steps,
		Faults:     faults.counts,
		Violations: c.world.findings.counts,
		Digest:     fmt.Sprintf("%016x", c.world.digest.Sum64()),
		Requests:   c.requests,
		Answered:   c.outcomes[wire.OutcomeAnswered],
		Changes:    c.acknowledged,
		InForce:    c.inForce,
		Repairs:    c.repairs,
		Examples:   c.world.findings.examples,
	}
}
