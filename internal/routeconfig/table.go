package routeconfig

import (
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	document *Document
	// hosts has the routes of each host, longest prefix first.
	hosts    map[string][]*Route
	services map[string]*Service
}

// NewTable compiles a document, which must not change any more.
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
	return table
}

// Document returns what the table was made from.
func (t *Table) Document() *Document { return t.document }

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Find returns the route of a host and path, or nil. A port in the host is
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

// Pick returns the destination at a point of the route's weights; point is
// evenly drawn from [0, 1).
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
