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

// A request under which a back end has ended runs again only by a trial that the leader has
// granted to this gateway. Who has ended under what is known from the leader's view and,
// before that has it, from the gateway that saw it.

const (
	// trialWaitShare is the part of a request's time that it may wait for a trial, and
	// longestTrialWait bounds it.
	trialWaitShare   = 0.5
	longestTrialWait = time.Second
	// retryHeld is when to come back with a request that is held back.
	retryHeld = 20 * time.Second
	// endExpected is for how long a request counts as suspected whose caller's gateway has
	// learnt first that a back end ended under it: the word of the end is on its way.
	endExpected = 500 * time.Millisecond
	// mostUnconfirmed bounds the ends that the leader has not confirmed; the oldest go first.
	mostUnconfirmed = 256
)

// trial is a granted send.
type trial struct {
	request quarantine.Digest
	number  uint64
}

// suspicion is what a gateway knows of a request.
type suspicion int

const (
	unsuspected suspicion = iota
	// onTrial: it may run by a trial.
	onTrial
	// heldBack: no trial is left.
	heldBack
)

// quarantineKeeper is a gateway's part of the quarantine. The zero value is ready.
type quarantineKeeper struct {
	mutex sync.Mutex
	// unconfirmed are ends that the leader's set may lack, the oldest first.
	unconfirmed []quarantine.Ended
	// expected are requests of which the word of an end is on its way, with its latest time.
	expected map[quarantine.Digest]steady.Instant
	// waiting is how many requests wait for a trial.
	waiting map[quarantine.Digest]int
	// used are the granted trials that were used or given back.
	used map[trial]bool
	// over and answered are told the leader until its view has them. What was answered is
	// cleared here at once, unless further lives have ended under it than the number that is
	// kept.
	over     map[trial]quarantine.Over
	answered map[quarantine.Digest]int
}

// suspects reports whether anything is suspected here at all.
func (k *quarantineKeeper) suspects(v *view) bool {
	if len(v.suspects) > 0 {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.unconfirmed)+len(k.expected) > 0
}

// of returns what is known of a request.
func (k *quarantineKeeper) of(request quarantine.Digest, v *view) suspicion {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	suspect, told := v.suspects[request]
	if ends, cleared := k.answered[request]; cleared && suspect.Ends <= ends {
		return unsuspected
	}
	switch {
	case told && suspect.Held():
		return heldBack
	case told || k.unconfirmedHas(request):
		return onTrial
	}
	if until, ok := k.expected[request]; ok && steady.Now().Before(until) {
		return onTrial
	}
	return unsuspected
}

// expect notes that a back end has ended under a request of a caller here.
func (k *quarantineKeeper) expect(request quarantine.Digest, now steady.Instant) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.expected == nil {
		k.expected = map[quarantine.Digest]steady.Instant{}
	}
	k.forgetExpected(now)
	k.expected[request] = now.Add(endExpected)
	delete(k.answered, request)
}

// hear takes ends of back ends that were seen here or that another gateway tells.
func (k *quarantineKeeper) hear(ended []quarantine.Ended) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for i := range ended {
		known := slices.ContainsFunc(k.unconfirmed, func(each quarantine.Ended) bool { return each.Life == ended[i].Life })
		if known || ended[i].Check() != nil {
			continue
		}
		k.unconfirmed = append(k.unconfirmed, ended[i])
		for _, request := range ended[i].Requests {
			delete(k.answered, request)
		}
	}
	k.unconfirmed = k.unconfirmed[max(0, len(k.unconfirmed)-mostUnconfirmed):]
}

// confirm notes that the leader's set has counted the ends of some lives.
func (k *quarantineKeeper) confirm(lives []string) {
	if len(lives) == 0 {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.unconfirmed = slices.DeleteFunc(k.unconfirmed, func(ended quarantine.Ended) bool { return slices.Contains(lives, ended.Life) })
}

// await counts a request that waits for a trial. The caller calls leave once it waits no more.
func (k *quarantineKeeper) await(request quarantine.Digest) (leave func()) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.waiting == nil {
		k.waiting = map[quarantine.Digest]int{}
	}
	k.waiting[request]++
	return func() {
		k.mutex.Lock()
		defer k.mutex.Unlock()
		if k.waiting[request]--; k.waiting[request] <= 0 {
			delete(k.waiting, request)
		}
	}
}

// take uses a trial that was granted to this process, once.
func (k *quarantineKeeper) take(request quarantine.Digest, v *view, node string, boot uint64) (number uint64, ok bool) {
	granted := v.suspects[request].Trial
	if granted == nil || granted.Node != node || granted.Boot != boot {
		return 0, false
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	of := trial{request, granted.Number}
	if k.used[of] {
		return 0, false
	}
	k.use(of)
	return granted.Number, true
}

// use notes that a trial must not be used again. The caller has the mutex.
func (k *quarantineKeeper) use(of trial) {
	if k.used == nil {
		k.used = map[trial]bool{}
	}
	k.used[of] = true
}

// ends notes what became of a trial without an answer.
func (k *quarantineKeeper) ends(of trial, result *forwardResult) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.tellOver(quarantine.Over{Request: of.request, Number: of.number, Sent: result.Sent, Failed: result.Reason == reasonEnded})
}

// tellOver tells the leader of the end of a trial. The caller has the mutex.
func (k *quarantineKeeper) tellOver(over quarantine.Over) {
	if k.over == nil {
		k.over = map[trial]quarantine.Over{}
	}
	k.over[trial{over.Request, over.Number}] = over
}

