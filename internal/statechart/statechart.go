// Package statechart parses state charts from text files, validates them and
// compiles them to transition tables.
//
// A chart is flat: it has states, events, and at most one transition for each
// pair of a state and an event. There is one statement per line; '#' begins a
// comment:
//
//	chart replica
//	state follower initial
//	state leader
//	event vote_won
//	action begin_leading
//	on follower vote_won -> leader do begin_leading
//
// Parse reports all findings in one error, each with its file and line. Bind maps
// the names in the chart to constants in the code, and fails unless both have the
// same names.
package statechart

import (
	"embed"
	"errors"
	"fmt"
)

// State is the index of a state in the list given to Bind.
type State uint8

// Event is the index of an event in the list given to Bind.
type Event uint8

// Action is one more than the index of an action in the list given to Bind.
type Action uint8

// NoAction is the action of a transition without "do".
const NoAction Action = 0

// Chart is a parsed and validated chart.
type Chart struct {
	// Name is the argument of the "chart" statement.
	Name string
	// Initial is the name of the initial state.
	Initial     string
	states      []declaration
	events      []declaration
	actions     []declaration
	transitions []transition
	file        string
}

type declaration struct {
	name string
	line int
}

type transition struct {
	from, event, to, action string
	line                    int
}

type tableEntry struct {
	next    State
	action  Action
	defined bool
}

// Table is a chart compiled for the constants of the code. It is immutable.
type Table struct {
	initial State
	events  int
	entries []tableEntry
}

// MustLoad parses an embedded chart. It panics on any error, because an invalid
// chart is a fault in the program itself.
func MustLoad(files embed.FS, file string) *Chart {
	text, err := files.ReadFile(file)
	if err != nil {
		panic(err)
	}
	chart, err := Parse(file, text)
	if err != nil {
		panic(err)
	}
	return chart
}

// Bind compiles the chart. The lists hold the names in the order of the constants
// in the code. A name that only the chart or only a list has is an error.
func (c *Chart) Bind(states, events, actions []string) (*Table, error) {
	err := errors.Join(
		c.compareNames("state", c.states, states),
		c.compareNames("event", c.events, events),
		c.compareNames("action", c.actions, actions),
	)
	if err != nil {
		return nil, err
	}
	stateIndex := indexByName(states)
	eventIndex := indexByName(events)
	actionIndex := indexByName(actions)
	table := &Table{
		initial: State(stateIndex[c.Initial]),
		events:  len(events),
		entries: make([]tableEntry, len(states)*len(events)),
	}
	for _, t := range c.transitions {
		entry := tableEntry{next: State(stateIndex[t.to]), defined: true}
		if t.action != "" {
			entry.action = Action(actionIndex[t.action] + 1)
		}
		table.entries[stateIndex[t.from]*len(events)+eventIndex[t.event]] = entry
	}
	return table, nil
}

// MustBind is like Bind but panics on an error. It is meant for package
// variables.
func (c *Chart) MustBind(states, events, actions []string) *Table {
	table, err := c.Bind(states, events, actions)
	if err != nil {
		panic(err)
	}
	return table
}

// Initial returns the initial state.
func (t *Table) Initial() State { return t.initial }

// Next returns the state after event e in state s, and the action to take. If the
// chart has no such transition, it returns s and ok is false.
func (t *Table) Next(s State, e Event) (next State, action Action, ok bool) {
	entry := t.entries[int(s)*t.events+int(e)]
	if !entry.defined {
		return s, NoAction, false
	}
	return entry.next, entry.action, true
}

// compareNames reports the names that are only declared in the chart or only
// used in the code.
func (c *Chart) compareNames(kind string, declared []declaration, used []string) error {
	var findings []error
	inCode := indexByName(used)
	inChart := make(map[string]bool, len(declared))
	for _, d := range declared {
		inChart[d.name] = true
		if _, ok := inCode[d.name]; !ok {
			findings = append(findings, fmt.Errorf("%s:%d: %s %q is not defined in the code", c.file, d.line, kind, d.name))
		}
	}
	for _, name := range used {
		if !inChart[name] {
			findings = append(findings, fmt.Errorf("%s: %s %q of the code is not in the chart", c.file, kind, name))
		}
	}
	return errors.Join(findings...)
}

func indexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for index, name := range names {
		indexes[name] = index
	}
	return indexes
}
