package settings

import (
	"strings"
)

// EnvironmentPrefix starts the name of every environment variable that is
// read.
const EnvironmentPrefix = "QUARTZDOCK"

// Field is the declaration of one setting.
type Field struct {
	// Name is dotted, "section.field" or "field".
	Name string
	// Usage explains the field to an operator, in whole sentences.
	Usage string
	// Unit of the value, for example "duration" or "connections"; empty for
	// plain text.
	Unit string
	// Default as it would be written in the file.
	Default string
	// Example is what the example file shows; empty shows Default.
	Example string
	// Required fields have no default.
	Required bool
	// Reloadable fields take a new value at SIGHUP; others need a restart.
	Reloadable bool
	// List fields take a YAML sequence, or a comma-separated flag.
	List bool

	// assign parses and checks; the error is the problem of a Finding.
	assign func(values []string) error
	origin Origin
	given  bool
	valid  bool
	// values as last assigned.
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
	field.origin, field.given, field.values = origin, true, values
	field.valid = true
	if err := field.assign(values); err != nil {
		field.valid = false
		return Finding{Origin: origin, Field: field.Name, Problem: err.Error()}, false
	}
	return Finding{}, true
}

// FieldSet is the declared fields of one role, in order.
type FieldSet struct {
	fields []*Field
	byName map[string]*Field
	// checks look at several fields together, after all have been assigned.
	checks []func(report func(field, problem string))
}

// Schema is a settings struct that declares its fields.
type Schema interface {
	declare(*FieldSet)
}

// FieldsOf declares the fields of a settings struct, which sets every
// default in it.
func FieldsOf(schema Schema) *FieldSet {
	set := &FieldSet{byName: make(map[string]*Field)}
	schema.declare(set)
	return set
}

// Fields returns the declarations in order.
func (set *FieldSet) Fields() []*Field { return set.fields }

// add declares a field and assigns its default.
func (set *FieldSet) add(field *Field) *Field {
	if _, twice := set.byName[field.Name]; twice {
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

// check declares a condition over several fields. Its report takes the field
// whose place the finding gets.
func (set *FieldSet) check(condition func(report func(field, problem string))) {
	set.checks = append(set.checks, condition)
}

// isSection says whether any field lies below the name.
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
	at := strings.LastIndexByte(name, '.')
	if at < 0 {
		return ""
	}
	return name[:at]
}

// splitList splits a comma-separated text where the field is a list.
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
