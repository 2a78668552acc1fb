package main

import (
	"errors"
	"fmt"
	"strings"
)

// mostKnownRed is how many tests may be listed at once.
const mostKnownRed = 3

// knownRed is a test that is known to fail for a real fault.
type knownRed struct {
	// Test is "package.TestName", the package without the module's path.
	Test  string
	Cause string
	Issue string
}

// parseKnownRed reads lines "package.TestName | cause | issue". Empty lines
// and lines that start with '#' are passed over.
func parseKnownRed(text string) ([]knownRed, error) {
	var listed []knownRed
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
	if len(listed) > mostKnownRed {
		problems = append(problems, fmt.Errorf("%d tests are listed; %d at most", len(listed), mostKnownRed))
	}
	return listed, errors.Join(problems...)
}

// parseEntry reads one line.
func parseEntry(line string) (knownRed, error) {
	parts := strings.Split(line, "|")
	if len(parts) != 3 {
		return knownRed{}, errors.New("expected: package.TestName | cause | issue")
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
		if parts[i] == "" {
			return knownRed{}, errors.New("test, cause and issue must all be given")
		}
	}
	return knownRed{Test: parts[0], Cause: parts[1], Issue: parts[2]}, nil
}
