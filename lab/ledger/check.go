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

// Promise names a guarantee of the product whose violation the ledgers can
// show.
type Promise string

// Promises that Check verifies.
const (
	// PromiseSoleOwner: in order of time, the epochs of a shard's runs and
	// writes never decrease, and each epoch belongs to one back end.
	PromiseSoleOwner Promise = "one owner per key"
	// PromiseAtMostOnce: a non-repeatable request ran at most once.
	PromiseAtMostOnce Promise = "non-repeatable at most once"
	// PromiseAcknowledged: a non-repeatable request that was answered with
	// status 200 has its effect stored exactly once.
	PromiseAcknowledged Promise = "acknowledged writes kept"
	// PromiseNotRun: an attempt reported as not run did not run.
	PromiseNotRun Promise = "not run means not run"
	// PromiseWholeAnswer: an answer reported as complete was complete and
	// belonged to the caller's request.
	PromiseWholeAnswer Promise = "whole answers to their callers"
	// PromiseLimits: the slot and connection limits of a back end were never
	// exceeded.
	PromiseLimits Promise = "slot and connection limits"
)

// Promises lists all promises in the order in which reports show them.
var Promises = []Promise{
	PromiseSoleOwner, PromiseAtMostOnce, PromiseAcknowledged,
	PromiseNotRun, PromiseWholeAnswer, PromiseLimits,
}

// Violation is one violation of a promise with its evidence.
type Violation struct {
	Promise  Promise
	Evidence string
}

func (v Violation) String() string { return string(v.Promise) + ": " + v.Evidence }

// Report is the result of a check.
type Report struct {
	// Checked counts the items that each promise was checked on: runs and
	// writes for PromiseSoleOwner, ledger entries for PromiseLimits, answered
	// attempts for PromiseWholeAnswer and PromiseAcknowledged, and requests for
	// the others.
	Checked    map[Promise]int
	Violations []Violation
}

// Broken returns the number of violations of a promise.
func (r Report) Broken(promise Promise) int {
	count := 0
	for _, violation := range r.Violations {
		if violation.Promise == promise {
			count++
		}
	}
	return count
}

// request holds what callers and back ends recorded for one request id.
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

