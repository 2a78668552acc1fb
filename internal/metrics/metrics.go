// Package metrics creates the Prometheus registry of a process. Metric names
// follow the Prometheus conventions: prefix quartzdock_, the unit in the name
// (seconds, bytes), and the suffix _total for counters.
package metrics

import (
	"runtime"
	"runtime/debug"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Namespace is the prefix of every metric name.
const Namespace = "quartzdock"

// unknownVersion is the version of binaries that were built outside of a module
// or a repository.
const unknownVersion = "unknown"

// NewRegistry returns a registry with the metrics of the Go runtime, of the
// process (CPU time, memory, file descriptors) and of the build.
func NewRegistry(role, name string) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	build := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Namespace: Namespace,
		Name:      "build_info",
		Help:      "Always 1; its labels name the process and its build.",
	}, []string{"role", "name", "version", "go_version"})
	build.WithLabelValues(role, name, Version(), runtime.Version()).Set(1)
	registry.MustRegister(build)
	return registry
}

// Version returns the version control revision that the binary was built
// from, with the suffix "-modified" if the tree had uncommitted changes.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unknownVersion
	}
	revision, suffix := unknownVersion, ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			suffix = "-modified"
		}
	}
	return revision + suffix
}
