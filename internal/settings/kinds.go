package settings

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// unitBool is the unit of boolean fields.
const unitBool = "true or false"

// constraint checks a parsed value.
type constraint[T any] func(T) error

// declareScalar declares a field with a single value.
func declareScalar[T any](set *FieldSet, target *T, field Field, parse func(string) (T, error), constraints ...constraint[T]) {
	field.assign = func(values []string) error {
		if len(values) != 1 {
			return errors.New("one value expected, not a list")
		}
		value, err := parse(values[0])
		if err != nil {
			return err
		}
		for _, check := range constraints {
			if err := check(value); err != nil {
				return err
			}
		}
		*target = value
		return nil
	}
	set.add(&field)
}

// text declares a string field.
func (set *FieldSet) text(target *string, field Field, constraints ...constraint[string]) {
	parse := func(text string) (string, error) { return text, nil }
	declareScalar(set, target, field, parse, constraints...)
}

// texts declares a field with a list of strings. Each constraint applies to every
// item.
func (set *FieldSet) texts(target *[]string, field Field, constraints ...constraint[string]) {
	field.List = true
	field.assign = func(values []string) error {
		var problems []error
		for _, value := range values {
			for _, check := range constraints {
				if err := check(value); err != nil {
					problems = append(problems, fmt.Errorf("%q: %w", value, err))
				}
			}
		}
		if len(problems) > 0 {
			return joinErrors(problems)
		}
		*target = values
		return nil
	}
	set.add(&field)
}

// duration declares a duration field with a unit suffix, for example "500ms".
func (set *FieldSet) duration(target *time.Duration, field Field, minimum, maximum time.Duration) {
	field.Unit = fmt.Sprintf("duration with unit, %s to %s", minimum, maximum)
	parse := func(text string) (time.Duration, error) {
		value, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration such as 500ms, 2s or 1m", text)
		}
		if value < minimum || value > maximum {
			return 0, fmt.Errorf("%s is outside of %s to %s", value, minimum, maximum)
		}
		return value, nil
	}
	declareScalar(set, target, field, parse)
}

// count declares an integer field.
func (set *FieldSet) count(target *int, field Field, minimum, maximum int) {
	field.Unit = strings.TrimSpace(fmt.Sprintf("%s, %d to %d", field.Unit, minimum, maximum))
	parse := func(text string) (int, error) {
		value, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", text)
		}
		if value < minimum || value > maximum {
			return 0, fmt.Errorf("%d is outside of %d to %d", value, minimum, maximum)
		}
		return value, nil
	}
	declareScalar(set, target, field, parse)
}

// share declares a field with a fraction from 0 to 1.
func (set *FieldSet) share(target *float64, field Field) {
	field.Unit = "share from 0 to 1"
	parse := func(text string) (float64, error) {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0 && value <= 1) {
			return 0, fmt.Errorf("%q is not a number from 0 to 1", text)
		}
		return value, nil
	}
	declareScalar(set, target, field, parse)
}

// flag declares a boolean field.
func (set *FieldSet) flag(target *bool, field Field) {
	field.Unit = unitBool
	parse := func(text string) (bool, error) {
		switch text {
		case "true":
			return true, nil
		case "false":
			return false, nil
		}
		return false, fmt.Errorf("%q is neither true nor false", text)
	}
	declareScalar(set, target, field, parse)
}

// notEmpty rejects blank text.
func notEmpty(text string) error {
	if strings.TrimSpace(text) == "" {
		return errors.New("must not be empty")
	}
	return nil
}

// isName accepts letters, digits, '-', '_' and '.', up to 63 bytes.
func isName(text string) error {
	const maxLength = 63
	if text == "" || len(text) > maxLength {
		return fmt.Errorf("a name has 1 to %d characters", maxLength)
	}
	for _, letter := range text {
		if !isNameLetter(letter) {
			return fmt.Errorf("%q is not allowed in a name; use letters, digits, '-', '_' and '.'", string(letter))
		}
	}
	return nil
}

// isNameLetter reports whether a character is allowed in a name.
func isNameLetter(letter rune) bool {
	switch {
	case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
		return true
	}
	return strings.ContainsRune("-_.", letter)
}

// optional returns a constraint that also accepts empty text.
func optional(check constraint[string]) constraint[string] {
	return func(text string) error {
		if text == "" {
			return nil
		}
		return check(text)
	}
}

// isAddress accepts "IP:port". Host names are rejected, because processes connect
// by IP address only.
func isAddress(text string) error {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%q is not IP:port with an IP number", text)
	}
	if address.Port() == 0 && !address.Addr().IsLoopback() {
		return errors.New("port 0 is for tests on loopback only")
	}
	return nil
}

// oneOf returns a constraint that accepts only the listed texts.
func oneOf(allowed ...string) constraint[string] {
	return func(text string) error {
		for _, one := range allowed {
			if text == one {
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", text, strings.Join(allowed, ", "))
	}
}

// onLoopback reports whether an "IP:port" is a loopback address.
func onLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	number, err := netip.ParseAddr(host)
	return err == nil && number.IsLoopback()
}

// joinErrors joins errors with "; ", because a finding is a single line.
func joinErrors(problems []error) error {
	texts := make([]string, len(problems))
	for i, problem := range problems {
		texts[i] = problem.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}
