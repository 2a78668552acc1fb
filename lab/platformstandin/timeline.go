package platformstandin

import (
	"fmt"
	"sync"
	"time"
)

// Stop is a planned stop of a machine's process: SIGTERM, and SIGKILL at the end
// of the grace.
type Stop struct {
	Machine string
	// Signalled is when SIGTERM was sent.
	Signalled time.Time
	Grace     time.Duration
	// Ended is when the process was gone; zero as long as it is there.
	Ended time.Time
	// Overran says that the process was still there at the end of its grace.
	Overran bool
}

// fault is a time in which something other than a planned stop had a machine.
type fault struct {
	machine string
	from    time.Time
	// until is zero as long as the fault lasts.
	until time.Time
}

// Timeline is what was done to the machines of a fleet, and when.
type Timeline struct {
	began  time.Time
	mutex  sync.Mutex
	stops  []*Stop
	faults []*fault
}

// NewTimeline returns an empty timeline that begins now.
func NewTimeline() *Timeline { return &Timeline{began: time.Now()} }

// At writes a time as the time since the timeline began.
func (t *Timeline) At(moment time.Time) string {
	if moment.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3fs", moment.Sub(t.began).Seconds())
}

// stopBegins notes the SIGTERM of a planned stop.
func (t *Timeline) stopBegins(machine string, signalled time.Time, grace time.Duration) *Stop {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stop := &Stop{Machine: machine, Signalled: signalled, Grace: grace}
	t.stops = append(t.stops, stop)
	return stop
}

// stopEnds notes the end of the process that was stopped.
func (t *Timeline) stopEnds(stop *Stop, ended time.Time, overran bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	stop.Ended, stop.Overran = ended, overran
}

// faultBegins notes a fault.
func (t *Timeline) faultBegins(machine string, from time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = append(t.faults, &fault{machine: machine, from: from})
}

// faultsEnd notes that all faults of a machine are over.
func (t *Timeline) faultsEnd(machine string, until time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, each := range t.faults {
		if each.machine == machine && each.until.IsZero() {
			each.until = until
		}
	}
}

// stopsOf returns the planned stops of a machine that were under way at any
// moment of a time.
func (t *Timeline) stopsOf(machine string, from, until time.Time) []Stop {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var found []Stop
	for _, stop := range t.stops {
		if stop.Machine == machine && overlaps(stop.Signalled, stop.Ended, from, until) {
			found = append(found, *stop)
		}
	}
	return found
}

// faulty says that a fault had a machine at any moment of a time.
func (t *Timeline) faulty(machine string, from, until time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, each := range t.faults {
		if each.machine == machine && overlaps(each.from, each.until, from, until) {
			return true
		}
	}
	return false
}

// overlaps says that two times share a moment; the first one lasts on where its
// end is zero.
func overlaps(from, until, otherFrom, otherUntil time.Time) bool {
	return !from.After(otherUntil) && (until.IsZero() || !until.Before(otherFrom))
}

// Stops returns all planned stops so far.
func (t *Timeline) Stops() []Stop {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var stops []Stop
	for _, stop := range t.stops {
		stops = append(stops, *stop)
	}
	return stops
}

// StopsAtOnce returns the largest number of planned stops that were under way at
// one moment.
func (t *Timeline) StopsAtOnce() int {
	most := 0
	stops := t.Stops()
	for _, at := range stops {
		under := 0
		for _, other := range stops {
			if overlaps(other.Signalled, other.Ended, at.Signalled, at.Signalled) {
				under++
			}
		}
		most = max(most, under)
	}
	return most
}

// LongestStop returns how long the longest planned stop lasted.
func (t *Timeline) LongestStop() time.Duration {
	var longest time.Duration
	for _, stop := range t.Stops() {
		if !stop.Ended.IsZero() {
			longest = max(longest, stop.Ended.Sub(stop.Signalled))
		}
	}
	return longest
}
