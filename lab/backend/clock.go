package backend

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// clock is the back end's own monotonic clock. Its readings go to the agent
// with every answer about grants; the agent states the end of a lease as a
// reading of this clock. A message that a frozen back end finds on its return
// therefore does not prolong a lease that has long ended, which a length
// counted from receipt would do.
type clock struct {
	boot  string
	start time.Time
}

func newClock() clock {
	return clock{boot: fmt.Sprintf("%016x", rand.Uint64()), start: time.Now()}
}

// clockReading is part of every answer about grants.
type clockReading struct {
	// Boot is drawn at each start, since readings begin anew.
	Boot string `json:"boot"`
	// ClockMilliseconds is the time since the start.
	ClockMilliseconds int64 `json:"clock_ms"`
	// Sequence is the highest that was taken.
	Sequence uint64 `json:"sequence"`
}

func (c clock) read(now time.Time) clockReading {
	return clockReading{Boot: c.boot, ClockMilliseconds: now.Sub(c.start).Milliseconds()}
}

// errOtherBoot means that the end of a lease is a reading from before the back
// end's last start.
var errOtherBoot = errors.New("the reading belongs to an earlier start of the back end")

// errOvertaken means that a later message was taken before.
var errOvertaken = errors.New("a later message was taken before")

// validUntil returns when the lease of a message ends.
func (c clock) validUntil(message grantsMessage, received time.Time) (time.Time, error) {
	if message.Boot == "" {
		return received.Add(time.Duration(message.LeaseMilliseconds) * time.Millisecond), nil
	}
	if message.Boot != c.boot {
		return time.Time{}, errOtherBoot
	}
	return c.start.Add(time.Duration(message.ValidUntilMilliseconds) * time.Millisecond), nil
}
