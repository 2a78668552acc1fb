package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// A machine may be suspended. Its monotonic clock, by which Go compares times and ends timers,
// stands still meanwhile, and the leases that others gave it run on. The boot clock counts that
// time: how far it has run ahead of the monotonic clock is how long the machine was suspended.

// suspensionStep is the unit in which suspensions are counted. Together they may have lasted
// for up to that much longer than is counted.
const suspensionStep = 10 * time.Millisecond

// aheadAtStart is how far the boot clock was ahead of the monotonic one when the process
// started.
var aheadAtStart = closestAhead()

// rehearsed is the time of suspensions that tests and simulations have made up.
var rehearsed atomic.Int64

// Suspended returns for how long the machine was suspended since the process started. It does
// not fall.
func Suspended() time.Duration {
	counted := (ahead() - aheadAtStart).Truncate(suspensionStep)
	if counted > 0 {
		// Or this thread has stood still between the two readings.
		counted = (closestAhead() - aheadAtStart).Truncate(suspensionStep)
	}
	return max(counted, 0) + time.Duration(rehearsed.Load())
}

// RehearseSuspension makes all clocks of this process behave as after a suspension that has
// just ended. It is for tests.
func RehearseSuspension(lasted time.Duration) { rehearsed.Add(int64(lasted)) }

// closestAhead reads the clocks several times and returns the pair that was read with the
// least delay in between.
func closestAhead() time.Duration {
	const readings = 5
	closest := ahead()
	for range readings - 1 {
		closest = min(closest, ahead())
	}
	return closest
}

// ahead returns how far the boot clock is ahead of the monotonic one, and how long it took
// between the two readings besides.
func ahead() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
