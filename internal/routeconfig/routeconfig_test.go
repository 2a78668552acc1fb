package routeconfig_test

import (
	"strings"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"gotest.tools/v3/assert"
)

func route(name, prefix string) routeconfig.Route {
	return routeconfig.Route{
		Name: name, Host: "h", PathPrefix: prefix, Timeout: time.Second, Attempts: 1,
		Destinations: []routeconfig.Destination{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}},
	}
}

func valid() *routeconfig.Document {
	return &routeconfig.Document{
		Version:  2,
		Services: []routeconfig.Service{{Name: "a"}, {Name: "b"}},
		Routes:   []routeconfig.Route{route("short", "/x/"), route("long", "/x/y/")},
	}
}

func TestValidateFindsEachFault(t *testing.T) {
	assert.Equal(t, len(valid().Validate(1)), 0)
	faults := map[string]func(*routeconfig.Document){
		"version":       func(d *routeconfig.Document) { d.Version = 1 },
		"unknown":       func(d *routeconfig.Document) { d.Routes[0].Destinations[0].Service = "c" },
		"weights":       func(d *routeconfig.Document) { d.Routes[0].Destinations = nil },
		"timeout":       func(d *routeconfig.Document) { d.Routes[0].Timeout = 0 },
		"targetLatency": func(d *routeconfig.Document) { d.Routes[0].TargetLatency = 61 * time.Second },
		"attempts":      func(d *routeconfig.Document) { d.Routes[0].Attempts = 0 },
		"slash":         func(d *routeconfig.Document) { d.Routes[0].PathPrefix = "x/" },
		"twice":         func(d *routeconfig.Document) { d.Routes[1].Name = "short" },
		"another route": func(d *routeconfig.Document) { d.Routes[1].PathPrefix = "/x/" },
	}
	for word, introduceFault := range faults {
		document := valid()
		introduceFault(document)
		findings := document.Validate(1)
		assert.Assert(t, len(findings) > 0 && strings.Contains(findings.Error(), word), "%s: %v", word, findings)
	}
}

func TestLongestPrefixWins(t *testing.T) {
	table := routeconfig.NewTable(valid())
	assert.Equal(t, table.Find("h", "/x/y/z").Name, "long")
	assert.Equal(t, table.Find("h:80", "/x/z").Name, "short")
	assert.Assert(t, table.Find("h", "/") == nil)
	assert.Assert(t, table.Find("other", "/x/") == nil)
}

func TestWeightsDivideRequests(t *testing.T) {
	picked := route("r", "/")
	assert.Equal(t, picked.Pick(0), "a")
	assert.Equal(t, picked.Pick(0.89), "a")
	assert.Equal(t, picked.Pick(0.91), "b")
	picked.Destinations[1].Weight = 0
	assert.Equal(t, picked.Pick(0.999), "a")
}

func TestPatchReplacesByNameAndKeepsOtherItems(t *testing.T) {
	base := valid()
	changed := route("short", "/new/")
	patch := routeconfig.Patch{Version: 3, UpsertRoutes: []routeconfig.Route{changed, route("added", "/added/")}, RemoveRoutes: []string{"long"}}
	next := patch.Apply(base)
	assert.Equal(t, len(next.Routes), 2)
	assert.Equal(t, next.Routes[0].PathPrefix, "/new/")
	assert.Equal(t, next.Routes[1].Name, "added")
	assert.Equal(t, base.Routes[0].PathPrefix, "/x/", "the base document is unchanged")
}
