package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// keyLoad sums the load of the back end's keys since the last report.
type keyLoad struct {
	mutex sync.Mutex
	// slotTime is the time that requests of each bucket spent in a slot, including requests
	// that needed no slot.
	slotTime map[uint32]time.Duration
	// successfulRuns counts the successful runs, and successfulRunTime sums their slot time.
	successfulRuns    uint64
	successfulRunTime time.Duration
}

func newKeyLoad() *keyLoad { return &keyLoad{slotTime: map[uint32]time.Duration{}} }

func (l *keyLoad) add(key keyspace.Key, used time.Duration) {
	l.mutex.Lock()
	l.slotTime[keylease.BucketOf(key)] += used
	l.mutex.Unlock()
}

// addSuccessfulRun counts a successful run. Failed runs are left out, as they may be short
// because they failed.
func (l *keyLoad) addSuccessfulRun(used time.Duration) {
	l.mutex.Lock()
	l.successfulRuns++
	l.successfulRunTime += used
	l.mutex.Unlock()
}

// moveTo moves the sums into a report and resets them.
func (l *keyLoad) moveTo(report *fleetwire.Report) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	report.Runs, report.RunMicros = l.successfulRuns, uint64(l.successfulRunTime.Microseconds())
	l.successfulRuns, l.successfulRunTime = 0, 0
	if len(l.slotTime) == 0 {
		return
	}
	report.Load = make([]fleetwire.KeyLoad, 0, len(l.slotTime))
	for bucket, used := range l.slotTime {
		report.Load = append(report.Load, fleetwire.KeyLoad{Bucket: bucket, BusyMicros: uint64(used.Microseconds())})
	}
	clear(l.slotTime)
}
