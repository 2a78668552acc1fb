package settings

import (
	"fmt"
	"os"
	"slices"
)

// Loader reads the settings of one process. It can be reused to reload them.
type Loader struct {
	// File is the path of the settings file; empty reads none.
	File string
	// Overrides are the values given by flags and the environment.
	Overrides *Overrides
}

// Load sets the fields of a settings struct. The error is nil or a Findings with
// every problem; the struct must not be used after an error.
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
	fileOrigin := loader.fileOrigin()
	findings = append(findings, set.missingFields(fileOrigin)...)
	findings = append(findings, set.runChecks(fileOrigin)...)
	if len(findings) > 0 {
		return nil, findings.sorted()
	}
	return set, nil
}

// fileOrigin returns the origin of findings about fields that are not set.
func (loader *Loader) fileOrigin() Origin {
	if loader.File == "" {
		return Origin{Source: "no settings file"}
	}
	return Origin{Source: loader.File, Line: 1, Column: 1}
}

// missingFields reports the required fields that are not set.
func (set *FieldSet) missingFields(fileOrigin Origin) Findings {
	var findings Findings
	for _, field := range set.fields {
		if !field.Required || field.isSet {
			continue
		}
		problem := fmt.Sprintf("required; give it in the file, as --%s or as %s", field.Name, field.EnvironmentVariable())
		findings = append(findings, Finding{Origin: fileOrigin, Field: field.Name, Problem: problem})
	}
	return findings
}

// runChecks runs the checks that involve several fields.
func (set *FieldSet) runChecks(fileOrigin Origin) Findings {
	var findings Findings
	report := func(name, problem string) {
		origin := set.byName[name].origin
		if origin == (Origin{}) {
			origin = fileOrigin
		}
		findings = append(findings, Finding{Origin: origin, Field: name, Problem: problem})
	}
	for _, check := range set.checks {
		check(report)
	}
	return findings
}

// Adopt replaces the values of reloadable fields by newly loaded ones. It returns
// the names of the fields that changed, and of those that differ but need a
// restart.
func (set *FieldSet) Adopt(loaded *FieldSet) (changed, needRestart []string) {
	for i, field := range set.fields {
		next := loaded.fields[i]
		if slices.Equal(field.effective(), next.effective()) {
			continue
		}
		if !field.Reloadable {
			needRestart = append(needRestart, field.Name)
			continue
		}
		changed = append(changed, field.Name)
		field.isSet, field.values, field.origin = next.isSet, next.values, next.origin
	}
	return changed, needRestart
}

// effective returns the values that were set, or the default.
func (field *Field) effective() []string {
	if field.isSet {
		return field.values
	}
	return splitList(field.Default, field.List)
}