// answers notes a whole answer to a suspect.
func (k *quarantineKeeper) answers(request quarantine.Digest, v *view) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.answered == nil {
		k.answered = map[quarantine.Digest]int{}
	}
	k.answered[request] = v.suspects[request].Ends
}

// report returns what the leader is to be told, nil where that is nothing.
func (k *quarantineKeeper) report(v *view, node string, boot uint64) *quarantine.Change {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.giveBack(v, node, boot)
	k.forget(v)
	change := &quarantine.Change{Ended: slices.Clone(k.unconfirmed)}
	change.Answered = slices.Collect(maps.Keys(k.answered))
	change.Over = slices.Collect(maps.Values(k.over))
	for request := range k.waiting {
		if _, cleared := k.answered[request]; !cleared {
			change.Asked = append(change.Asked, quarantine.Asked{Request: request, Node: node, Boot: boot})
		}
	}
	if change.Empty() {
		return nil
	}
	return change
}

// giveBack returns the trials that nobody here waits for any more. The caller has the mutex.
func (k *quarantineKeeper) giveBack(v *view, node string, boot uint64) {
	for request, suspect := range v.suspects {
		granted := suspect.Trial
		if granted == nil || granted.Node != node || granted.Boot != boot || k.waiting[request] > 0 {
			continue
		}
		if of := (trial{request, granted.Number}); !k.used[of] {
			k.use(of)
			k.tellOver(quarantine.Over{Request: request, Number: granted.Number})
		}
	}
}

// forget drops what the leader's view has taken. The caller has the mutex.
func (k *quarantineKeeper) forget(v *view) {
	present := func(of trial) bool {
		suspect := v.suspects[of.request]
		return suspect.Trial != nil && suspect.Trial.Number == of.number || slices.Contains(suspect.Untold, of.number)
	}
	maps.DeleteFunc(k.over, func(of trial, _ quarantine.Over) bool { return !present(of) })
	maps.DeleteFunc(k.used, func(of trial, _ bool) bool { return !present(of) })
	k.forgetExpected(steady.Now())
	maps.DeleteFunc(k.answered, func(request quarantine.Digest, _ int) bool {
		_, suspected := v.suspects[request]
		return !suspected && !k.unconfirmedHas(request)
	})
}

// forgetExpected drops the requests whose word has had its time. The caller has the mutex.
func (k *quarantineKeeper) forgetExpected(now steady.Instant) {
	maps.DeleteFunc(k.expected, func(_ quarantine.Digest, until steady.Instant) bool { return !now.Before(until) })
}

// unconfirmedHas reports whether an end that the leader's set may lack concerns a request. The
// caller has the mutex.
func (k *quarantineKeeper) unconfirmedHas(request quarantine.Digest) bool {
	return slices.ContainsFunc(k.unconfirmed, func(ended quarantine.Ended) bool { return slices.Contains(ended.Requests, request) })
}

// admitSuspect lets a request pass that is not suspected, or waits for a trial of one that is.
// It returns the trial's number, zero for none, or a refusal.
func (g *Gateway) admitSuspect(ctx context.Context, c *call) (number uint64, refusal *forwardResult) {
	v := g.views.load()
	if !g.quarantine.suspects(v) {
		return 0, nil
	}
	request := c.digest()
	if g.quarantine.of(request, v) == unsuspected {
		return 0, nil
	}
	until := steady.Reading().Add(min(longestTrialWait, time.Duration(trialWaitShare*float64(steady.Until(c.deadline)))))
	leave := g.quarantine.await(request)
	defer leave()
	for {
		switch g.quarantine.of(request, v) {
		case unsuspected:
			return 0, nil
		case heldBack:
			refusal = notRun(reasonHeldBack)
			refusal.RetryAfter = retryHeld
			return 0, refusal
		case onTrial:
		}
		if number, ok := g.quarantine.take(request, v, g.config.Name, g.session.boot); ok {
			return number, nil
		}
		left := steady.Until(until)
		if left <= 0 || ctx.Err() != nil {
			return 0, notRun(reasonAwaitsTrial)
		}
		g.session.report()
		v.await(ctx.Done(), left)
		v = g.views.load()
	}
}

// trialEnds tells the leader what became of a trial; number zero is none.
func (g *Gateway) trialEnds(c *call, number uint64, result *forwardResult) {
	if number == 0 || result.Outcome == outcomeAnswered {
		return
	}
	g.quarantine.ends(trial{c.digest(), number}, result)
	g.session.report()
}

// refusesSuspect reports whether the back end beside this gateway must not get a request: it
// is suspected, and its gateway did not know.
func (g *Gateway) refusesSuspect(request *forwardRequest) bool {
	if request.Trial != 0 {
		return false
	}
	v := g.views.load()
	return g.quarantine.suspects(v) && g.quarantine.of(request.digest(), v) != unsuspected
}

// noteAnswered clears a suspect that got a whole answer. The digest is worked out only where
// anything is suspected.
func (g *Gateway) noteAnswered(digest func() quarantine.Digest) {
	v := g.views.load()
	if !g.quarantine.suspects(v) || g.quarantine.of(digest(), v) == unsuspected {
		return
	}
	g.quarantine.answers(digest(), v)
	g.session.report()
}

// tellEnd tells the leader and all other gateways of the requests that a back end was at work
// on when it ended.
func (g *Gateway) tellEnd(life string, cut []cutRun) {
	ended := quarantine.Ended{Life: life, Service: g.registry.snapshot().Service}
	for _, run := range cut[:min(len(cut), quarantine.MostEnded)] {
		ended.Requests = append(ended.Requests, run.request)
	}
	g.quarantine.hear([]quarantine.Ended{ended})
	g.session.report()
	g.endNews.add(ended)
}
