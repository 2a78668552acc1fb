// Package statechart loads state charts from text files, checks them and
// compiles them to tables that the code interprets.
//
// A chart is flat: states, events, and at most one transition for a state and
// an event. One statement stands on a line; '#' begins a comment:
//
//	chart replica
//	state follower initial
//	state leader
//	event vote_won
//	action begin_leading
//	on follower vote_won -> leader do begin_leading
//
// Parse reports every finding with its file and line, joined in one error.
// Bind then ties the names of the chart to the constants of the code and
// refuses a chart that names more, or fewer, than the code knows.
package statechart

import (
	"embed"
	"errors"
	"fmt"
)

// State is the position of a state in the list given to Bind.
type State uint8

// Event is the position of an event in the list given to Bind.
type Event uint8

// Action is one more than the position of an action in the list given to
// Bind.
type Action uint8

// NoAction is the action of a transition without "do".
const NoAction Action = 0

// Chart is a parsed and checked chart.
type Chart struct {
	// Name as given by the "chart" statement.
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

type cell struct {
	next    State
	action  Action
	defined bool
}

// Table is a chart compiled for the constants of the code. It is immutable.
type Table struct {
	initial State
	events  int
	cells   []cell
}

// MustLoad parses an embedded chart and panics on any finding: a chart is part
// of the program.
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

// Bind compiles the chart. The lists hold the names in the order of the code's
// constants; a name missing on either side is a finding.
func (c *Chart) Bind(states, events, actions []string) (*Table, error) {
	err := errors.Join(
		c.compareNames("state", c.states, states),
		c.compareNames("event", c.events, events),
		c.compareNames("action", c.actions, actions),
	)
	if err != nil {
		return nil, err
	}
	stateIndex := indexOf(states)
	eventIndex := indexOf(events)
	actionIndex := indexOf(actions)
	table := &Table{
		initial: State(stateIndex[c.Initial]),
		events:  len(events),
		cells:   make([]cell, len(states)*len(events)),
	}
	for _, t := range c.transitions {
		filled := cell{next: State(stateIndex[t.to]), defined: true}
		if t.action != "" {
			filled.action = Action(actionIndex[t.action] + 1)
		}
		table.cells[stateIndex[t.from]*len(events)+eventIndex[t.event]] = filled
	}
	return table, nil
}

// MustBind is Bind for package variables; it panics on a finding.
func (c *Chart) MustBind(states, events, actions []string) *Table {
	table, err := c.Bind(states, events, actions)
	if err != nil {
		panic(err)
	}
	return table
}

// Initial returns the initial state.
func (t *Table) Initial() State { return t.initial }

// Next returns the state after event e in state s and the action to take. It
// returns ok false, and s unchanged, where the chart has no such transition.
func (t *Table) Next(s State, e Event) (next State, action Action, ok bool) {
	found := t.cells[int(s)*t.events+int(e)]
	if !found.defined {
		return s, NoAction, false
	}
	return found.next, found.action, true
}

func (c *Chart) compareNames(kind string, declared []declaration, used []string) error {
	var findings []error
	inCode := indexOf(used)
	inChart := make(map[string]bool, len(declared))
	for _, d := range declared {
		inChart[d.name] = true
		if _, ok := inCode[d.name]; !ok {
			findings = append(findings, fmt.Errorf("%s:%d: %s %q is unknown to the code", c.file, d.line, kind, d.name))
		}
	}
	for _, name := range used {
		if !inChart[name] {
			findings = append(findings, fmt.Errorf("%s: %s %q of the code is not in the chart", c.file, kind, name))
		}
	}
	return errors.Join(findings...)
}

func indexOf(names []string) map[string]int {
	index := make(map[string]int, len(names))
	for position, name := range names {
		index[name] = position
	}
	return index
}
