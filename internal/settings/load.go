package settings

import (
	"fmt"
	"os"
	"slices"
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

// Adopt takes newly loaded values of the reloadable fields into the fields in
// force. It returns the names that changed, and those that differ but need a
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
		field.given, field.values, field.origin = next.given, next.values, next.origin
	}
	return changed, needRestart
}

// effective returns the values in force: those given, or the default.
func (field *Field) effective() []string {
	if field.given {
		return field.values
	}
	return splitList(field.Default, field.List)
}
