// Package steady provides a steady clock for the process: it never jumps with the time of day,
// and unlike time.Now it includes the time for which the machine was suspended. Code that
// decides by elapsed time stores Instants, a type that can't hold a wall-clock time, or the
// results of Reading.
package steady

import (
	"sync/atomic"
	"time"
)

// origin is the zero of Instant. It is compared by its monotonic reading.
var origin = time.Now()

// Instant is a time of this process's steady clock, in nanoseconds since a
// fixed origin. It is meaningless in other processes.
type Instant int64

// Reading returns the current time of the steady clock. A reading may only be compared with
// other readings: timers, contexts and connections run on the clock of time.Now, so pass
// them durations instead.
func Reading() time.Time { return time.Now().Add(Suspended()) }

// Elapsed returns the time since a reading.
func Elapsed(reading time.Time) time.Duration { return Reading().Sub(reading) }

// Until returns the time until a reading.
func Until(reading time.Time) time.Duration { return reading.Sub(Reading()) }

// Now returns the current Instant.
func Now() Instant { return At(Reading()) }

// At converts a reading to an Instant.
func At(now time.Time) Instant { return Instant(now.Sub(origin)) }

// Add returns i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-earlier.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i is before other.
func (i Instant) Before(other Instant) bool { return i < other }

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Atomic is an Instant that is safe for concurrent use. The zero value is unset.
type Atomic struct {
	value atomic.Int64
	set   atomic.Bool
}

// Store sets the value.
func (a *Atomic) Store(i Instant) {
	a.value.Store(int64(i))
	a.set.Store(true)
}

// Load returns the stored value; ok is false if none has been stored.
func (a *Atomic) Load() (i Instant, ok bool) {
	ok = a.set.Load()
	return Instant(a.value.Load()), ok
}
