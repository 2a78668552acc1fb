package routeconfig

// Patch adds, replaces and removes named items of a document.
type Patch struct {
	Version Version
	// Limits replaces the limits of the document, unless it is nil.
	Limits *Limits
	// UpsertRoutes, UpsertServices and UpsertTenants are added, or replace items with
	// the same name.
	UpsertRoutes   []Route
	UpsertServices []Service
	UpsertTenants  []Tenant
	// RemoveRoutes, RemoveServices and RemoveTenants are the names of items to remove.
	RemoveRoutes   []string
	RemoveServices []string
	RemoveTenants  []string
}

// Apply returns a copy of the document with the changes of the patch. Names to
// remove that do not exist are ignored. The result is not validated.
func (p *Patch) Apply(base *Document) *Document {
	next := &Document{Version: p.Version, Limits: base.Limits}
	if p.Limits != nil {
		next.Limits = *p.Limits
	}
	routeName := func(route *Route) string { return route.Name }
	serviceName := func(service *Service) string { return service.Name }
	tenantName := func(tenant *Tenant) string { return tenant.Name }
	next.Routes = merge(base.Routes, p.UpsertRoutes, p.RemoveRoutes, routeName)
	next.Services = merge(base.Services, p.UpsertServices, p.RemoveServices, serviceName)
	next.Tenants = merge(base.Tenants, p.UpsertTenants, p.RemoveTenants, tenantName)
	return next
}

// merge returns the items without the removed ones. Upserted items replace those
// with the same name in place, or are appended.
func merge[Item any](items, upserted []Item, removed []string, name func(*Item) string) []Item {
	toRemove := make(map[string]bool, len(removed))
	for _, name := range removed {
		toRemove[name] = true
	}
	position := make(map[string]int, len(items)+len(upserted))
	result := make([]Item, 0, len(items)+len(upserted))
	for i := range items {
		key := name(&items[i])
		if toRemove[key] {
			continue
		}
		position[key] = len(result)
		result = append(result, items[i])
	}
	for i := range upserted {
		key := name(&upserted[i])
		if at, ok := position[key]; ok {
			result[at] = upserted[i]
			continue
		}
		position[key] = len(result)
		result = append(result, upserted[i])
	}
	return result
}
