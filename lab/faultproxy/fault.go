package faultproxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Direction is one of the two ways through the proxy.
type Direction string

// Directions.
const (
	// Forward is from the side that connected to the target.
	Forward Direction = "forward"
	// Backward is from the target to the side that connected.
	Backward Direction = "backward"
)

// Fault is what the proxy does to the bytes of one direction. The zero value
// passes them on at once.
type Fault struct {
	// Delay holds every piece back; Jitter adds a random time up to itself.
	// Pieces of one connection stay in order, as in TCP; answers on different
	// connections overtake each other.
	Delay  Duration `json:"delay,omitempty"`
	Jitter Duration `json:"jitter,omitempty"`
	// Stall holds all bytes back until the fault is changed, and delivers them
	// then: a cut that heals, as TCP sees it.
	Stall bool `json:"stall,omitempty"`
	// Drop throws all bytes away without a word: a cut that never heals for
	// the open connections. A connection that lost bytes passes none on later,
	// since TCP never delivers a stream with a gap.
	Drop bool `json:"drop,omitempty"`
	// TruncateAfter ends the connection in good order (FIN) once that many
	// bytes of this direction passed, counted from when the fault was set.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
	// ResetAfter ends the connection with a reset (RST) instead.
	ResetAfter int64 `json:"reset_after,omitempty"`
	// Probability that TruncateAfter or ResetAfter strikes a connection, drawn
	// once for each; zero is 1.
	Probability float64 `json:"probability,omitempty"`
}

// Faults are the faults of a proxy.
type Faults struct {
	Forward  Fault `json:"forward"`
	Backward Fault `json:"backward"`
	// RefuseNew closes new connections at once with a reset.
	RefuseNew bool `json:"refuse_new,omitempty"`
	// SwallowNew accepts new connections and passes nothing on: with Drop in
	// both directions it is a silent black hole.
	SwallowNew bool `json:"swallow_new,omitempty"`
}

// BlackHole loses every byte, silently.
func BlackHole() Faults {
	return Faults{Forward: Fault{Drop: true}, Backward: Fault{Drop: true}, SwallowNew: true}
}

// Lose loses every byte of one direction, silently.
func Lose(direction Direction) Faults {
	if direction == Forward {
		return Faults{Forward: Fault{Drop: true}}
	}
	return Faults{Backward: Fault{Drop: true}}
}

// Step is one step of a script: Faults in force from At after its start.
type Step struct {
	At     Duration `json:"at"`
	Faults Faults   `json:"faults"`
}

// Duration is a time.Duration that is text in JSON, such as "20ms".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads the duration from text.
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

func (f Fault) validate(place string) error {
	var findings []error
	if f.Delay < 0 || f.Jitter < 0 {
		findings = append(findings, fmt.Errorf("%s: negative delay or jitter", place))
	}
	if f.TruncateAfter < 0 || f.ResetAfter < 0 {
		findings = append(findings, fmt.Errorf("%s: negative number of bytes", place))
	}
	if f.Probability < 0 || f.Probability > 1 {
		findings = append(findings, fmt.Errorf("%s: probability %v, want 0 to 1", place, f.Probability))
	}
	return errors.Join(findings...)
}
