package settings

import (
	"fmt"
	"sort"
	"strings"
)

// Origin is where a value was set. The zero value stands for the default.
type Origin struct {
	// Source is a file name, a flag ("--name") or an environment variable.
	Source string
	// Line and Column count from 1 and are zero outside of files.
	Line   int
	Column int
}

// String returns "file:line:column", the flag or the variable.
func (origin Origin) String() string {
	switch {
	case origin.Source == "":
		return "default"
	case origin.Line == 0:
		return origin.Source
	default:
		return fmt.Sprintf("%s:%d:%d", origin.Source, origin.Line, origin.Column)
	}
}

// Finding is one problem in the settings.
type Finding struct {
	Origin Origin
	// Field is the dotted name; empty if the finding concerns the whole file or an
	// environment variable.
	Field string
	// Problem describes what is wrong and what is allowed.
	Problem string
}

// String returns "origin: field: problem".
func (finding Finding) String() string {
	if finding.Field == "" {
		return fmt.Sprintf("%s: %s", finding.Origin, finding.Problem)
	}
	return fmt.Sprintf("%s: %s: %s", finding.Origin, finding.Field, finding.Problem)
}

// Findings holds all problems of the settings of a process, ordered by origin. It
// implements error.
type Findings []Finding

// Error returns one line per finding.
func (findings Findings) Error() string {
	lines := make([]string, len(findings))
	for i, finding := range findings {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// sorted sorts findings in place by source, line, column and field.
func (findings Findings) sorted() Findings {
	sort.SliceStable(findings, func(i, j int) bool {
		a, b := findings[i], findings[j]
		if a.Origin.Source != b.Origin.Source {
			return a.Origin.Source < b.Origin.Source
		}
		if a.Origin.Line != b.Origin.Line {
			return a.Origin.Line < b.Origin.Line
		}
		if a.Origin.Column != b.Origin.Column {
			return a.Origin.Column < b.Origin.Column
		}
		return a.Field < b.Field
	})
	return findings
}
