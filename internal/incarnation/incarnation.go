// Package incarnation names one life of a back end: the id that it has, which it may have
// had before, and the moment of its start. It is pure.
//
// Wherever the product keeps, compares or sends what stands for a process of a back end,
// it uses Incarnation.Name, so that two lives under one id are as different as two ids.
// What is said to the back end itself bears its id alone, which is all that it knows.
package incarnation

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Incarnation is one life of a back end.
type Incarnation struct {
	// ID is what the back end calls itself.
	ID string
	// Born is the moment of its start in milliseconds of Unix time, by its own clock; zero
	// where it tells none. Clocks jump: another moment is another life, not a later one.
	Born int64
}

const (
	separator = "@"
	// maxID bounds an id, in bytes; names travel with each range of keys.
	maxID = 128
)

// Errors of Check.
var (
	ErrNoID       = errors.New("no id")
	ErrIDTooLong  = errors.New("id is too long")
	ErrIDReserved = errors.New("id has a character that separates it from the start")
	ErrBornBefore = errors.New("start is before all times")
)

// Check says whether an incarnation can be named.
func (i Incarnation) Check() error {
	switch {
	case i.ID == "":
		return ErrNoID
	case len(i.ID) > maxID:
		return fmt.Errorf("%d bytes: %w", len(i.ID), ErrIDTooLong)
	case strings.Contains(i.ID, separator):
		return fmt.Errorf("%.64q: %w", i.ID, ErrIDReserved)
	case i.Born < 0:
		return fmt.Errorf("%d: %w", i.Born, ErrBornBefore)
	}
	return nil
}

// Name is the incarnation as the product writes it: the id, and the start where there is
// one.
func (i Incarnation) Name() string {
	if i.Born == 0 {
		return i.ID
	}
	return i.ID + separator + strconv.FormatInt(i.Born, 10)
}

// Parse reads a name. One that Name has not made is an id without a start.
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

// IDOf is the id in a name.
func IDOf(name string) string { return Parse(name).ID }
