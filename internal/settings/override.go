package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
)

// Names of the flags that every role has in addition to its fields.
const (
	flagConfig = "config"
	flagCheck  = "check"
)

// Overrides hold the values given by flags and environment variables of one
// role, unparsed, so that all their problems can be reported together.
type Overrides struct {
	// Config is the settings file named by --config.
	Config string
	// Check is set by --check: validate the settings and exit.
	Check bool

	flags  *ff.FlagSet
	values map[string]*rawValue
	// environment as "NAME=value"; os.Environ in production.
	environment []string
}

// rawValue collects the texts that a flag was set to.
type rawValue struct {
	texts       []string
	defaultText string
	isBool      bool
}

// Set implements flag.Value. It never fails; Loader.Load reports invalid values.
func (value *rawValue) Set(text string) error {
	value.texts = append(value.texts, text)
	return nil
}

// String implements flag.Value.
func (value *rawValue) String() string {
	if len(value.texts) == 0 {
		return value.defaultText
	}
	return strings.Join(value.texts, ",")
}

// IsBoolFlag allows the flag of a boolean field without a value.
func (value *rawValue) IsBoolFlag() bool { return value.isBool }

// NewOverrides declares one flag per field of the schema, and --config and
// --check. The ff command that has the flags parses them, with EnvironmentPrefix.
func NewOverrides(role string, schema Schema) *Overrides {
	overrides := &Overrides{
		flags:       ff.NewFlagSet(role),
		values:      make(map[string]*rawValue),
		environment: os.Environ(),
	}
	overrides.flags.StringVar(&overrides.Config, 0, flagConfig, "", "settings file (YAML)")
	overrides.flags.BoolVar(&overrides.Check, 0, flagCheck, "validate the settings, print all findings and exit")
	for _, field := range FieldsOf(schema).Fields() {
		overrides.declare(field)
	}
	return overrides
}

// declare adds the flag of one field.
func (overrides *Overrides) declare(field *Field) {
	value := &rawValue{defaultText: field.Default, isBool: field.Unit == unitBool}
	overrides.values[field.Name] = value
	usage, _, _ := strings.Cut(field.Usage, ". ")
	_, err := overrides.flags.AddFlag(ff.FlagConfig{
		LongName:    field.Name,
		Usage:       strings.TrimSuffix(usage, "."),
		Value:       value,
		Placeholder: "VALUE",
	})
	if err != nil {
		panic("settings: flag of " + field.Name + ": " + err.Error())
	}
}

// Flags returns the flag set for an ff.Command.
func (overrides *Overrides) Flags() *ff.FlagSet { return overrides.flags }

// apply assigns every override and reports unknown variables.
func (overrides *Overrides) apply(set *FieldSet) Findings {
	var findings Findings
	for _, field := range set.fields {
		value := overrides.values[field.Name]
		if value == nil || len(value.texts) == 0 {
			continue
		}
		origin := Origin{Source: overrides.sourceOf(field, value)}
		values := splitList(strings.Join(value.texts, ","), field.List)
		if !field.List {
			values = value.texts[len(value.texts)-1:]
		}
		if finding, valid := field.set(origin, values); !valid {
			findings = append(findings, finding)
		}
	}
	return append(findings, overrides.unknownVariables(set)...)
}

// sourceOf returns the environment variable or the flag that a value came from.
func (overrides *Overrides) sourceOf(field *Field, value *rawValue) string {
	entry := field.EnvironmentVariable() + "=" + value.texts[0]
	if len(value.texts) == 1 && slices.Contains(overrides.environment, entry) {
		return field.EnvironmentVariable()
	}
	return "--" + field.Name
}

// unknownVariables reports variables with EnvironmentPrefix that no role reads.
func (overrides *Overrides) unknownVariables(set *FieldSet) Findings {
	known := knownVariables()
	var findings Findings
	for _, entry := range overrides.environment {
		name, _, _ := strings.Cut(entry, "=")
		if !strings.HasPrefix(name, EnvironmentPrefix+"_") || known[name] {
			continue
		}
		problem := "unknown variable; names that start with " + EnvironmentPrefix + "_ are settings"
		findings = append(findings, Finding{Origin: Origin{Source: name}, Problem: problem})
	}
	return findings
}

// knownVariables returns the variables of all roles and of the operators'
// client, because one environment may be shared by several.
func knownVariables() map[string]bool {
	known := make(map[string]bool)
	for _, name := range []string{flagConfig, flagCheck} {
		known[EnvironmentPrefix+"_"+strings.ToUpper(name)] = true
	}
	for _, schema := range []Schema{&Controller{}, &Router{}, &Agent{}, &Admin{}} {
		for _, field := range FieldsOf(schema).Fields() {
			known[field.EnvironmentVariable()] = true
		}
	}
	return known
}

// String returns a description for messages.
func (overrides *Overrides) String() string {
	return fmt.Sprintf("settings file %q", overrides.Config)
}
