// Package steady has readings of the process's steady clock. The time of day may jump, forward
// or back; what decides by elapsed time keeps Instants, a type that can hold nothing else, or
// Readings. Both count the time for which the machine was suspended, which time.Now does not.
package steady

import (
	"sync/atomic"
	"time"
)

// origin is some moment of this process. Its monotonic reading counts.
var origin = time.Now()

// Instant is a moment of this process's steady clock, in nanoseconds since a
// fixed one. It means nothing to other processes.
type Instant int64

// Reading returns the present time. Readings are compared with each other alone: timers,
// contexts and connections go by time.Now, and are given durations.
func Reading() time.Time { return time.Now().Add(Suspended()) }

// Elapsed returns how long ago a Reading was.
func Elapsed(reading time.Time) time.Duration { return Reading().Sub(reading) }

// Until returns how long it is until a Reading.
func Until(reading time.Time) time.Duration { return reading.Sub(Reading()) }

// Now returns the present moment.
func Now() Instant { return At(Reading()) }

// At returns the moment of a Reading.
func At(now time.Time) Instant { return Instant(now.Sub(origin)) }

// Add returns the moment that is later by a duration.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns how much later this moment is than another.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before says that this moment is earlier than another.
func (i Instant) Before(other Instant) bool { return i < other }

// Since returns how long ago a moment was.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Atomic is an Instant for several goroutines. The zero value holds none.
type Atomic struct {
	value atomic.Int64
	set   atomic.Bool
}

// Store keeps a moment.
func (a *Atomic) Store(i Instant) {
	a.value.Store(int64(i))
	a.set.Store(true)
}

// Load returns the kept moment; ok is false where none was stored.
func (a *Atomic) Load() (i Instant, ok bool) {
	ok = a.set.Load()
	return Instant(a.value.Load()), ok
}
