package keylease

import (
	"cmp"
	"slices"
	"time"
)

// Back ends of one service differ in how long they take for the same work, and they change.
// A key that asks for more than one back end has can't be divided: where it is decides how
// much of it is served.

const (
	// runsHalfLife weighs older runs. Run times spread by more than their mean, so that an
	// estimate needs tens of runs; a back end that turns slow is known after some seconds.
	runsHalfLife = 3 * time.Second
	// presumedRuns at the service's mean stand for what is not measured yet.
	presumedRuns = 10
	// leastPace and mostPace bound what one estimate can say.
	leastPace, mostPace = 0.4, 3.0
	// hotShare is the part of a back end's slots that a single bucket must ask for to be
	// moved to a faster one for its own sake.
	hotShare = 0.5
	// fasterBy is how much less time a back end must take to be worth the time in which
	// the keys have no owner.
	fasterBy = 0.7
)

// runTimes is how long the runs of a back end take.
type runTimes struct {
	runs, seconds float64
	since         time.Duration
}

// add takes a report: the runs since the last one and the slot time that they used.
func (t *runTimes) add(runs, micros uint64, now time.Duration) {
	elapsed := max(now-t.since, 0)
	t.since = now
	keep := weightAfter(elapsed, runsHalfLife)
	t.runs = t.runs*keep + float64(runs)
	t.seconds = t.seconds*keep + (time.Duration(micros) * time.Microsecond).Seconds()
}

// meanRun is the mean of the run times of instances that have been measured, in seconds;
// zero is unknown. Each counts the same, however many requests it gets.
func meanRun(instances []*instance) float64 {
	sum, count := 0.0, 0
	for _, known := range instances {
		if known.runs.runs >= presumedRuns {
			sum += known.runs.seconds / known.runs.runs
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// pace is how long an instance takes for the work that takes the service's mean 1.
func (u *usage) pace(known *instance) float64 {
	u.fill()
	if u.meanRun == 0 {
		return 1
	}
	seconds := known.runs.seconds + presumedRuns*u.meanRun
	return min(max(seconds/(known.runs.runs+presumedRuns)/u.meanRun, leastPace), mostPace)
}

// paceOf is pace by ID; one that is not known has the service's mean.
func (u *usage) paceOf(id string) float64 {
	if known, ok := u.planner.instances[id]; ok {
		return u.pace(known)
	}
	return 1
}

// promote begins to move the hottest bucket of each full back end, where that alone asks for
// much of it, to the fastest one that has room. It returns the instances that take no part.
func (p *Planner) promote(used *usage, ready []*instance, now time.Duration) []*instance {
	for _, full := range slices.Clone(ready) {
		if used.utilization(full) < 1 {
			continue
		}
		hottest, ok := p.hottest(used, full)
		if !ok || hottest.load < hotShare*float64(full.Slots) {
			continue
		}
		faster := used.fastest(ready)
		if faster == nil || used.pace(faster) > fasterBy*used.pace(full) {
			continue
		}
		p.begin(used.service, hottest.from, hottest.keys, faster.ID, now)
		ready = slices.DeleteFunc(slices.Clone(ready), func(taking *instance) bool { return taking == full || taking == faster })
	}
	return ready
}

// hottest returns the bucket of an owner that asks for most.
func (p *Planner) hottest(used *usage, owner *instance) (hottest part, ok bool) {
	for _, owned := range p.resting(used, owner) {
		if p.renewing(owned) {
			continue
		}
		for _, bucket := range bucketsOf(owned, &owner.load) {
			if bucket.load > hottest.load {
				hottest, ok = bucket, true
			}
		}
	}
	return hottest, ok
}

// fastest returns the instance with room that takes the least time, nil where none has room.
func (u *usage) fastest(candidates []*instance) *instance {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(candidate *instance) bool {
		return u.utilization(candidate) >= busy || len(u.ownedBy(candidate.ID)) >= mostOwned
	})
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *instance) int { return cmp.Compare(u.pace(a), u.pace(b)) })
}

// handLoadOver counts the load of ranges that have changed owner at the new one. Its own
// reports show it only after a while, and it would be taken for idle until then.
func (p *Planner) handLoadOver() {
	for _, moved := range p.moves {
		from, to := p.instances[moved.from], p.instances[moved.to]
		used := p.usages[moved.service]
		if !moved.proposed || from == nil || to == nil || from == to || used == nil {
			continue
		}
		ratio := used.pace(to) / used.pace(from)
		for bucket, slots := range from.load.busy {
			if beginsIn(bucket, moved.held.Keys) {
				delete(from.load.busy, bucket)
				to.load.put(bucket, slots*ratio)
			}
		}
	}
}

// put counts a bucket that was measured elsewhere.
func (t *loadTable) put(bucket uint32, slots float64) {
	if t.busy == nil {
		t.busy = map[uint32]float64{}
	}
	t.busy[bucket] += slots
}
