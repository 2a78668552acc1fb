package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A request that was in progress when a back end crashed may run again only by a trial that
// the leader has granted to this gateway. Such requests are known from the leader's view and,
// before they are in it, from the gateway that detected the crash.

const (
	// trialWaitShare is the part of a request's remaining time that it may wait for a trial,
	// and maxTrialWait the upper bound.
	trialWaitShare = 0.5
	maxTrialWait   = time.Second
	// quarantineRetryAfter is the retry time sent with the refusal of a request that has no
	// trial left.
	quarantineRetryAfter = 20 * time.Second
	// expectedCrashLifetime is how long a request stays suspected if its caller's gateway is
	// the first to learn that a back end crashed during it. The notice of the crash arrives
	// within that time.
	expectedCrashLifetime = 500 * time.Millisecond
	// maxUnconfirmed bounds the crashes that the leader has not confirmed; the oldest are
	// dropped.
	maxUnconfirmed = 256
)

// trial identifies a trial that the leader has granted.
type trial struct {
	digest quarantine.Digest
	number uint64
}

// suspicion is what a gateway knows about a request.
type suspicion int

const (
	notSuspected suspicion = iota
	// trialOnly means that the request may run only by a trial.
	trialOnly
	// quarantined means that no trial is left.
	quarantined
)

// quarantineTracker is the gateway's part of the quarantine. The zero value is ready to use.
type quarantineTracker struct {
	mutex sync.Mutex
	// unconfirmedCrashes are the crashes that the leader's set may not contain yet, the oldest
	// first.
	unconfirmedCrashes []quarantine.Ended
	// expectedCrashes are the requests for which the notice of a crash is on its way, with the
	// latest time of its arrival.
	expectedCrashes map[quarantine.Digest]steady.Instant
	// waiters counts the callers that wait for a trial, by request.
	waiters map[quarantine.Digest]int
	// usedTrials are the granted trials that were used or returned.
	usedTrials map[trial]bool
	// endedTrials and answeredSuspects are reported to the leader until its view reflects
	// them. A request that was answered is cleared here immediately, unless more back ends
	// have crashed during it than the number kept here.
	endedTrials      map[trial]quarantine.Over
	answeredSuspects map[quarantine.Digest]int
}

// suspects reports whether any request is suspected at all.
func (k *quarantineTracker) suspects(v *view) bool {
	if len(v.suspects) > 0 {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.unconfirmedCrashes)+len(k.expectedCrashes) > 0
}

// suspicionOf returns what is known about a request.
func (k *quarantineTracker) suspicionOf(digest quarantine.Digest, v *view) suspicion {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	suspect, known := v.suspects[digest]
	if crashes, cleared := k.answeredSuspects[digest]; cleared && suspect.Ends <= crashes {
		return notSuspected
	}
	switch {
	case known && suspect.Quarantined():
		return quarantined
	case known || k.hasUnconfirmed(digest):
		return trialOnly
	}
	if until, ok := k.expectedCrashes[digest]; ok && steady.Now().Before(until) {
		return trialOnly
	}
	return notSuspected
}

// expectCrash records that a back end crashed during a request of a caller of this gateway.
func (k *quarantineTracker) expectCrash(digest quarantine.Digest, now steady.Instant) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.expectedCrashes == nil {
		k.expectedCrashes = map[quarantine.Digest]steady.Instant{}
	}
	k.pruneExpected(now)
	k.expectedCrashes[digest] = now.Add(expectedCrashLifetime)
	delete(k.answeredSuspects, digest)
}

// addCrashes records crashes that were detected here or that another gateway reported.
func (k *quarantineTracker) addCrashes(crashes []quarantine.Ended) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for i := range crashes {
		duplicate := slices.ContainsFunc(k.unconfirmedCrashes, func(each quarantine.Ended) bool { return each.Life == crashes[i].Life })
		if duplicate || crashes[i].Check() != nil {
			continue
		}
		k.unconfirmedCrashes = append(k.unconfirmedCrashes, crashes[i])
		for _, digest := range crashes[i].Requests {
			delete(k.answeredSuspects, digest)
		}
	}
	k.unconfirmedCrashes = k.unconfirmedCrashes[max(0, len(k.unconfirmedCrashes)-maxUnconfirmed):]
}

