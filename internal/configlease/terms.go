// Package configlease decides for how long a gateway may serve by a configuration, and
// when an operator may be told that the next one is accepted. It is pure: time is an
// argument, a reading of the leader's own monotonic clock.
//
// # Why nobody is served by what was replaced
//
// An answer of the leader to a gateway's report carries all that was accepted before the
// report was handled, and vouches for that configuration for Terms.Validity from when
// the report was sent. A gateway that nothing vouches for serves nobody. The leader tells
// an operator that a configuration is accepted once every gateway that may serve by an
// older one stops within Terms.ApplyWithin: it has confirmed the new one, or what vouches
// for the older one ends by then. So it does not matter which process stands still, or
// for how long: the gateway's own clock ends what it was given.
//
// A new leader does not know what its predecessors vouched for. It counts every gateway as
// vouched for from the end of their leader leases on.
package configlease

import (
	"cmp"
	"fmt"
	"time"
)

// Terms of configurations. Zero durations take the defaults.
type Terms struct {
	// ApplyWithin is what operators are promised: that long after a configuration was
	// acknowledged, nobody is served by an older one.
	ApplyWithin time.Duration
	// AcknowledgeWithin is how long a gateway that confirms nothing holds an
	// acknowledgement up.
	AcknowledgeWithin time.Duration
}

// Defaults of Terms.
const (
	DefaultApplyWithin = 2 * time.Second
	// DefaultAcknowledgeWithin is below the second after which operators' programs ask
	// another controller.
	DefaultAcknowledgeWithin = 750 * time.Millisecond
	// leastValidity keeps callers served while a leader is replaced: a gateway that
	// reports each 0.5 s notices its silence after 1.6 s more and has the next one's word
	// 0.2 s later.
	leastValidity = 2500 * time.Millisecond
)

// WithDefaults returns the terms with the defaults in place of zeros. Where the promise
// is short, acknowledgements wait longer, so that callers are served as long.
func (t Terms) WithDefaults() Terms {
	t.ApplyWithin = cmp.Or(t.ApplyWithin, DefaultApplyWithin)
	t.AcknowledgeWithin = cmp.Or(t.AcknowledgeWithin, max(DefaultAcknowledgeWithin, leastValidity-t.ApplyWithin))
	return t
}

// Check says what is wrong with the terms.
func (t Terms) Check() error {
	if t.ApplyWithin < 0 {
		return fmt.Errorf("apply within: %v is below zero", t.ApplyWithin)
	}
	if t.AcknowledgeWithin < 0 {
		return fmt.Errorf("acknowledge within: %v is below zero", t.AcknowledgeWithin)
	}
	return nil
}

// Validity is how long after a report was sent its answer vouches for the gateway's
// configuration.
func (t Terms) Validity() time.Duration { return t.ApplyWithin + t.AcknowledgeWithin }
