package routeconfig

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// targetLatencyExcessLimit: a target latency must exceed its route's timeout by
// less than this.
const targetLatencyExcessLimit = time.Minute

// Finding is an error in a document, with the field that has it.
type Finding struct {
	// Field is a path in the document, for example "routes[2].timeout".
	Field  string
	Reason string
}

// Findings lists all errors in a document.
type Findings []Finding

// Error returns all findings on one line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.Field+": "+finding.Reason)
	}
	return strings.Join(lines, "; ")
}

func (f *Findings) add(field, format string, arguments ...any) {
	*f = append(*f, Finding{Field: field, Reason: fmt.Sprintf(format, arguments...)})
}

// Validate returns all errors in a document that is to replace the one of version
// current.
func (d *Document) Validate(current Version) Findings {
	var findings Findings
	if d.Version <= current {
		findings.add("version", "%d does not exceed the current %d", d.Version, current)
	}
	services := make(map[string]bool, len(d.Services))
	for i, service := range d.Services {
		field := fmt.Sprintf("services[%d].name", i)
		if service.Name == "" {
			findings.add(field, "not given")
		}
		if services[service.Name] {
			findings.add(field, "%q stands twice", service.Name)
		}
		services[service.Name] = true
		if !isRate(service.WarmupRate) {
			findings.add(fmt.Sprintf("services[%d].warmupRate", i), "%v requests a second is no rate", service.WarmupRate)
		}
		if service.Warmup < 0 {
			findings.add(fmt.Sprintf("services[%d].warmup", i), "%v is below zero", service.Warmup)
		}
	}
	names := make(map[string]bool, len(d.Routes))
	matches := make(map[string]bool, len(d.Routes))
	for i := range d.Routes {
		d.Routes[i].validate(fmt.Sprintf("routes[%d]", i), services, &findings)
		route := &d.Routes[i]
		if names[route.Name] {
			findings.add(fmt.Sprintf("routes[%d].name", i), "%q stands twice", route.Name)
		}
		names[route.Name] = true
		match := route.Host + route.PathPrefix
		if matches[match] {
			findings.add(fmt.Sprintf("routes[%d]", i), "another route has %s", match)
		}
		matches[match] = true
	}
	d.validateTenants(&findings)
	return findings
}

// validateTenants adds the errors of the tenants. Findings name keys by their position, never
// by their text.
func (d *Document) validateTenants(findings *Findings) {
	names := make(map[string]bool, len(d.Tenants))
	owners := map[KeyDigest]int{}
	for i := range d.Tenants {
		tenant := &d.Tenants[i]
		field := fmt.Sprintf("tenants[%d]", i)
		if tenant.Name == "" {
			findings.add(field+".name", "not given")
		}
		if names[tenant.Name] {
			findings.add(field+".name", "%q stands twice", tenant.Name)
		}
		names[tenant.Name] = true
		if tenant.Priority < 0 {
			findings.add(field+".priority", "%d is below zero", tenant.Priority)
		}
		if !isRate(tenant.Quota.RatePerSecond) {
			findings.add(field+".rate", "%v requests a second is no rate", tenant.Quota.RatePerSecond)
		}
		if !isRate(tenant.Quota.Burst) {
			findings.add(field+".burst", "%v requests is no burst", tenant.Quota.Burst)
		}
		for at, key := range tenant.Keys {
			if owner, ok := owners[key]; ok && owner != i {
				findings.add(fmt.Sprintf("%s.keys[%d]", field, at), "tenant %q has the same key", d.Tenants[owner].Name)
			}
			owners[key] = i
		}
	}
}

// isRate reports whether a number is finite and not below zero.
func isRate(value float64) bool { return value >= 0 && !math.IsInf(value, 1) }

func (r *Route) validate(field string, services map[string]bool, findings *Findings) {
	if r.Name == "" {
		findings.add(field+".name", "not given")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		findings.add(field+".pathPrefix", "%q does not begin with a slash", r.PathPrefix)
	}
	if r.Timeout <= 0 {
		findings.add(field+".timeout", "must be above zero")
	}
	if r.TargetLatency >= r.Timeout+targetLatencyExcessLimit {
		findings.add(field+".targetLatency", "exceeds the timeout by a minute or more")
	}
	if r.Attempts <= 0 {
		findings.add(field+".attempts", "must be above zero")
	}
	var sum uint64
	for i, destination := range r.Destinations {
		if !services[destination.Service] {
			findings.add(fmt.Sprintf("%s.destinations[%d]", field, i), "unknown service %q", destination.Service)
		}
		sum += uint64(destination.Weight)
	}
	if sum == 0 {
		findings.add(field+".destinations", "the weights sum to 0")
	}
}
