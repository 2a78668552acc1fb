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
	Test string
	// Command, with its seed, shows the failure.
	Command string
	// Seen is what was seen.
	Seen  string
	Issue string
}

// entryForm is how a line names its fields.
const entryForm = "package.TestName | command and seed | what was seen | issue"

// parseKnownRed reads lines of entryForm. Empty lines and lines that start with '#' are
// passed over.
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
	if len(parts) != 4 {
		return knownRed{}, errors.New("expected: " + entryForm)
	}
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
		if parts[i] == "" {
			return knownRed{}, errors.New("test, command and seed, what was seen and issue must all be given")
		}
	}
	return knownRed{Test: parts[0], Command: parts[1], Seen: parts[2], Issue: parts[3]}, nil
}
