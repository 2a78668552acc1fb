package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
)

// firstAttempts estimates, for each route, how long ago callers made the first attempt of a
// request. The zero value is ready for use.
type firstAttempts struct {
	mutex  sync.Mutex
	routes map[string]*overload.RetryDetector
}

// age returns how long ago the caller of a request made its first attempt, given the waiting
// time that the caller states.
func (f *firstAttempts) age(route string, stated time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known, ok := f.routes[route]
	if !ok {
		if f.routes == nil {
			f.routes = map[string]*overload.RetryDetector{}
		}
		known = &overload.RetryDetector{}
		f.routes[route] = known
	}
	return known.Age(stated)
}

// follow drops the routes that the view's configuration does not have.
func (f *firstAttempts) follow(v *view) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.routes) == 0 || v.table == nil {
		return
	}
	kept := make(map[string]*overload.RetryDetector, len(f.routes))
	for _, route := range v.table.Document().Routes {
		if known, ok := f.routes[route.Name]; ok {
			kept[route.Name] = known
		}
	}
	f.routes = kept
}
