package settings

import (
	"fmt"
	"io"
	"strings"
)

// exampleWidth is the column at which comments are wrapped.
const exampleWidth = 96

// WriteExample writes a settings file that describes each field with its unit
// and default.
func WriteExample(out io.Writer, role string, schema Schema) error {
	var text strings.Builder
	fmt.Fprintf(&text, "# Settings of role %s. Start: quartzdock %s --config FILE\n", role, role)
	fmt.Fprintf(&text, "# Flags (--section.field) override environment variables, which override this file.\n")
	section := ""
	for _, field := range FieldsOf(schema).Fields() {
		if next := sectionOf(field.Name); next != section {
			section = next
			if section != "" {
				fmt.Fprintf(&text, "\n%s:", section)
			}
		}
		writeExampleField(&text, field, section)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// writeExampleField writes the comment and the value of one field.
func writeExampleField(text *strings.Builder, field *Field, section string) {
	indent, key := "", field.Name
	if section != "" {
		indent, key = "  ", strings.TrimPrefix(field.Name, section+".")
	}
	text.WriteString("\n")
	for _, line := range wrap(field.Usage+" "+field.describe(), exampleWidth) {
		fmt.Fprintf(text, "%s# %s\n", indent, line)
	}
	value := field.Example
	if value == "" {
		value = field.Default
	}
	if !field.List {
		fmt.Fprintf(text, "%s%s: %s\n", indent, key, quoted(value))
		return
	}
	values := splitList(value, true)
	if len(values) == 0 {
		fmt.Fprintf(text, "%s%s: []\n", indent, key)
		return
	}
	fmt.Fprintf(text, "%s%s:\n", indent, key)
	for _, item := range values {
		fmt.Fprintf(text, "%s  - %s\n", indent, item)
	}
}

// describe returns the field's unit, default and environment variable, and
// whether SIGHUP reloads it.
func (field *Field) describe() string {
	var sentences []string
	if field.Unit != "" {
		sentences = append(sentences, "Unit: "+field.Unit+".")
	}
	switch {
	case field.Required:
		sentences = append(sentences, "Required.")
	case field.Default == "":
		sentences = append(sentences, "Default: empty.")
	default:
		sentences = append(sentences, "Default: "+field.Default+".")
	}
	if field.Reloadable {
		sentences = append(sentences, "Reread at SIGHUP.")
	}
	sentences = append(sentences, "Environment: "+field.EnvironmentVariable()+".")
	return strings.Join(sentences, " ")
}

// quoted returns a YAML scalar, with quotes if it is empty.
func quoted(value string) string {
	if value == "" {
		return `""`
	}
	return value
}

// wrap breaks a text into lines of at most width bytes, at spaces.
func wrap(text string, width int) []string {
	var lines []string
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && len(line)+1+len(word) > width {
			lines = append(lines, line)
			line = ""
		}
		if line != "" {
			line += " "
		}
		line += word
	}
	return append(lines, line)
}
