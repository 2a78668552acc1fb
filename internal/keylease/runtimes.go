package keylease

import (
	"cmp"
	"slices"
	"time"
)

// Back ends of one service differ in how long they take for the same work, and this changes
// over time. A key whose load exceeds the capacity of one back end can't be divided: its
// owner's speed decides how much of that load is served.

const (
	// runsHalfLife is the age at which a run counts half. Run times vary by more than their
	// mean, so that an estimate needs tens of runs; a back end that becomes slow is detected
	// after some seconds.
	runsHalfLife = 3 * time.Second
	// priorRuns is the weight of the service's mean in the estimate of a back end, as a
	// number of runs, so that few measurements don't decide alone.
	priorRuns = 10
	// minRunTimeRatio and maxRunTimeRatio bound the estimate.
	minRunTimeRatio, maxRunTimeRatio = 0.4, 3.0
	// minHotShare is the share of a back end's capacity that a single bucket must need to be
	// moved to a faster back end on its own.
	minHotShare = 0.5
	// maxFasterRatio is the highest ratio of run times, target to source, for which a move
	// pays off despite the time in which the keys have no owner.
	maxFasterRatio = 0.7
)

// runTimes measures how long requests run on a back end.
type runTimes struct {
	runs, seconds float64
	since         time.Duration
}

// add merges a report of the runs since the last one and the slot time that they used.
func (t *runTimes) add(runs, micros uint64, now time.Duration) {
	elapsed := max(now-t.since, 0)
	t.since = now
	keep := decayFactor(elapsed, runsHalfLife)
	t.runs = t.runs*keep + float64(runs)
	t.seconds = t.seconds*keep + (time.Duration(micros) * time.Microsecond).Seconds()
}

// meanRun returns the mean run time over the instances that have enough measurements, in
// seconds, or zero if there are none. Each instance has the same weight, however many
// requests it gets.
func meanRun(instances []*instance) float64 {
	sum, count := 0.0, 0
	for _, known := range instances {
		if known.runs.runs >= priorRuns {
			sum += known.runs.seconds / known.runs.runs
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// runTimeRatio returns the run time of an instance relative to the mean of the service:
// above 1 it is slower.
func (u *usage) runTimeRatio(known *instance) float64 {
	u.compute()
	if u.meanRun == 0 {
		return 1
	}
	seconds := known.runs.seconds + priorRuns*u.meanRun
	return min(max(seconds/(known.runs.runs+priorRuns)/u.meanRun, minRunTimeRatio), maxRunTimeRatio)
}

// runTimeRatioOf is runTimeRatio by ID. An unknown instance counts as average.
func (u *usage) runTimeRatioOf(id string) float64 {
	if known, ok := u.planner.instances[id]; ok {
		return u.runTimeRatio(known)
	}
	return 1
}

// moveHotBuckets starts to move the hottest bucket of each full back end to the fastest one
// that has room, if that bucket alone needs a large share of the slots. It returns the
// instances that are not involved.
func (p *Planner) moveHotBuckets(used *usage, ready []*instance, now time.Duration) []*instance {
	for _, full := range slices.Clone(ready) {
		if used.utilization(full) < 1 {
			continue
		}
		hottest, ok := p.hottest(used, full)
		if !ok || hottest.load < minHotShare*full.capacity() {
			continue
		}
		faster := used.fastest(ready)
		if faster == nil || used.runTimeRatio(faster) > maxFasterRatio*used.runTimeRatio(full) {
			continue
		}
		p.startMove(used.service, hottest.from, hottest.keys, faster.ID, now)
		ready = slices.DeleteFunc(slices.Clone(ready), func(taking *instance) bool { return taking == full || taking == faster })
	}
	return ready
}

// hottest returns the bucket of an owner with the highest load.
func (p *Planner) hottest(used *usage, owner *instance) (hottest part, ok bool) {
	for _, owned := range p.unmovedParts(used, owner) {
		if p.awaitsNewFence(owned) {
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

// fastest returns the instance with the shortest run time among those with room, nil if none
// has room.
func (u *usage) fastest(candidates []*instance) *instance {
	candidates = slices.DeleteFunc(slices.Clone(candidates), func(candidate *instance) bool {
		return u.utilization(candidate) >= busyUtilization || len(u.ownedBy(candidate.ID)) >= maxOwnedRanges
	})
	if len(candidates) == 0 {
		return nil
	}
	return slices.MinFunc(candidates, func(a, b *instance) int { return cmp.Compare(u.runTimeRatio(a), u.runTimeRatio(b)) })
}

// transferMeasuredLoad moves the measured load of ranges that have changed owner to the new
// owner. Its own reports show that load only after a while, and until then it would seem
// idle.
func (p *Planner) transferMeasuredLoad() {
	for _, moved := range p.moves {
		from, to := p.instances[moved.from], p.instances[moved.to]
		used := p.usages[moved.service]
		if !moved.proposed || from == nil || to == nil || from == to || used == nil {
			continue
		}
		ratio := used.runTimeRatio(to) / used.runTimeRatio(from)
		for bucket, slots := range from.load.slots {
			if startsIn(bucket, moved.held.Keys) {
				delete(from.load.slots, bucket)
				to.load.addMeasured(bucket, slots*ratio)
			}
		}
	}
}

// addMeasured adds the load of a bucket that was measured at another back end.
func (t *loadTable) addMeasured(bucket uint32, slots float64) {
	if t.slots == nil {
		t.slots = map[uint32]float64{}
	}
	t.slots[bucket] += slots
}
