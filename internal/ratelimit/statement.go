package ratelimit

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// Statement is what a response of a back end says about its limit.
type Statement struct {
	// Limited is set if the response states a limit. Without one the back end takes any rate.
	Limited bool
	// PerSecond is the limit in requests per second, zero or more.
	PerSecond float64
}

// ErrMalformed means that a header field states no usable limit.
var ErrMalformed = errors.New("not a limit")

// maxTextLength bounds the text of a limit.
const maxTextLength = 32

// decimal is a number without sign and exponent.
var decimal = regexp.MustCompile(`^([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)

// Parse returns the statement of a response that has the given values of the header field. No
// values state that there is no limit. After ErrMalformed the response states nothing.
func Parse(values []string) (Statement, error) {
	switch len(values) {
	case 0:
		return Statement{}, nil
	case 1:
	default:
		return Statement{}, fmt.Errorf("%d values: %w", len(values), ErrMalformed)
	}
	text := strings.TrimSpace(values[0])
	if len(text) > maxTextLength || !decimal.MatchString(text) {
		return Statement{}, fmt.Errorf("%.64q: %w", values[0], ErrMalformed)
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return Statement{}, fmt.Errorf("%.64q: %w", values[0], ErrMalformed)
	}
	return Statement{Limited: true, PerSecond: perSecond}, nil
}

// Format returns the text of a limit, which Parse reads.
func Format(perSecond float64) string { return strconv.FormatFloat(perSecond, 'f', -1, 64) }
