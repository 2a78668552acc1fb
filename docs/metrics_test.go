package docs_test

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetcontroller"
	"github.com/quartzdock/quartzdock/internal/gateway"
	"github.com/quartzdock/quartzdock/internal/logbuffer"
	"github.com/quartzdock/quartzdock/internal/metrics"
)

var (
	// described is the name in a metric's description.
	described = regexp.MustCompile(`fqName: "(quartzdock_[a-z0-9_]+)"`)
	// namedMetric is a metric's name on a page.
	namedMetric = regexp.MustCompile("`(quartzdock_[a-z0-9_]+)`")
)

// describedBy returns the product's metrics in a registry.
func describedBy(registry *prometheus.Registry) map[string]bool {
	descriptions := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descriptions)
		close(descriptions)
	}()
	names := map[string]bool{}
	for description := range descriptions {
		if found := described.FindStringSubmatch(description.String()); found != nil {
			names[found[1]] = true
		}
	}
	return names
}

// fleetRegistry has the metrics of a gateway and a controller.
func fleetRegistry(t *testing.T) *prometheus.Registry {
	t.Helper()
	registry := metrics.NewRegistry("test", "test")
	buffer := logbuffer.New(nil, 1)
	t.Cleanup(func() { buffer.Close(time.Second) })
	registry.MustRegister(logbuffer.Collectors(buffer, logbuffer.NewRateLimitHandler(nil, 1))...)
	g, err := gateway.Start(gateway.Config{CallerListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", BackendAddress: "127.0.0.1:1", Registry: registry})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, g.Stop()) })
	controller, err := fleetcontroller.Start(fleetcontroller.Config{
		Group: 1, DataDir: t.TempDir() + "/data", PeerListen: "127.0.0.1:0", SessionListen: "127.0.0.1:0", Registry: registry,
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, controller.Stop()) })
	return registry
}

// Each metric of a fleet is on the page, and the page names no other.
func TestTheOperationsPageNamesEachMetricOfAFleet(t *testing.T) {
	page, err := os.ReadFile("OPERATIONS.md")
	assert.NilError(t, err)
	exists := describedBy(fleetRegistry(t))
	assert.Assert(t, len(exists) > 25, "%v", exists)
	named := map[string]bool{}
	for _, found := range namedMetric.FindAllStringSubmatch(string(page), -1) {
		named[found[1]] = true
		assert.Check(t, exists[found[1]], "%s is on the page alone", found[1])
	}
	for name := range exists {
		assert.Check(t, named[name], "%s is not on the page", name)
	}
}

// registered is a metric's name, or the end of it after the subsystem, in the
// code that registers it.
var registered = regexp.MustCompile(`"([a-z0-9_]+)"`)

// Each metric that the alarms page names is registered by some role.
func TestEachMetricOfTheAlarmsPageExists(t *testing.T) {
	page, err := os.ReadFile("operators/alarms.md")
	assert.NilError(t, err)
	literals := map[string]bool{}
	walk(t, "internal", ".go", func(path string) {
		if strings.HasSuffix(path, "_test.go") {
			return
		}
		source, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, found := range registered.FindAllStringSubmatch(string(source), -1) {
			literals[found[1]] = true
		}
	})
	for _, found := range namedMetric.FindAllStringSubmatch(string(page), -1) {
		parts := strings.SplitN(found[1], "_", 3)
		assert.Check(t, literals[found[1]] || literals[parts[2]], "%s is registered nowhere", found[1])
	}
}
