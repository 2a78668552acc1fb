package faultproxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Direction is one of the two directions through the proxy.
type Direction string

// Directions.
const (
	// Forward is from the client, which opened the connection, to the target.
	Forward Direction = "forward"
	// Backward is from the target to the client.
	Backward Direction = "backward"
)

// Fault describes what the proxy does to the bytes of one direction. The zero
// value forwards them at once.
type Fault struct {
	// Delay delays every chunk; Jitter adds a random time between zero and its
	// value. Chunks of one connection stay in order, as in TCP; answers on
	// different connections may overtake each other.
	Delay  Duration `json:"delay,omitempty"`
	Jitter Duration `json:"jitter,omitempty"`
	// Stall holds back all bytes until the fault changes and delivers them then,
	// as TCP does across a network partition that heals.
	Stall bool `json:"stall,omitempty"`
	// Drop discards all bytes silently, like a partition that never heals for
	// the open connections. A connection that lost bytes forwards none later,
	// since TCP never delivers a stream with a gap.
	Drop bool `json:"drop,omitempty"`
	// TruncateAfter closes the connection gracefully (FIN) after that many
	// bytes of this direction, counted from when the fault took effect.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
	// ResetAfter does the same with a reset (RST).
	ResetAfter int64 `json:"reset_after,omitempty"`
	// Probability is the probability that TruncateAfter or ResetAfter applies to
	// a connection, drawn once per connection; zero means 1.
	Probability float64 `json:"probability,omitempty"`
}

// Faults are the faults of a proxy.
type Faults struct {
	Forward  Fault `json:"forward"`
	Backward Fault `json:"backward"`
	// RefuseNew closes new connections at once with a reset.
	RefuseNew bool `json:"refuse_new,omitempty"`
	// SwallowNew accepts new connections and discards what they send, without
	// connecting to the target. Together with Drop in both directions it makes a
	// silent black hole.
	SwallowNew bool `json:"swallow_new,omitempty"`
}

// BlackHole returns faults that silently drop every byte in both directions.
func BlackHole() Faults {
	return Faults{Forward: Fault{Drop: true}, Backward: Fault{Drop: true}, SwallowNew: true}
}

// Lose returns faults that silently drop every byte of one direction.
func Lose(direction Direction) Faults {
	if direction == Forward {
		return Faults{Forward: Fault{Drop: true}}
	}
	return Faults{Backward: Fault{Drop: true}}
}

// Step is one step of a script: Faults replaces the faults in effect once At has
// passed since the script started.
type Step struct {
	At     Duration `json:"at"`
	Faults Faults   `json:"faults"`
}

// Duration is a time.Duration that is a string such as "20ms" in JSON.
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes the duration from a string.
func (d *Duration) UnmarshalJSON(text []byte) error {
	var value string
	if err := json.Unmarshal(text, &value); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

func (f Fault) validate(direction string) error {
	var errs []error
	if f.Delay < 0 || f.Jitter < 0 {
		errs = append(errs, fmt.Errorf("%s: negative delay or jitter", direction))
	}
	if f.TruncateAfter < 0 || f.ResetAfter < 0 {
		errs = append(errs, fmt.Errorf("%s: negative number of bytes", direction))
	}
	if f.Probability < 0 || f.Probability > 1 {
		errs = append(errs, fmt.Errorf("%s: probability %v, want 0 to 1", direction, f.Probability))
	}
	return errors.Join(errs...)
}
