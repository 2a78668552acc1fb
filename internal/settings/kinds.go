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

// unitBool is the unit of a field that is true or false.
const unitBool = "true or false"

// condition checks one parsed value.
type condition[T any] func(T) error

// declareScalar adds a field of one value to the set.
func declareScalar[T any](set *FieldSet, target *T, field Field, parse func(string) (T, error), conditions ...condition[T]) {
	field.assign = func(values []string) error {
		if len(values) != 1 {
			return errors.New("one value expected, not a list")
		}
		value, err := parse(values[0])
		if err != nil {
			return err
		}
		for _, holds := range conditions {
			if err := holds(value); err != nil {
				return err
			}
		}
		*target = value
		return nil
	}
	set.add(&field)
}

// text declares a string field.
func (set *FieldSet) text(target *string, field Field, conditions ...condition[string]) {
	parse := func(text string) (string, error) { return text, nil }
	declareScalar(set, target, field, parse, conditions...)
}

// texts declares a list of strings.
func (set *FieldSet) texts(target *[]string, field Field, each ...condition[string]) {
	field.List = true
	field.assign = func(values []string) error {
		var problems []error
		for _, value := range values {
			for _, holds := range each {
				if err := holds(value); err != nil {
					problems = append(problems, fmt.Errorf("%q: %w", value, err))
				}
			}
		}
		if len(problems) > 0 {
			return joinOnOneLine(problems)
		}
		*target = values
		return nil
	}
	set.add(&field)
}

// duration declares a duration with a unit suffix, for example "500ms".
func (set *FieldSet) duration(target *time.Duration, field Field, least, most time.Duration) {
	field.Unit = fmt.Sprintf("duration with unit, %s to %s", least, most)
	parse := func(text string) (time.Duration, error) {
		value, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a duration such as 500ms, 2s or 1m", text)
		}
		if value < least || value > most {
			return 0, fmt.Errorf("%s is outside of %s to %s", value, least, most)
		}
		return value, nil
	}
	declareScalar(set, target, field, parse)
}

// count declares a whole number.
func (set *FieldSet) count(target *int, field Field, least, most int) {
	field.Unit = strings.TrimSpace(fmt.Sprintf("%s, %d to %d", field.Unit, least, most))
	parse := func(text string) (int, error) {
		value, err := strconv.Atoi(text)
		if err != nil {
			return 0, fmt.Errorf("%q is not a whole number", text)
		}
		if value < least || value > most {
			return 0, fmt.Errorf("%d is outside of %d to %d", value, least, most)
		}
		return value, nil
	}
	declareScalar(set, target, field, parse)
}

// share declares a part of one, from 0 to 1.
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

// flag declares a field that is true or false.
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

// notEmpty refuses empty text.
func notEmpty(text string) error {
	if strings.TrimSpace(text) == "" {
		return errors.New("must not be empty")
	}
	return nil
}

// isName accepts letters, digits, '-', '_' and '.', up to 63 bytes.
func isName(text string) error {
	const most = 63
	if text == "" || len(text) > most {
		return fmt.Errorf("a name has 1 to %d characters", most)
	}
	for _, letter := range text {
		if !isNameLetter(letter) {
			return fmt.Errorf("%q is not allowed in a name; use letters, digits, '-', '_' and '.'", string(letter))
		}
	}
	return nil
}

// isNameLetter says whether a character may stand in a name.
func isNameLetter(letter rune) bool {
	switch {
	case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
		return true
	}
	return strings.ContainsRune("-_.", letter)
}

// optional lets empty text pass a condition.
func optional(holds condition[string]) condition[string] {
	return func(text string) error {
		if text == "" {
			return nil
		}
		return holds(text)
	}
}

// isAddress accepts "IP:port" with an IP number, as processes talk by IP
// numbers only.
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

// oneOf accepts only the listed texts.
func oneOf(allowed ...string) condition[string] {
	return func(text string) error {
		for _, one := range allowed {
			if text == one {
				return nil
			}
		}
		return fmt.Errorf("%q is not one of %s", text, strings.Join(allowed, ", "))
	}
}

// onLoopback says whether an "IP:port" is on loopback.
func onLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	number, err := netip.ParseAddr(host)
	return err == nil && number.IsLoopback()
}

// joinOnOneLine joins errors with "; ", as a finding is one line.
func joinOnOneLine(problems []error) error {
	texts := make([]string, len(problems))
	for i, problem := range problems {
		texts[i] = problem.Error()
	}
	return errors.New(strings.Join(texts, "; "))
}