// confirm records that the leader's set contains the crashes of some incarnations.
func (k *quarantineTracker) confirm(incarnations []string) {
	if len(incarnations) == 0 {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.unconfirmedCrashes = slices.DeleteFunc(k.unconfirmedCrashes, func(crash quarantine.Ended) bool { return slices.Contains(incarnations, crash.Life) })
}

// confirmed reports whether the leader has confirmed all of some crashes.
func (k *quarantineTracker) confirmed(crashes []quarantine.Ended) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return !slices.ContainsFunc(k.unconfirmedCrashes, func(unconfirmed quarantine.Ended) bool {
		return slices.ContainsFunc(crashes, func(crash quarantine.Ended) bool { return crash.Life == unconfirmed.Life })
	})
}

// await registers a caller that waits for a trial. The caller must call done when it stops
// waiting.
func (k *quarantineTracker) await(digest quarantine.Digest) (done func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.waiters == nil {
		k.waiters = map[quarantine.Digest]int{}
	}
	k.waiters[digest]++
	return func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		if k.waiters[digest]--; k.waiters[digest] <= 0 {
			delete(k.waiters, digest)
		}
	}
}

// claimTrial uses a trial that was granted to this process. Each trial can be used once.
func (k *quarantineTracker) claimTrial(digest quarantine.Digest, v *view, node string, boot uint64) (number uint64, ok bool) {
	granted := v.suspects[digest].Trial
	if granted == nil || granted.Node != node || granted.Boot != boot {
		return 0, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	key := trial{digest, granted.Number}
	if k.usedTrials[key] {
		return 0, false
	}
	k.markUsed(key)
	return granted.Number, true
}

// markUsed prevents a trial from being used again. The caller must hold the mutex.
func (k *quarantineTracker) markUsed(key trial) {
	if k.usedTrials == nil {
		k.usedTrials = map[trial]bool{}
	}
	k.usedTrials[key] = true
}

// recordTrialEnd records the result of a trial that got no complete response.
func (k *quarantineTracker) recordTrialEnd(ended trial, result *forwardResult) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.queueTrialEnd(quarantine.Over{Request: ended.digest, Number: ended.number, Sent: result.Sent, Failed: result.Reason == reasonBackendCrashed})
}

// queueTrialEnd queues the end of a trial for the next report to the leader. The caller must
// hold the mutex.
func (k *quarantineTracker) queueTrialEnd(end quarantine.Over) {
	if k.endedTrials == nil {
		k.endedTrials = map[trial]quarantine.Over{}
	}
	k.endedTrials[trial{end.Request, end.Number}] = end
}

// recordResponse records a complete response to a suspected request.
func (k *quarantineTracker) recordResponse(digest quarantine.Digest, v *view) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.answeredSuspects == nil {
		k.answeredSuspects = map[quarantine.Digest]int{}
	}
	k.answeredSuspects[digest] = v.suspects[digest].Ends
}

// report returns the changes to send to the leader; nil if there are none.
func (k *quarantineTracker) report(v *view, node string, boot uint64) *quarantine.Change {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.returnUnusedTrials(v, node, boot)
	k.prune(v)
	change := &quarantine.Change{Ended: slices.Clone(k.unconfirmedCrashes)}
	change.Answered = slices.Collect(maps.Keys(k.answeredSuspects))
	change.Over = slices.Collect(maps.Values(k.endedTrials))
	for digest := range k.waiters {
		if _, cleared := k.answeredSuspects[digest]; !cleared {
			change.Asked = append(change.Asked, quarantine.Asked{Request: digest, Node: node, Boot: boot})
		}
	}
	if change.Empty() {
		return nil
	}
	return change
}

// returnUnusedTrials returns the trials that no caller here waits for any more. The caller
// must hold the mutex.
func (k *quarantineTracker) returnUnusedTrials(v *view, node string, boot uint64) {
	for digest, suspect := range v.suspects {
		granted := suspect.Trial
		if granted == nil || granted.Node != node || granted.Boot != boot || k.waiters[digest] > 0 {
			continue
		}
		if key := (trial{digest, granted.Number}); !k.usedTrials[key] {
			k.markUsed(key)
			k.queueTrialEnd(quarantine.Over{Request: digest, Number: granted.Number})
		}
	}
}

