package routeconfig

import (
	"crypto/sha256"
	"slices"
)

// KeyDigest identifies an API key by its SHA-256, so that the key itself is not kept in memory
// next to requests, logs and metrics.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Quota limits the requests of a tenant at all gateways together.
type Quota struct {
	// RatePerSecond is the number of requests a second; zero means no limit.
	RatePerSecond float64
	// Burst is the number of requests allowed in addition.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.RatePerSecond > 0 }

// Tenant is a group of callers that share API keys and a quota.
type Tenant struct {
	// Name is unique in a document.
	Name string
	// Keys are the digests of the tenant's API keys. No two tenants share a key.
	Keys []KeyDigest
	// Priority of the tenant's requests, before that of their routes; 0 is the highest.
	Priority int
	Quota    Quota
	// AllowedRegions are the regions whose back ends may run the tenant's requests; empty
	// means all.
	AllowedRegions []string
	// Source is the operator's original text of the tenant, kept so that it can be read back.
	Source []byte
}

// Authentication is the result of Table.Authenticate.
type Authentication uint8

// Values of Authentication.
const (
	// Anonymous requests need no tenant and have none.
	Anonymous Authentication = iota
	// Authenticated requests belong to a tenant.
	Authenticated
	// Rejected requests need a tenant, and their key is missing or unknown.
	Rejected
)

// Authenticate returns the tenant of a request on a route by the API key that the request
// carries. If the document has no tenants, all requests are Anonymous. Routes that are exempt
// accept requests without a tenant; the calls that back ends make while they run a request use
// such routes, since nothing but the operator's configuration tells them from other callers.
func (t *Table) Authenticate(route *Route, key string) (*Tenant, Authentication) {
	if len(t.document.Tenants) == 0 {
		return nil, Anonymous
	}
	if tenant := t.TenantOf(key); tenant != nil {
		return tenant, Authenticated
	}
	if route.AuthExempt {
		return nil, Anonymous
	}
	return nil, Rejected
}

// TenantOf returns the tenant with an API key, or nil.
func (t *Table) TenantOf(key string) *Tenant {
	if key == "" {
		return nil
	}
	return t.tenants[DigestKey(key)]
}

// Tenant returns the tenant with a name, or nil.
func (t *Table) Tenant(name string) *Tenant { return t.tenantsByName[name] }

// indexTenants fills the indexes of the document's tenants.
func (t *Table) indexTenants() {
	t.tenants = map[KeyDigest]*Tenant{}
	t.tenantsByName = make(map[string]*Tenant, len(t.document.Tenants))
	for i := range t.document.Tenants {
		tenant := &t.document.Tenants[i]
		t.tenantsByName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			t.tenants[key] = tenant
		}
	}
}

// RegionAllowed reports whether back ends of a region may run a tenant's requests on a route.
// The tenant is nil for anonymous requests.
func RegionAllowed(route *Route, tenant *Tenant, region string) bool {
	if len(route.AllowedRegions) > 0 && !slices.Contains(route.AllowedRegions, region) {
		return false
	}
	return tenant == nil || len(tenant.AllowedRegions) == 0 || slices.Contains(tenant.AllowedRegions, region)
}

// maxRoutePriority bounds the priorities of routes that RequestPriority tells apart.
const maxRoutePriority = 1<<16 - 1

// RequestPriority is the priority of a tenant's requests on a route: the tenant's first, then
// the route's; 0 is the highest. The tenant is nil for anonymous requests.
func RequestPriority(route *Route, tenant *Tenant) int {
	if tenant == nil {
		return route.Priority
	}
	return tenant.Priority*(maxRoutePriority+1) + min(max(route.Priority, 0), maxRoutePriority)
}
