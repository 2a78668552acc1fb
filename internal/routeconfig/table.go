package routeconfig

import (
	"slices"
	"strings"
)

// Table is an immutable index of a document, to find the route of a request.
type Table struct {
	document *Document
	// hosts holds the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
	// tenants holds the tenants by the digests of their keys.
	tenants       map[KeyDigest]*Tenant
	tenantsByName map[string]*Tenant
}

// NewTable returns the table of a document, which must not be modified afterwards.
func NewTable(document *Document) *Table {
	table := &Table{
		document: document,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(document.Services)),
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		table.hosts[route.Host] = append(table.hosts[route.Host], route)
	}
	for _, routes := range table.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	for i := range document.Services {
		table.services[document.Services[i].Name] = &document.Services[i]
	}
	table.indexTenants()
	return table
}

// Document returns the document that the table was made from.
func (t *Table) Document() *Document { return t.document }

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Find returns the route for a host and path, or nil. A port in the host is
// ignored.
func (t *Table) Find(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, route := range t.hosts[host] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Pick returns the service of a destination chosen by weight. point must be
// uniformly distributed in [0, 1).
func (r *Route) Pick(point float64) string {
	var sum float64
	for _, destination := range r.Destinations {
		sum += float64(destination.Weight)
	}
	at := point * sum
	for _, destination := range r.Destinations {
		at -= float64(destination.Weight)
		if at < 0 {
			return destination.Service
		}
	}
	return r.Destinations[len(r.Destinations)-1].Service
}
