package ledger

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Promise names a promise of the product that ledgers can show to be broken.
type Promise string

// Promises checked.
const (
	// PromiseSoleOwner: in the order of time, the epochs of a shard's runs and
	// writes never go down, and an epoch belongs to one back end.
	PromiseSoleOwner Promise = "one owner per key"
	// PromiseAtMostOnce: a non-repeatable request ran at most once.
	PromiseAtMostOnce Promise = "non-repeatable at most once"
	// PromiseAcknowledged: a write reported as answered was kept, exactly once
	// where it is non-repeatable.
	PromiseAcknowledged Promise = "acknowledged writes kept"
	// PromiseNotRun: an attempt reported as not run did not run.
	PromiseNotRun Promise = "not run means not run"
	// PromiseWholeAnswer: an answer reported as whole was whole and the
	// caller's own.
	PromiseWholeAnswer Promise = "whole answers to their callers"
	// PromiseLimits: slots and connections of a back end were never exceeded.
	PromiseLimits Promise = "slot and connection limits"
)

// Promises lists all promises in the order of a report.
var Promises = []Promise{
	PromiseSoleOwner, PromiseAtMostOnce, PromiseAcknowledged,
	PromiseNotRun, PromiseWholeAnswer, PromiseLimits,
}

// Violation is one broken promise with its evidence.
type Violation struct {
	Promise  Promise
	Evidence string
}

func (v Violation) String() string { return string(v.Promise) + ": " + v.Evidence }

// Report is the result of a check.
type Report struct {
	// Checked counts what each promise was checked on: requests, or runs and
	// writes for PromiseSoleOwner, or entries for PromiseLimits.
	Checked    map[Promise]int
	Violations []Violation
}

// Broken returns how often a promise was broken.
func (r Report) Broken(promise Promise) int {
	count := 0
	for _, violation := range r.Violations {
		if violation.Promise == promise {
			count++
		}
	}
	return count
}

// request gathers what both sides recorded of one request id.
type request struct {
	id       string
	attempts []CallerEntry
	runs     []BackendEntry
	writes   []BackendEntry
}

type checker struct {
	report   Report
	requests map[string]*request
}

// Check checks all promises. The back ends' entries must be complete: read
// them after the callers' and once no request runs.
func Check(callers []CallerEntry, backends []BackendEntry) Report {
	c := &checker{
		report:   Report{Checked: make(map[Promise]int)},
		requests: make(map[string]*request),
	}
	c.gather(callers, backends)
	c.checkOwners(backends)
	c.checkLimits(backends)
	for _, id := range sortedIDs(c.requests) {
		c.checkRequest(c.requests[id])
	}
	return c.report
}

func sortedIDs(requests map[string]*request) []string {
	ids := make([]string, 0, len(requests))
	for id := range requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *checker) request(id string) *request {
	found := c.requests[id]
	if found == nil {
		found = &request{id: id}
		c.requests[id] = found
	}
	return found
}

func (c *checker) gather(callers []CallerEntry, backends []BackendEntry) {
	for _, entry := range callers {
		found := c.request(entry.RequestID)
		found.attempts = append(found.attempts, entry)
	}
	for _, entry := range backends {
		if entry.RequestID == "" {
			continue
		}
		found := c.request(entry.RequestID)
		switch entry.Kind {
		case KindRun:
			found.runs = append(found.runs, entry)
		case KindWrite:
			found.writes = append(found.writes, entry)
		}
	}
}

func (c *checker) broken(promise Promise, format string, arguments ...any) {
	c.report.Violations = append(c.report.Violations,
		Violation{Promise: promise, Evidence: fmt.Sprintf(format, arguments...)})
}

// tenure is an owner's time with a shard.
type tenure struct {
	shard   string
	epoch   topology.Epoch
	backend string
}

func tenureOf(entry BackendEntry) tenure {
	return tenure{shard: entry.Shard, epoch: entry.Epoch, backend: entry.Backend}
}

// checkOwners orders runs and writes by time. The time of an entry is read
// before the back end checks its lease, so it is when the back end was owner.
func (c *checker) checkOwners(backends []BackendEntry) {
	var owned []BackendEntry
	for _, entry := range backends {
		if (entry.Kind == KindRun || entry.Kind == KindWrite) && entry.Shard != "" {
			owned = append(owned, entry)
		}
	}
	slices.SortStableFunc(owned, func(a, b BackendEntry) int { return cmp.Compare(a.Time, b.Time) })
	latest := make(map[string]tenure)
	keys := make(map[ProbedKey]*keyOwners)
	for _, entry := range owned {
		c.report.Checked[PromiseSoleOwner]++
		if !c.checkShardOwner(latest, entry) {
			continue
		}
		key := ProbedKey{Service: entry.Service, Key: entry.Key}
		if keys[key] == nil {
			keys[key] = newKeyOwners()
		}
		if other, interleaved := keys[key].add(tenureOf(entry)); interleaved {
			c.broken(PromiseSoleOwner, "key %s: %s by %s for shard %s at epoch %d after %s had taken over, request %s",
				entry.Key, entry.Kind, entry.Backend, entry.Shard, entry.Epoch, other, entry.RequestID)
		}
	}
}

