package settings

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// load parses arguments and environment and loads a file with the given text. The
// flags are declared from flagSchema, so that its parsing leaves schema unchanged.
func load(t *testing.T, schema, flagSchema Schema, text string, environment []string, arguments ...string) (*FieldSet, error) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	for _, entry := range environment {
		name, value, _ := strings.Cut(entry, "=")
		t.Setenv(name, value)
	}
	overrides := NewOverrides("role", flagSchema)
	assert.NilError(t, ff.Parse(overrides.Flags(), arguments, ff.WithEnvVarPrefix(EnvironmentPrefix)))
	set, err := (&Loader{File: file, Overrides: overrides}).Load(schema)
	return set, withoutFolder(err, filepath.Dir(file)+"/")
}

// withoutFolder removes the temporary folder from the sources of findings.
func withoutFolder(err error, folder string) error {
	var findings Findings
	if !errors.As(err, &findings) {
		return err
	}
	for i := range findings {
		findings[i].Origin.Source = strings.TrimPrefix(findings[i].Origin.Source, folder)
	}
	return findings
}

const validController = `
name: c1
location: {region: se-west, zone: hall-1}
data-folder: data
replica-id: 1
peers: [1=127.0.0.1:7102]
`

func TestAllFindingsAreReportedWithPositions(t *testing.T) {
	text := `name: "two words"
location:
  region: se-west
  zome: hall-1
data-folder:
replica-id: 0
replica-id: 2
peers:
  - 1=127.0.0.1:7102
  - 127.0.0.2
lease:
  duration: 500
  renew-interval: 400ms
session:
  listen: 10.0.0.1:7101
log: {level: loud}
ops: true
tls:
  key-file: key.pem
sessions: 3
`
	_, err := load(t, &Controller{}, &Controller{}, text,
		[]string{"QUARTZDOCK_STOP_TIMEOUT=1h", "QUARTZDOCK_STOP_TIMEOUTS=1s"}, "--ops.pprof=maybe")
	golden.Assert(t, err.Error()+"\n", "findings.golden")
}

func TestSyntaxErrorReportsLine(t *testing.T) {
	_, err := load(t, &Router{}, &Router{}, "name: r1\nlocation: [\n", nil)
	assert.ErrorContains(t, err, "settings.yaml:2:")
	assert.ErrorContains(t, err, "not YAML")
}

func TestFlagOverridesEnvironmentOverridesFile(t *testing.T) {
	var controller Controller
	text := validController + "stop-timeout: 2s\ngroup: 2\nlog: {level: warn}\n"
	_, err := load(t, &controller, &Controller{}, text,
		[]string{"QUARTZDOCK_GROUP=3", "QUARTZDOCK_LOG_LEVEL=error"}, "--log.level", "debug")
	assert.NilError(t, err)
	assert.Equal(t, controller.StopTimeout.String(), "2s")
	assert.Equal(t, controller.Group, 3)
	assert.Equal(t, controller.Log.Level, "debug")
	assert.Equal(t, controller.Log.Format, "text")
}

func TestListsAreReadFromSequencesAndCommas(t *testing.T) {
	var router Router
	text := "name: r\nlocation: {region: a, zone: b}\ncontrollers:\n- 127.0.0.1:1\n- 127.0.0.2:1\n"
	_, err := load(t, &router, &Router{}, text, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, router.Controllers, []string{"127.0.0.1:1", "127.0.0.2:1"})
	_, err = load(t, &router, &Router{}, text, nil, "--controllers", "127.0.0.3:1, 127.0.0.4:1")
	assert.NilError(t, err)
	assert.DeepEqual(t, router.Controllers, []string{"127.0.0.3:1", "127.0.0.4:1"})
}

func TestTLSIsRequiredOffLoopback(t *testing.T) {
	off := validController + "rpc: {listen: 192.0.2.1:7103}\n"
	_, err := load(t, &Controller{}, &Controller{}, off, nil)
	assert.ErrorContains(t, err, "settings.yaml:7:7: rpc.listen: 192.0.2.1:7103 is not on loopback")
	on := off + "tls: {certificate-file: c, key-file: k, ca-file: a}\n"
	_, err = load(t, &Controller{}, &Controller{}, on, nil)
	assert.NilError(t, err)
}

func TestAdoptSeparatesReloadableFieldsFromRestart(t *testing.T) {
	current, err := load(t, &Controller{}, &Controller{}, validController, nil)
	assert.NilError(t, err)
	loaded, err := load(t, &Controller{}, &Controller{}, validController+"log: {level: debug}\nstop-timeout: 31s\n", nil)
	assert.NilError(t, err)
	changed, needRestart := current.Adopt(loaded)
	assert.DeepEqual(t, changed, []string{"log.level"})
	assert.DeepEqual(t, needRestart, []string{"stop-timeout"})
	changed, needRestart = current.Adopt(loaded)
	assert.Equal(t, len(changed), 0)
	assert.DeepEqual(t, needRestart, []string{"stop-timeout"}) // still reported after the next reload
}

func TestExamplesExplainEveryFieldAndLoad(t *testing.T) {
	roles := map[string][2]Schema{
		"controller": {&Controller{}, &Controller{}},
		"router":     {&Router{}, &Router{}},
		"agent":      {&Agent{}, &Agent{}},
	}
	for role, schemas := range roles {
		t.Run(role, func(t *testing.T) {
			var example bytes.Buffer
			assert.NilError(t, WriteExample(&example, role, schemas[0]))
			path := filepath.Join("..", "..", "examples", role+".yaml")
			if golden.FlagUpdate() {
				assert.NilError(t, os.WriteFile(path, example.Bytes(), 0o644))
			}
			committed, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.Equal(t, string(committed), example.String(), "run: go test ./internal/settings -update")

			set, err := load(t, schemas[1], schemas[0], string(committed), nil)
			assert.NilError(t, err)
			for _, field := range set.Fields() {
				assert.Check(t, field.isSet, "%s is not in the example", field.Name)
				assert.Check(t, field.Required || field.Unit != "" || field.Default == "", "%s has no unit", field.Name)
			}
		})
	}
}
