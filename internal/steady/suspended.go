package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// While a machine is suspended, its monotonic clock stops, and with it Go's time comparisons
// and timers, but leases that other machines granted to it keep running. The boot-time clock
// (CLOCK_BOOTTIME) keeps running too, so the growth of its offset from the monotonic clock is
// the time for which the machine was suspended.

// suspensionStep is the resolution of Suspended. The total is rounded down, so it may be short
// by up to one step.
const suspensionStep = 10 * time.Millisecond

// initialBootOffset is the offset of the boot-time clock from the monotonic one when the process
// started.
var initialBootOffset = minBootOffset()

// simulatedSuspension is the total of simulated suspensions, in nanoseconds.
var simulatedSuspension atomic.Int64

// Suspended returns the total time for which the machine was suspended since the process
// started. It never decreases.
func Suspended() time.Duration {
	counted := (bootOffset() - initialBootOffset).Truncate(suspensionStep)
	if counted > 0 {
		// The offset may also be too large because this thread was descheduled between the
		// two clock readings; measure again.
		counted = (minBootOffset() - initialBootOffset).Truncate(suspensionStep)
	}
	return max(counted, 0) + time.Duration(simulatedSuspension.Load())
}

// SimulateSuspension makes the steady clock of this process behave as if the machine had just
// resumed from a suspension of the given length. It is for tests and simulations.
func SimulateSuspension(lasted time.Duration) { simulatedSuspension.Add(int64(lasted)) }

// minBootOffset reads the two clocks several times and returns the smallest offset, which is
// that of the pair with the least delay between its readings.
func minBootOffset() time.Duration {
	const readings = 5
	closest := bootOffset()
	for range readings - 1 {
		closest = min(closest, bootOffset())
	}
	return closest
}

// bootOffset returns the offset of the boot-time clock from the monotonic one, plus the delay
// between reading the two.
func bootOffset() time.Duration {
	var monotonic, boot unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano())
}