// prune drops the entries that the leader's view already reflects. The caller must hold the
// mutex.
func (k *quarantineTracker) prune(v *view) {
	listed := func(key trial) bool {
		suspect := v.suspects[key.digest]
		return suspect.Trial != nil && suspect.Trial.Number == key.number || slices.Contains(suspect.Untold, key.number)
	}
	maps.DeleteFunc(k.endedTrials, func(key trial, _ quarantine.Over) bool { return !listed(key) })
	maps.DeleteFunc(k.usedTrials, func(key trial, _ bool) bool { return !listed(key) })
	k.pruneExpected(steady.Now())
	maps.DeleteFunc(k.answeredSuspects, func(digest quarantine.Digest, _ int) bool {
		_, suspected := v.suspects[digest]
		return !suspected && !k.hasUnconfirmed(digest)
	})
}

// pruneExpected drops the requests for which no notice has arrived in time. The caller must
// hold the mutex.
func (k *quarantineTracker) pruneExpected(now steady.Instant) {
	maps.DeleteFunc(k.expectedCrashes, func(_ quarantine.Digest, until steady.Instant) bool { return !now.Before(until) })
}

// hasUnconfirmed reports whether a request was in progress during a crash that the leader's
// set may not contain yet. The caller must hold the mutex.
func (k *quarantineTracker) hasUnconfirmed(digest quarantine.Digest) bool {
	return slices.ContainsFunc(k.unconfirmedCrashes, func(crash quarantine.Ended) bool { return slices.Contains(crash.Requests, digest) })
}

// admitSuspect admits a request that is not suspected, and waits for a trial of one that is.
// It returns the number of the trial, zero if none was needed, or a refusal.
func (g *Gateway) admitSuspect(ctx context.Context, c *call) (number uint64, refusal *forwardResult) {
	v := g.views.load()
	if !g.quarantine.suspects(v) {
		return 0, nil
	}
	suspect := c.digest()
	if g.quarantine.suspicionOf(suspect, v) == notSuspected {
		return 0, nil
	}
	until := steady.Reading().Add(min(maxTrialWait, time.Duration(trialWaitShare*float64(steady.Until(c.deadline)))))
	done := g.quarantine.await(suspect)
	defer done()
	for {
		switch g.quarantine.suspicionOf(suspect, v) {
		case notSuspected:
			return 0, nil
		case quarantined:
			refusal = notRun(reasonQuarantined)
			refusal.RetryAfter = quarantineRetryAfter
			return 0, refusal
		case trialOnly:
		}
		if number, ok := g.quarantine.claimTrial(suspect, v, g.config.Name, g.session.boot); ok {
			return number, nil
		}
		remaining := steady.Until(until)
		if remaining <= 0 || ctx.Err() != nil {
			return 0, notRun(reasonAwaitsTrial)
		}
		g.session.requestReport()
		v.awaitNewer(ctx.Done(), remaining)
		v = g.views.load()
	}
}

// reportTrialEnd reports the result of a trial to the leader. Number zero means that there was no
// trial.
func (g *Gateway) reportTrialEnd(c *call, number uint64, result *forwardResult) {
	if number == 0 || result.Outcome == outcomeAnswered {
		return
	}
	g.quarantine.recordTrialEnd(trial{c.digest(), number}, result)
	g.session.requestReport()
}

// blocksSuspect reports whether a request must not go to the local back end because it is
// suspected and the gateway of its caller did not know.
func (g *Gateway) blocksSuspect(request *forwardRequest) bool {
	if request.Trial != 0 {
		return false
	}
	v := g.views.load()
	return g.quarantine.suspects(v) && g.quarantine.suspicionOf(request.digest(), v) != notSuspected
}

// clearAnsweredSuspect clears a suspected request that got a complete response. The digest is
// computed only if any request is suspected.
func (g *Gateway) clearAnsweredSuspect(digest func() quarantine.Digest) {
	v := g.views.load()
	if !g.quarantine.suspects(v) || g.quarantine.suspicionOf(digest(), v) == notSuspected {
		return
	}
	g.quarantine.recordResponse(digest(), v)
	g.session.requestReport()
}

// reportCrash reports a crash of the back end to the leader and to all other gateways, with
// the requests that were in progress.
func (g *Gateway) reportCrash(incarnation string, interrupted []interruptedRun) {
	crash := quarantine.Ended{Life: incarnation, Service: g.registry.snapshot().Service}
	for _, run := range interrupted[:min(len(interrupted), quarantine.MaxCrashRequests)] {
		crash.Requests = append(crash.Requests, run.digest)
	}
	g.quarantine.addCrashes([]quarantine.Ended{crash})
	g.session.requestReport()
	g.crashNotices.add(crash)
}
