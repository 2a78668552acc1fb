package statechart

import (
	"errors"
	"fmt"
	"strings"
)

// Parse parses and validates a chart. The error joins all findings, each in the
// form "file:line: message".
func Parse(file string, text []byte) (*Chart, error) {
	p := parser{chart: &Chart{file: file}}
	for number, line := range strings.Split(string(text), "\n") {
		p.line = number + 1
		statement, _, _ := strings.Cut(line, "#")
		if words := strings.Fields(statement); len(words) > 0 {
			p.parseStatement(words)
		}
	}
	p.check()
	if err := errors.Join(p.findings...); err != nil {
		return nil, err
	}
	return p.chart, nil
}

type parser struct {
	chart    *Chart
	line     int
	findings []error
}

func (p *parser) addFinding(line int, format string, arguments ...any) {
	position := fmt.Sprintf("%s:%d: ", p.chart.file, line)
	p.findings = append(p.findings, fmt.Errorf(position+format, arguments...))
}

func (p *parser) parseStatement(words []string) {
	switch {
	case words[0] == "chart" && len(words) == 2:
		p.chart.Name = words[1]
	case words[0] == "state" && len(words) == 2:
		p.declare("state", &p.chart.states, words[1])
	case words[0] == "state" && len(words) == 3 && words[2] == "initial":
		p.declare("state", &p.chart.states, words[1])
		p.setInitial(words[1])
	case words[0] == "event" && len(words) == 2:
		p.declare("event", &p.chart.events, words[1])
	case words[0] == "action" && len(words) == 2:
		p.declare("action", &p.chart.actions, words[1])
	case words[0] == "on":
		p.parseTransition(words)
	default:
		p.addFinding(p.line, "unknown statement %q", strings.Join(words, " "))
	}
}

func (p *parser) declare(kind string, list *[]declaration, name string) {
	for _, earlier := range *list {
		if earlier.name == name {
			p.addFinding(p.line, "%s %q is declared twice, first on line %d", kind, name, earlier.line)
			return
		}
	}
	*list = append(*list, declaration{name: name, line: p.line})
}

func (p *parser) setInitial(name string) {
	if p.chart.Initial != "" {
		p.addFinding(p.line, "second initial state %q; the first is %q", name, p.chart.Initial)
		return
	}
	p.chart.Initial = name
}

// parseTransition parses "on STATE EVENT -> STATE [do ACTION]".
func (p *parser) parseTransition(words []string) {
	withAction := len(words) == 7 && words[5] == "do"
	if (len(words) != 5 && !withAction) || words[3] != "->" {
		p.addFinding(p.line, "invalid transition, want: on STATE EVENT -> STATE [do ACTION]")
		return
	}
	parsed := transition{from: words[1], event: words[2], to: words[4], line: p.line}
	if withAction {
		parsed.action = words[6]
	}
	p.chart.transitions = append(p.chart.transitions, parsed)
}

func (p *parser) check() {
	if p.chart.Name == "" {
		p.addFinding(1, "no chart statement")
	}
	if p.chart.Initial == "" {
		p.addFinding(1, "no initial state")
	}
	p.checkTransitions()
	p.checkReachable()
}

func (p *parser) checkTransitions() {
	type pair struct{ state, event string }
	first := map[pair]int{}
	usedEvents := map[string]bool{}
	usedActions := map[string]bool{}
	for _, t := range p.chart.transitions {
		p.checkDeclared("state", p.chart.states, t.from, t.line)
		p.checkDeclared("event", p.chart.events, t.event, t.line)
		p.checkDeclared("state", p.chart.states, t.to, t.line)
		if t.action != "" {
			p.checkDeclared("action", p.chart.actions, t.action, t.line)
		}
		key := pair{t.from, t.event}
		if line, duplicate := first[key]; duplicate {
			p.addFinding(t.line, "second transition for state %q and event %q; the first is on line %d", t.from, t.event, line)
		} else {
			first[key] = t.line
		}
		usedEvents[t.event] = true
		usedActions[t.action] = true
	}
	p.checkUsed("event", p.chart.events, usedEvents)
	p.checkUsed("action", p.chart.actions, usedActions)
}

func (p *parser) checkDeclared(kind string, list []declaration, name string, line int) {
	for _, d := range list {
		if d.name == name {
			return
		}
	}
	p.addFinding(line, "unknown %s %q", kind, name)
}

func (p *parser) checkUsed(kind string, list []declaration, used map[string]bool) {
	for _, d := range list {
		if !used[d.name] {
			p.addFinding(d.line, "%s %q is never used", kind, d.name)
		}
	}
}

func (p *parser) checkReachable() {
	if p.chart.Initial == "" {
		return
	}
	reached := map[string]bool{p.chart.Initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range p.chart.transitions {
			if reached[t.from] && !reached[t.to] {
				reached[t.to] = true
				changed = true
			}
		}
	}
	for _, d := range p.chart.states {
		if !reached[d.name] {
			p.addFinding(d.line, "state %q is unreachable", d.name)
		}
	}
}