// Check checks all promises. The back ends' entries must be complete: read them
// after the callers' entries, when no request runs any more.
func Check(callers []CallerEntry, backends []BackendEntry) Report {
	c := &checker{
		report:   Report{Checked: make(map[Promise]int)},
		requests: make(map[string]*request),
	}
	c.groupByRequest(callers, backends)
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

func (c *checker) groupByRequest(callers []CallerEntry, backends []BackendEntry) {
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

func (c *checker) addViolation(promise Promise, format string, arguments ...any) {
	c.report.Violations = append(c.report.Violations,
		Violation{Promise: promise, Evidence: fmt.Sprintf(format, arguments...)})
}

// ownership identifies the period during which a back end owned a shard.
type ownership struct {
	shard   string
	epoch   topology.Epoch
	backend string
}

func ownershipOf(entry BackendEntry) ownership {
	return ownership{shard: entry.Shard, epoch: entry.Epoch, backend: entry.Backend}
}

// checkOwners checks PromiseSoleOwner on runs and writes in order of time. A back
// end reads the time of an entry before it checks its lease, so it owned the
// shard at that time.
func (c *checker) checkOwners(backends []BackendEntry) {
	var owned []BackendEntry
	for _, entry := range backends {
		if (entry.Kind == KindRun || entry.Kind == KindWrite) && entry.Shard != "" {
			owned = append(owned, entry)
		}
	}
	slices.SortStableFunc(owned, func(a, b BackendEntry) int { return cmp.Compare(a.Time, b.Time) })
	latest := make(map[string]ownership)
	keys := make(map[ProbedKey]*keyOwnerHistory)
	for _, entry := range owned {
		c.report.Checked[PromiseSoleOwner]++
		if !c.checkShardOwner(latest, entry) {
			continue
		}
		key := ProbedKey{Service: entry.Service, Key: entry.Key}
		if keys[key] == nil {
			keys[key] = newKeyOwnerHistory()
		}
		if other, interleaved := keys[key].add(ownershipOf(entry)); interleaved {
			c.addViolation(PromiseSoleOwner, "key %s: %s by %s for shard %s at epoch %d after %s had taken over, request %s",
				entry.Key, entry.Kind, entry.Backend, entry.Shard, entry.Epoch, other, entry.RequestID)
		}
	}
}

// checkShardOwner checks one entry against the latest ownership of its shard. It
// returns false if it found a violation.
func (c *checker) checkShardOwner(latest map[string]ownership, entry BackendEntry) bool {
	last, seen := latest[entry.Shard]
	switch {
	case seen && entry.Epoch < last.epoch:
		c.addViolation(PromiseSoleOwner, "shard %s: %s by %s at epoch %d after %s acted at epoch %d, request %s",
			entry.Shard, entry.Kind, entry.Backend, entry.Epoch, last.backend, last.epoch, entry.RequestID)
	case seen && entry.Epoch == last.epoch && entry.Backend != last.backend:
		c.addViolation(PromiseSoleOwner, "shard %s: %s and %s both acted at epoch %d, request %s",
			entry.Shard, last.backend, entry.Backend, entry.Epoch, entry.RequestID)
	default:
		latest[entry.Shard] = ownershipOf(entry)
		return true
	}
	return false
}

// keyOwnerHistory tracks the owners of one key across splits and merges of its
// shard.
type keyOwnerHistory struct {
	// entries counts the entries added.
	entries int
	// firstEntry holds the position, from 1, of the first entry of each
	// ownership; lastEntry that of the last entry of each back end.
	firstEntry map[ownership]int
	lastEntry  map[string]int
}

func newKeyOwnerHistory() *keyOwnerHistory {
	return &keyOwnerHistory{firstEntry: make(map[ownership]int), lastEntry: make(map[string]int)}
}

// add adds the next entry. It returns another back end that has acted since the
// entry's ownership began, which means that two owners interleaved.
func (k *keyOwnerHistory) add(next ownership) (other string, interleaved bool) {
	k.entries++
	firstPosition, known := k.firstEntry[next]
	if !known {
		k.firstEntry[next] = k.entries
	}
	k.lastEntry[next.backend] = k.entries
	for backend, position := range k.lastEntry {
		if known && backend != next.backend && position > firstPosition {
			return backend, true
		}
	}
	return "", false
}

func (c *checker) checkLimits(backends []BackendEntry) {
	for _, entry := range backends {
		c.report.Checked[PromiseLimits]++
		if entry.Kind == KindOverSlots || entry.Kind == KindOverConnections {
			c.addViolation(PromiseLimits, "%s: %s", entry.Backend, entry.Kind)
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
			c.addViolation(PromiseAtMostOnce, "request %s (%s/%s) ran %d times: %s",
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

// checkNotRun looks for runs that started before the first attempt with an
// outcome other than not run was sent: only attempts that were reported as not
// run can have caused them.
func (c *checker) checkNotRun(r *request) {
	slices.SortFunc(r.attempts, func(a, b CallerEntry) int { return cmp.Compare(a.Sent, b.Sent) })
	if r.attempts[0].Outcome != wire.OutcomeNotRun {
		return
	}
	c.report.Checked[PromiseNotRun]++
	earliestRun := int64(math.MaxInt64)
	for _, attempt := range r.attempts {
		if attempt.Outcome != wire.OutcomeNotRun {
			earliestRun = attempt.Sent
			break
		}
	}
	for _, run := range r.runs {
		if run.Time < earliestRun {
			c.addViolation(PromiseNotRun, "request %s (%s) was reported not run (%s), but ran: %s",
				r.id, r.attempts[0].Operation, r.attempts[0].Reason, describeRuns(r.runs))
			return
		}
	}
}

func (c *checker) checkAnswer(r *request, attempt CallerEntry) {
	c.report.Checked[PromiseWholeAnswer]++
	if attempt.Damage != "" {
		c.addViolation(PromiseWholeAnswer, "request %s (%s): %s", r.id, attempt.Operation, attempt.Damage)
	}
	if attempt.Status != http.StatusOK || !attempt.NonRepeatable {
		return
	}
	c.report.Checked[PromiseAcknowledged]++
	if len(r.writes) != 1 {
		c.addViolation(PromiseAcknowledged, "request %s (%s) was answered, but its effect was kept %d times",
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
