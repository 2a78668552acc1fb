package routeconfig_test

import (
	"math"
	"strings"
	"testing"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"gotest.tools/v3/assert"
)

const (
	smallKey = "planted-key-of-small"
	largeKey = "planted-key-of-large"
)

func withTenants() *routeconfig.Document {
	document := valid()
	document.Tenants = []routeconfig.Tenant{
		{Name: "small", Keys: []routeconfig.KeyDigest{routeconfig.DigestKey(smallKey)}, Priority: 2},
		{Name: "large", Keys: []routeconfig.KeyDigest{routeconfig.DigestKey(largeKey)}, AllowedRegions: []string{"north"}},
	}
	return document
}

func TestTenantIsFoundByKey(t *testing.T) {
	document := withTenants()
	document.Routes[1].AuthExempt = true
	table := routeconfig.NewTable(document)
	short, exempt := table.Find("h", "/x/z"), table.Find("h", "/x/y/z")
	cases := []struct {
		route  *routeconfig.Route
		key    string
		tenant string
		want   routeconfig.Authentication
	}{
		{short, smallKey, "small", routeconfig.Authenticated},
		{short, largeKey, "large", routeconfig.Authenticated},
		{short, "unknown", "", routeconfig.Rejected},
		{short, "", "", routeconfig.Rejected},
		{exempt, "", "", routeconfig.Anonymous},
		{exempt, "unknown", "", routeconfig.Anonymous},
		{exempt, smallKey, "small", routeconfig.Authenticated},
	}
	for _, test := range cases {
		tenant, got := table.Authenticate(test.route, test.key)
		assert.Equal(t, got, test.want)
		assert.Equal(t, tenant != nil, test.tenant != "")
		assert.Assert(t, tenant == nil || tenant.Name == test.tenant)
	}
	_, got := routeconfig.NewTable(valid()).Authenticate(short, "")
	assert.Equal(t, got, routeconfig.Anonymous, "a document without tenants needs no keys")
}

func TestValidateFindsFaultsOfTenants(t *testing.T) {
	assert.Equal(t, len(withTenants().Validate(1)), 0)
	faults := map[string]func(*routeconfig.Document){
		"tenants[1].name":     func(d *routeconfig.Document) { d.Tenants[1].Name = "small" },
		"tenants[0].name":     func(d *routeconfig.Document) { d.Tenants[0].Name = "" },
		"tenants[0].priority": func(d *routeconfig.Document) { d.Tenants[0].Priority = -1 },
		"tenants[0].rate":     func(d *routeconfig.Document) { d.Tenants[0].Quota.RatePerSecond = math.NaN() },
		"tenants[0].burst":    func(d *routeconfig.Document) { d.Tenants[0].Quota.Burst = -1 },
		"tenants[1].keys[1]": func(d *routeconfig.Document) {
			d.Tenants[1].Keys = append(d.Tenants[1].Keys, routeconfig.DigestKey(smallKey))
		},
	}
	for field, introduceFault := range faults {
		document := withTenants()
		introduceFault(document)
		findings := document.Validate(1)
		assert.Assert(t, len(findings) == 1 && findings[0].Field == field, "%s: %v", field, findings)
		assert.Assert(t, !strings.Contains(findings.Error(), smallKey))
	}
}

func TestPatchChangesTenants(t *testing.T) {
	patch := routeconfig.Patch{Version: 3, UpsertTenants: []routeconfig.Tenant{{Name: "large"}, {Name: "new"}}, RemoveTenants: []string{"small"}}
	table := routeconfig.NewTable(patch.Apply(withTenants()))
	assert.Assert(t, table.Tenant("small") == nil && table.Tenant("new") != nil)
	_, got := table.Authenticate(&table.Document().Routes[0], largeKey)
	assert.Equal(t, got, routeconfig.Rejected, "the tenant has lost its key")
}

func TestRegionsOfRouteAndTenantBothApply(t *testing.T) {
	table := routeconfig.NewTable(withTenants())
	bound := &routeconfig.Route{AllowedRegions: []string{"south", "north"}}
	assert.Assert(t, routeconfig.RegionAllowed(bound, nil, "south"))
	assert.Assert(t, !routeconfig.RegionAllowed(bound, nil, "east"))
	assert.Assert(t, routeconfig.RegionAllowed(bound, table.Tenant("large"), "north"))
	assert.Assert(t, !routeconfig.RegionAllowed(bound, table.Tenant("large"), "south"))
	assert.Assert(t, routeconfig.RegionAllowed(&routeconfig.Route{}, table.Tenant("small"), "east"))
}

// The tenant's priority decides before the route's.
func TestTenantPriorityComesBeforeRoutePriority(t *testing.T) {
	urgent, other := &routeconfig.Route{Priority: 0}, &routeconfig.Route{Priority: 9}
	first, second := &routeconfig.Tenant{Priority: 1}, &routeconfig.Tenant{Priority: 2}
	assert.Assert(t, routeconfig.RequestPriority(other, first) < routeconfig.RequestPriority(urgent, second))
	assert.Assert(t, routeconfig.RequestPriority(urgent, first) < routeconfig.RequestPriority(other, first))
	assert.Equal(t, routeconfig.RequestPriority(other, nil), 9)
}
