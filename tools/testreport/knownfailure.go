package main

import (
	"errors"
	"fmt"
	"strings"
)

// maxKnownFailures limits how many tests may be listed at once.
const maxKnownFailures = 3

// knownFailure is a list entry for a test that fails because of a fault that
// is not fixed yet.
type knownFailure struct {
	// Test is "package.TestName", the package without the module's path.
	Test string
	// Command reproduces the failure and includes the seed.
	Command string
	// Observed describes the failure.
	Observed string
	Issue    string
}

// entryFormat describes the fields of a line for error messages.
const entryFormat = "package.TestName | command and seed | what was seen | issue"

// parseKnownFailures parses lines of entryFormat. Empty lines and lines that
// start with '#' are ignored.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var listed []knownFailure
	var problems []error
	for number, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		entry, err := parseEntry(line)
		if err != nil {
			problems = append(problems, fmt.Errorf("line %d: %w", number+1, err))
			continue
		}
		listed = append(listed, entry)
	}
	if len(listed) > maxKnownFailures {
		problems = append(problems, fmt.Errorf("%d tests are listed; %d at most", len(listed), maxKnownFailures))
	}
	return listed, errors.Join(problems...)
}

// parseEntry parses one line of entryFormat.
func parseEntry(line string) (knownFailure, error) {
	parts := strings.Split(line, "|")
	if len(parts) != 4 {
		return knownFailure{}, errors.New("expected: " + entryFormat)
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
		if parts[i] == "" {
			return knownFailure{}, errors.New("test, command and seed, what was seen and issue must all be given")
		}
	}
	return knownFailure{Test: parts[0], Command: parts[1], Observed: parts[2], Issue: parts[3]}, nil
}
