// Package incarnation identifies incarnations of back ends. An incarnation is one run of a back
// end's process. It is identified by the back end's id, which earlier incarnations may have had
// too, and its start time. The package is pure.
//
// Whatever stores, compares or sends the identity of an incarnation uses Incarnation.Name, so
// that two incarnations under one id are as distinct as two ids. Messages to the back end
// itself carry only its id, because it doesn't know the longer name.
package incarnation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Incarnation is the identity of one run of a back end's process.
type Incarnation struct {
	// ID is the id that the back end reports.
	ID string
	// Born is the start time in milliseconds of Unix time, by the back end's own clock; zero if
	// it reports none. Clocks jump, so a different value means a different incarnation, and a
	// higher value doesn't mean a later one.
	Born int64
}

const (
	separator = "@"
	// maxID bounds the length of an id in bytes, because the owners of keys carry a name with
	// each range.
	maxID = 128
)

// Errors of Check.
var (
	ErrNoID           = errors.New("no id")
	ErrIDTooLong      = errors.New("id is too long")
	ErrIDHasSeparator = errors.New("id has a character that separates it from the start")
	ErrNegativeStart  = errors.New("start is before all times")
)

// Check reports why an incarnation has no valid name; nil if it has one.
func (i Incarnation) Check() error {
	switch {
	case i.ID == "":
		return ErrNoID
	case len(i.ID) > maxID:
		return fmt.Errorf("%d bytes: %w", len(i.ID), ErrIDTooLong)
	case strings.Contains(i.ID, separator):
		return fmt.Errorf("%.64q: %w", i.ID, ErrIDHasSeparator)
	case i.Born < 0:
		return fmt.Errorf("%d: %w", i.Born, ErrNegativeStart)
	}
	return nil
}

// Name returns the canonical form: the id, followed by the separator and the start time if
// there is one.
func (i Incarnation) Name() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + separator + strconv.FormatInt(i.Born, 10)
}

// Parse parses a name. Anything that Name can't have produced is taken as an id without a
// start time.
func Parse(name string) Incarnation {
	id, start, found := strings.Cut(name, separator)
	if !found {
		return Incarnation{ID: name}
	}
	born, err := strconv.ParseInt(start, 10, 64)
	if err != nil || born <= 0 {
		return Incarnation{ID: name}
	}
	return Incarnation{ID: id, Born: born}
}

// IDOf returns the id in a name.
func IDOf(name string) string { return Parse(name).ID }
