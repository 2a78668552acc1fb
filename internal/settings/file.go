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
	// seen maps the names read so far to their lines, to detect duplicate keys.
	seen map[string]int
}

// readFile assigns the fields that a file sets and returns all findings.
func (set *FieldSet) readFile(name string, text []byte) Findings {
	reader := &fileReader{name: name, set: set, seen: make(map[string]int)}
	// The parser accepts duplicate keys, so that they are reported as findings with
	// all others.
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

// syntaxFinding converts a parser error to a finding.
func (reader *fileReader) syntaxFinding(err error) Finding {
	finding := Finding{Origin: Origin{Source: reader.name, Line: 1, Column: 1}, Problem: err.Error()}
	var positioned yaml.Error
	if !errors.As(err, &positioned) {
		return finding
	}
	finding.Problem = "not YAML: " + positioned.GetMessage()
	if tok := positioned.GetToken(); tok != nil {
		finding.Origin = reader.origin(tok)
	}
	return finding
}

// readSection reads one mapping. The names of its fields are prefixed with the
// section's name and a dot.
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

// readEntry reads one key with its value or section.
func (reader *fileReader) readEntry(section string, entry *ast.MappingValueNode) {
	key := entry.Key.GetToken()
	name := key.Value
	if section != "" {
		name = section + "." + name
	}
	if line, duplicate := reader.seen[name]; duplicate {
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
		reader.report(key, name, reader.unknownFieldProblem(name))
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

// scalars returns the value of a scalar node, or the values of a sequence of
// scalars.
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

// unknownFieldProblem describes an unknown field and suggests a known one with a
// similar name.
func (reader *fileReader) unknownFieldProblem(name string) string {
	if suggestion := reader.set.nearestField(name); suggestion != "" {
		return fmt.Sprintf("unknown field; did you mean %s?", suggestion)
	}
	return "unknown field"
}

// report adds a finding at a token.
func (reader *fileReader) report(tok *token.Token, field, problem string) {
	finding := Finding{Origin: reader.origin(tok), Field: field, Problem: problem}
	reader.findings = append(reader.findings, finding)
}

// origin returns the position of a token; the start of the file if it has none.
func (reader *fileReader) origin(tok *token.Token) Origin {
	if tok == nil || tok.Position == nil {
		return Origin{Source: reader.name, Line: 1, Column: 1}
	}
	return Origin{Source: reader.name, Line: tok.Position.Line, Column: tok.Position.Column}
}
