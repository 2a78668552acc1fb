package settings

import (
	"strings"
)

// EnvironmentPrefix is the prefix of all environment variables that are read.
const EnvironmentPrefix = "QUARTZDOCK"

// Field is the declaration of one setting.
type Field struct {
	// Name is dotted, "section.field" or "field".
	Name string
	// Usage describes the field for operators, in complete sentences.
	Usage string
	// Unit is the unit of the value, for example "connections"; empty for plain
	// text.
	Unit string
	// Default is the default as it would be written in the file.
	Default string
	// Example is the value in the example file; empty uses Default.
	Example string
	// Required fields have no default.
	Required bool
	// Reloadable fields are reloaded at SIGHUP; others need a restart.
	Reloadable bool
	// List fields accept a YAML sequence, or comma-separated values in a flag.
	List bool

	// assign parses, checks and stores values; the error is the Problem of a
	// Finding.
	assign func(values []string) error
	origin Origin
	isSet  bool
	valid  bool
	// values are the texts that were last assigned.
	values []string
}

// EnvironmentVariable returns the name of the variable that overrides the
// field.
func (field *Field) EnvironmentVariable() string {
	name := strings.NewReplacer(".", "_", "-", "_").Replace(field.Name)
	return EnvironmentPrefix + "_" + strings.ToUpper(name)
}

// set assigns values from an origin and returns the finding, if any.
func (field *Field) set(origin Origin, values []string) (Finding, bool) {
	field.origin, field.isSet, field.values = origin, true, values
	field.valid = true
	if err := field.assign(values); err != nil {
		field.valid = false
		return Finding{Origin: origin, Field: field.Name, Problem: err.Error()}, false
	}
	return Finding{}, true
}

// FieldSet holds the declared fields of one role, in order of declaration.
type FieldSet struct {
	fields []*Field
	byName map[string]*Field
	// checks involve several fields and run after all have been assigned.
	checks []func(report func(field, problem string))
}

// Schema is a settings struct that declares its fields.
type Schema interface {
	declare(*FieldSet)
}

// FieldsOf declares the fields of a settings struct. It sets all defaults in the
// struct.
func FieldsOf(schema Schema) *FieldSet {
	set := &FieldSet{byName: make(map[string]*Field)}
	schema.declare(set)
	return set
}

// Fields returns the fields in order of declaration.
func (set *FieldSet) Fields() []*Field { return set.fields }

// add declares a field and assigns its default.
func (set *FieldSet) add(field *Field) *Field {
	if _, duplicate := set.byName[field.Name]; duplicate {
		panic("settings: field declared twice: " + field.Name)
	}
	set.fields = append(set.fields, field)
	set.byName[field.Name] = field
	field.valid = true
	if field.Default == "" {
		return field
	}
	if err := field.assign(splitList(field.Default, field.List)); err != nil {
		panic("settings: default of " + field.Name + ": " + err.Error())
	}
	return field
}

// check adds a check that involves several fields. It reports each problem with
// the name of a field, whose origin the finding gets.
func (set *FieldSet) check(check func(report func(field, problem string))) {
	set.checks = append(set.checks, check)
}

// isSection reports whether the name is a section with fields.
func (set *FieldSet) isSection(name string) bool {
	for _, field := range set.fields {
		if strings.HasPrefix(field.Name, name+".") {
			return true
		}
	}
	return false
}

// sectionOf returns the part of a field name before the last dot.
func sectionOf(name string) string {
	dot := strings.LastIndexByte(name, '.')
	if dot < 0 {
		return ""
	}
	return name[:dot]
}

// splitList splits a comma-separated text if the field is a list.
func splitList(text string, list bool) []string {
	if !list {
		return []string{text}
	}
	var values []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			values = append(values, part)
		}
	}
	return values
}
