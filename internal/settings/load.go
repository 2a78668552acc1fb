package settings

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// Loader reads the settings of one process; it can be used again at SIGHUP.
type Loader struct {
	// File is the settings file; empty reads none.
	File string
	// Overrides come from flags and the environment.
	Overrides *Overrides
}

// Load fills a settings struct. The error is a Findings with every problem,
// or nil. The struct is not to be used after an error.
func (loader *Loader) Load(schema Schema) (*FieldSet, error) {
	set := FieldsOf(schema)
	var findings Findings
	if loader.File != "" {
		text, err := os.ReadFile(loader.File)
		if err != nil {
			findings = append(findings, Finding{Origin: Origin{Source: loader.File}, Problem: err.Error()})
		} else {
			findings = append(findings, set.readFile(loader.File, text)...)
		}
	}
	if loader.Overrides != nil {
		findings = append(findings, loader.Overrides.apply(set)...)
	}
	whole := loader.wholeFile()
	findings = append(findings, set.missing(whole)...)
	findings = append(findings, set.runChecks(whole)...)
	if len(findings) > 0 {
		return nil, findings.inOrder()
	}
	return set, nil
}

// wholeFile is the place of findings about fields that were not given.
func (loader *Loader) wholeFile() Origin {
	if loader.File == "" {
		return Origin{Source: "no settings file"}
	}
	return Origin{Source: loader.File, Line: 1, Column: 1}
}

// missing reports the required fields that were not given.
func (set *FieldSet) missing(whole Origin) Findings {
	var findings Findings
	for _, field := range set.fields {
		if !field.Required || field.given {
			continue
		}
		problem := fmt.Sprintf("required; give it in the file, as --%s or as %s", field.Name, field.EnvironmentVariable())
		findings = append(findings, Finding{Origin: whole, Field: field.Name, Problem: problem})
	}
	return findings
}

// runChecks evaluates the conditions over several fields.
func (set *FieldSet) runChecks(whole Origin) Findings {
	var findings Findings
	report := func(name, problem string) {
		origin := set.byName[name].origin
		if origin == (Origin{}) {
			origin = whole
		}
		findings = append(findings, Finding{Origin: origin, Field: name, Problem: problem})
	}
	for _, condition := range set.checks {
		condition(report)
	}
	return findings
}

// Changed compares the settings in force with newly loaded ones: the
// reloadable fields that differ, and those that need a restart.
func Changed(inForce, loaded *FieldSet) (reloadable, needRestart []string) {
	for i, field := range loaded.fields {
		if slices.Equal(field.effective(), inForce.fields[i].effective()) {
			continue
		}
		if field.Reloadable {
			reloadable = append(reloadable, field.Name)
		} else {
			needRestart = append(needRestart, field.Name)
		}
	}
	return reloadable, needRestart
}

// effective returns the values in force: those given, or the default.
func (field *Field) effective() []string {
	if field.given {
		return field.values
	}
	return splitList(field.Default, field.List)
}

// Describe returns "name=value" for every field, for the log at start.
func (set *FieldSet) Describe() string {
	parts := make([]string, len(set.fields))
	for i, field := range set.fields {
		parts[i] = field.Name + "=" + strings.Join(field.effective(), ",")
	}
	return strings.Join(parts, " ")
}
