// Package configlease decides for how long a gateway may use a configuration, and when a new
// configuration may be acknowledged to an operator. It does no I/O and reads no clock: time is
// an argument, a reading of the leader's own monotonic clock.
//
// # Why no request is served with a replaced configuration
//
// The leader's response to a gateway's report carries everything that was accepted before the
// report was handled, and grants a lease of that configuration for Terms.Validity from when the
// report was sent. A gateway without a lease serves no requests. The leader acknowledges a
// configuration to an operator once every gateway that may use an older one will stop doing so
// within Terms.ApplyWithin: it has confirmed the new one, or its lease of the older one expires
// by then. So it does not matter which process is suspended, or for how long: the lease expires
// by the gateway's own clock.
//
// A new leader does not know the leases that its predecessors granted. It assumes that every
// gateway got one at the end of their leadership leases.
package configlease

import (
	"cmp"
	"fmt"
	"time"
)

// Terms are the time limits for applying configurations. Zero durations take the defaults.
type Terms struct {
	// ApplyWithin is the guarantee to operators: that long after a configuration was
	// acknowledged, no request is served with an older one.
	ApplyWithin time.Duration
	// AcknowledgeWithin is how long a gateway that confirms nothing delays an
	// acknowledgement.
	AcknowledgeWithin time.Duration
}

// Defaults of Terms.
const (
	DefaultApplyWithin = 2 * time.Second
	// DefaultAcknowledgeWithin is less than the second after which operators' programs connect
	// to another controller.
	DefaultAcknowledgeWithin = 750 * time.Millisecond
	// minValidity lets gateways go on serving while a leader is replaced: a gateway that
	// reports every 0.5 s detects the leader's silence after 1.6 s more and has the next
	// leader's response 0.2 s later.
	minValidity = 2500 * time.Millisecond
)

// WithDefaults returns the terms with the defaults in place of zeros. If ApplyWithin is short,
// AcknowledgeWithin gets longer, so that leases still last for minValidity.
func (t Terms) WithDefaults() Terms {
	t.ApplyWithin = cmp.Or(t.ApplyWithin, DefaultApplyWithin)
	t.AcknowledgeWithin = cmp.Or(t.AcknowledgeWithin, max(DefaultAcknowledgeWithin, minValidity-t.ApplyWithin))
	return t
}

// Check returns an error if a limit is negative.
func (t Terms) Check() error {
	if t.ApplyWithin < 0 {
		return fmt.Errorf("apply within: %v is below zero", t.ApplyWithin)
	}
	if t.AcknowledgeWithin < 0 {
		return fmt.Errorf("acknowledge within: %v is below zero", t.AcknowledgeWithin)
	}
	return nil
}

// Validity returns the duration of a lease, counted from when the gateway's report was sent.
func (t Terms) Validity() time.Duration { return t.ApplyWithin + t.AcknowledgeWithin }
