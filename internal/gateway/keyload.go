package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// keyLoad sums what the keys of the back end ask for since the last report.
type keyLoad struct {
	mutex sync.Mutex
	// busy is the slot time of each bucket, also that of requests without a slot.
	busy map[uint32]time.Duration
	// runs that were answered well, and their slot time.
	runs    uint64
	runTime time.Duration
}

func newKeyLoad() *keyLoad { return &keyLoad{busy: map[uint32]time.Duration{}} }

func (l *keyLoad) add(key keyspace.Key, used time.Duration) {
	l.mutex.Lock()
	l.busy[keylease.BucketOf(key)] += used
	l.mutex.Unlock()
}

// ran counts a run that was answered well. Others may be short because they failed.
func (l *keyLoad) ran(used time.Duration) {
	l.mutex.Lock()
	l.runs++
	l.runTime += used
	l.mutex.Unlock()
}

// take moves the sums into a report.
func (l *keyLoad) take(report *fleetwire.Report) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	report.Runs, report.RunMicros = l.runs, uint64(l.runTime.Microseconds())
	l.runs, l.runTime = 0, 0
	if len(l.busy) == 0 {
		return
	}
	report.Load = make([]fleetwire.KeyLoad, 0, len(l.busy))
	for bucket, used := range l.busy {
		report.Load = append(report.Load, fleetwire.KeyLoad{Bucket: bucket, BusyMicros: uint64(used.Microseconds())})
	}
	clear(l.busy)
}
