package settings

import (
	"errors"
	"fmt"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// fileReader assigns the values of one settings file to a field set.
type fileReader struct {
	name     string
	set      *FieldSet
	findings Findings
	// seen holds the names found so far with their lines, for repeated keys.
	seen map[string]int
}

// readFile assigns every known field of a file and returns all findings.
func (set *FieldSet) readFile(name string, text []byte) Findings {
	reader := &fileReader{name: name, set: set, seen: make(map[string]int)}
	// Repeated keys are allowed here so that they become findings like others.
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return Findings{reader.syntaxFinding(err)}
	}
	if len(file.Docs) > 1 {
		reader.report(file.Docs[1].GetToken(), "", "only one YAML document is read")
	}
	if len(file.Docs) > 0 && file.Docs[0].Body != nil {
		reader.readSection("", file.Docs[0].Body)
	}
	return reader.findings
}

// syntaxFinding turns a parser's error into a finding.
func (reader *fileReader) syntaxFinding(err error) Finding {
	finding := Finding{Origin: Origin{Source: reader.name, Line: 1, Column: 1}, Problem: err.Error()}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return finding
	}
	finding.Problem = "not YAML: " + positioned.GetMessage()
	if at := positioned.GetToken(); at != nil {
		finding.Origin = reader.origin(at)
	}
	return finding
}

// readSection reads one mapping. Its prefix is the section's dotted name.
func (reader *fileReader) readSection(section string, node ast.Node) {
	mapping, ok := node.(ast.MapNode)
	if !ok {
		reader.report(node.GetToken(), section, "a mapping of fields is expected")
		return
	}
	for entries := mapping.MapRange(); entries.Next(); {
		reader.readEntry(section, entries.KeyValue())
	}
}

// readEntry reads one key and its value or section.
func (reader *fileReader) readEntry(section string, entry *ast.MappingValueNode) {
	key := entry.Key.GetToken()
	name := key.Value
	if section != "" {
		name = section + "." + name
	}
	if line, twice := reader.seen[name]; twice {
		reader.report(key, name, fmt.Sprintf("given twice, first on line %d", line))
		return
	}
	reader.seen[name] = key.Position.Line
	field, known := reader.set.byName[name]
	switch {
	case known:
		reader.readValue(field, key, entry.Value)
	case reader.set.isSection(name):
		if _, empty := entry.Value.(*ast.NullNode); !empty {
			reader.readSection(name, entry.Value)
		}
	default:
		reader.report(key, name, reader.unknownProblem(name))
	}
}

// readValue assigns the value of a known field.
func (reader *fileReader) readValue(field *Field, key *token.Token, node ast.Node) {
	origin := reader.origin(key)
	values, ok := scalars(node)
	if !ok {
		reader.report(key, field.Name, "a plain value or a list of plain values is expected")
		return
	}
	if _, sequence := node.(*ast.SequenceNode); sequence && !field.List {
		reader.report(key, field.Name, "one value expected, not a list")
		return
	}
	if finding, valid := field.set(origin, values); !valid {
		reader.findings = append(reader.findings, finding)
	}
}

// scalars returns the plain values of a node: one, or those of a sequence.
func scalars(node ast.Node) ([]string, bool) {
	switch node := node.(type) {
	case *ast.NullNode:
		return []string{""}, true
	case *ast.LiteralNode:
		return []string{node.Value.Value}, true
	case ast.ScalarNode:
		return []string{node.GetToken().Value}, true
	case *ast.SequenceNode:
		var values []string
		for _, item := range node.Values {
			scalar, ok := item.(ast.ScalarNode)
			if !ok {
				return nil, false
			}
			values = append(values, scalar.GetToken().Value)
		}
		return values, true
	default:
		return nil, false
	}
}

// unknownProblem names the nearest known field where there is one.
func (reader *fileReader) unknownProblem(name string) string {
	if near := reader.set.nearest(name); near != "" {
		return fmt.Sprintf("unknown field; did you mean %s?", near)
	}
	return "unknown field"
}

// report collects a finding at a token.
func (reader *fileReader) report(at *token.Token, field, problem string) {
	finding := Finding{Origin: reader.origin(at), Field: field, Problem: problem}
	reader.findings = append(reader.findings, finding)
}

// origin returns the place of a token.
func (reader *fileReader) origin(at *token.Token) Origin {
	if at == nil || at.Position == nil {
		return Origin{Source: reader.name, Line: 1, Column: 1}
	}
	return Origin{Source: reader.name, Line: at.Position.Line, Column: at.Position.Column}
}
