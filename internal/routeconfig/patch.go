package routeconfig

// Patch changes named items of a document.
type Patch struct {
	Version Version
	// Limits replaces the limits where it is set.
	Limits *Limits
	// UpsertRoutes and UpsertServices are added, or replace those of their name.
	UpsertRoutes   []Route
	UpsertServices []Service
	// RemoveRoutes and RemoveServices are names.
	RemoveRoutes   []string
	RemoveServices []string
}

// Apply returns the document with the changes of the patch. Names to remove that
// are not there are passed over; the result is not validated.
func (p *Patch) Apply(base *Document) *Document {
	next := &Document{Version: p.Version, Limits: base.Limits}
	if p.Limits != nil {
		next.Limits = *p.Limits
	}
	routeName := func(route *Route) string { return route.Name }
	serviceName := func(service *Service) string { return service.Name }
	next.Routes = merge(base.Routes, p.UpsertRoutes, p.RemoveRoutes, routeName)
	next.Services = merge(base.Services, p.UpsertServices, p.RemoveServices, serviceName)
	return next
}

// merge returns the items without the removed, with the changed ones in the
// place of those of their name, and new ones at the end.
func merge[Item any](items, upserted []Item, removed []string, name func(*Item) string) []Item {
	gone := make(map[string]bool, len(removed))
	for _, name := range removed {
		gone[name] = true
	}
	position := make(map[string]int, len(items)+len(upserted))
	result := make([]Item, 0, len(items)+len(upserted))
	for i := range items {
		key := name(&items[i])
		if gone[key] {
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