// checkShardOwner returns false where it found the promise broken.
func (c *checker) checkShardOwner(latest map[string]tenure, entry BackendEntry) bool {
	last, seen := latest[entry.Shard]
	switch {
	case seen && entry.Epoch < last.epoch:
		c.broken(PromiseSoleOwner, "shard %s: %s by %s at epoch %d after %s acted at epoch %d, request %s",
			entry.Shard, entry.Kind, entry.Backend, entry.Epoch, last.backend, last.epoch, entry.RequestID)
	case seen && entry.Epoch == last.epoch && entry.Backend != last.backend:
		c.broken(PromiseSoleOwner, "shard %s: %s and %s both acted at epoch %d, request %s",
			entry.Shard, last.backend, entry.Backend, entry.Epoch, entry.RequestID)
	default:
		latest[entry.Shard] = tenureOf(entry)
		return true
	}
	return false
}

// keyOwners follows the owners of one key, whose shard may be split or joined.
type keyOwners struct {
	count int
	// first is the place, from 1, of each tenure's first entry; last that of
	// each back end's last entry.
	first map[tenure]int
	last  map[string]int
}

func newKeyOwners() *keyOwners {
	return &keyOwners{first: make(map[tenure]int), last: make(map[string]int)}
}

// add takes the next entry. It reports a back end that acted since the entry's
// tenure began: two owners interleaved.
func (k *keyOwners) add(next tenure) (other string, interleaved bool) {
	k.count++
	began, known := k.first[next]
	if !known {
		k.first[next] = k.count
	}
	k.last[next.backend] = k.count
	for backend, place := range k.last {
		if known && backend != next.backend && place > began {
			return backend, true
		}
	}
	return "", false
}

func (c *checker) checkLimits(backends []BackendEntry) {
	for _, entry := range backends {
		c.report.Checked[PromiseLimits]++
		if entry.Kind == KindOverSlots || entry.Kind == KindOverConnections {
			c.broken(PromiseLimits, "%s: %s", entry.Backend, entry.Kind)
		}
	}
}

func (c *checker) checkRequest(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	first := r.attempts[0]
	if first.NonRepeatable {
		c.report.Checked[PromiseAtMostOnce]++
		if len(r.runs) > 1 {
			c.broken(PromiseAtMostOnce, "request %s (%s/%s) ran %d times: %s",
				r.id, first.Service, first.Operation, len(r.runs), describeRuns(r.runs))
		}
	}
	c.checkOutcomes(r)
}

func (c *checker) checkOutcomes(r *request) {
	for _, attempt := range r.attempts {
		if attempt.Outcome == wire.OutcomeAnswered {
			c.checkAnswer(r, attempt)
		}
	}
	c.checkNotRun(r)
}

// checkNotRun looks for runs that only attempts reported as not run can have
// caused: runs before the first attempt with another outcome was sent.
func (c *checker) checkNotRun(r *request) {
	slices.SortFunc(r.attempts, func(a, b CallerEntry) int { return cmp.Compare(a.Sent, b.Sent) })
	if r.attempts[0].Outcome != wire.OutcomeNotRun {
		return
	}
	c.report.Checked[PromiseNotRun]++
	mayRunFrom := int64(math.MaxInt64)
	for _, attempt := range r.attempts {
		if attempt.Outcome != wire.OutcomeNotRun {
			mayRunFrom = attempt.Sent
			break
		}
	}
	for _, run := range r.runs {
		if run.Time < mayRunFrom {
			c.broken(PromiseNotRun, "request %s (%s) was reported not run (%s), but ran: %s",
				r.id, r.attempts[0].Operation, r.attempts[0].Reason, describeRuns(r.runs))
			return
		}
	}
}

func (c *checker) checkAnswer(r *request, attempt CallerEntry) {
	c.report.Checked[PromiseWholeAnswer]++
	if attempt.Damage != "" {
		c.broken(PromiseWholeAnswer, "request %s (%s): %s", r.id, attempt.Operation, attempt.Damage)
	}
	if attempt.Status != http.StatusOK || !attempt.NonRepeatable {
		return
	}
	c.report.Checked[PromiseAcknowledged]++
	if len(r.writes) != 1 {
		c.broken(PromiseAcknowledged, "request %s (%s) was answered, but its effect was kept %d times",
			r.id, attempt.Operation, len(r.writes))
	}
}

func describeRuns(runs []BackendEntry) string {
	text := ""
	for _, run := range runs {
		text += fmt.Sprintf("[%s shard %s epoch %d time %d]", run.Backend, run.Shard, run.Epoch, run.Time)
	}
	return text
}
