package gateway

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetview"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// view is the immutable state that requests are routed by.
type view struct {
	// table is nil until the first configuration arrives.
	table *routeconfig.Table
	// tableSince is when table came into force.
	tableSince  time.Time
	ownersIndex uint64
	owners      fleetview.Owners
	// leaderInstances are the instances that the leader lists, and instancesDigest is their
	// digest.
	leaderInstances fleetview.Instances
	instancesDigest uint64
	// onlyListed is set if byID has no other instances.
	onlyListed bool
	// instances and byID index the instances of the fleet by service and by ID. byID also
	// contains owners of keys that the leader does not list.
	instances map[string][]fleetwire.Instance
	byID      map[string]fleetwire.Instance
	// instancesRevision counts the changes of instances.
	instancesRevision uint64
	// evacuatedAt maps each evacuated zone to the earliest time at which its evacuation may
	// have been ordered. evacuationsIndex orders the versions of this set.
	evacuatedAt      map[string]time.Time
	evacuationsIndex uint64
	// suspects are the requests that were in progress when back ends crashed. quarantineIndex
	// orders the versions of this set.
	suspects        map[quarantine.Digest]quarantine.Suspect
	quarantineIndex uint64
	// superseded is closed when a newer view replaces this one.
	superseded chan struct{}
}

// viewStore holds the current view. It applies updates from the leader's session and from
// other gateways one at a time.
type viewStore struct {
	updating sync.Mutex
	current  atomic.Pointer[view]
	// beforeSwap is called before a new view replaces the current one.
	beforeSwap func(before, after *view)
}

func newViewStore() *viewStore {
	v := &viewStore{beforeSwap: func(_, _ *view) {}}
	v.current.Store(&view{superseded: make(chan struct{})})
	return v
}

func (v *viewStore) load() *view { return v.current.Load() }

// errViewMismatch is returned when applying the changes received in a session does not yield
// the leader's state.
var errViewMismatch = errors.New("view differs from the leader's")

// apply applies an update from a controller. The gateway had received everything sent before
// currentAsOf; zero if it had received nothing. Configurations and owners never go back to an
// older version, and the instances of an incomplete view are added to the known ones. On an
// error the view is unchanged, and the session must be reopened.
func (v *viewStore) apply(update *fleetwire.View, currentAsOf time.Time) error {
	v.updating.Lock()
	defer v.updating.Unlock()
	old := v.load()
	next := *old
	next.superseded = make(chan struct{})
	if update.Document != nil && update.Document.Version > old.version() {
		next.table = routeconfig.NewTable(update.Document)
		next.tableSince = steady.Reading()
	}
	if len(update.Owners) > 0 {
		if err := next.setOwners(update); err != nil {
			return err
		}
	}
	if update.HasInstances {
		if err := next.setInstances(update); err != nil {
			return err
		}
	}
	next.setEvacuated(update, currentAsOf)
	next.setSuspects(update)
	v.beforeSwap(old, &next)
	v.current.Store(&next)
	close(old.superseded)
	return nil
}

// setOwners applies an update's changes of owners.
func (v *view) setOwners(update *fleetwire.View) error {
	if update.OwnersIndex < v.ownersIndex {
		return fmt.Errorf("owners at index %d after index %d: %w", update.OwnersIndex, v.ownersIndex, errViewMismatch)
	}
	v.ownersIndex = update.OwnersIndex
	for _, changes := range update.Owners {
		v.owners = v.owners.Apply(changes)
	}
	if digest := v.owners.Digest(); digest != update.OwnersDigest {
		return fmt.Errorf("owners at index %d: %w", update.OwnersIndex, errViewMismatch)
	}
	return nil
}

// setEvacuated applies an update's evacuated zones. A zone that is new in it was ordered
// evacuated at currentAsOf or later.
func (v *view) setEvacuated(update *fleetwire.View, currentAsOf time.Time) {
	if update.EvacuationsIndex <= v.evacuationsIndex {
		return
	}
	evacuated := make(map[string]time.Time, len(update.Evacuated))
	for _, zone := range update.Evacuated {
		evacuated[zone] = currentAsOf
		if earlier, ok := v.evacuatedAt[zone]; ok {
			evacuated[zone] = earlier
		}
	}
	v.evacuatedAt, v.evacuationsIndex = evacuated, update.EvacuationsIndex
}

// setSuspects applies an update's requests that were in progress when back ends crashed.
func (v *view) setSuspects(update *fleetwire.View) {
	if update.QuarantineIndex <= v.quarantineIndex {
		return
	}
	v.suspects = make(map[quarantine.Digest]quarantine.Suspect, len(update.Suspects))
	for _, suspect := range update.Suspects {
		v.suspects[suspect.Request] = suspect
	}
	v.quarantineIndex = update.QuarantineIndex
}

// evacuated reports whether the back ends of a zone must not get new requests.
func (v *view) evacuated(zone string) bool {
	_, ok := v.evacuatedAt[zone]
	return ok
}

// evacuatedZones returns the zones whose back ends must not get new requests.
func (v *view) evacuatedZones() []string { return slices.Sorted(maps.Keys(v.evacuatedAt)) }

// fullyEvacuated reports whether all instances of a service are in evacuated zones. Nothing
// can serve its requests until an evacuation ends, so they are refused instead of queued.
func (v *view) fullyEvacuated(service string) bool {
	instances := v.instances[service]
	outside := func(instance fleetwire.Instance) bool { return !v.evacuated(instance.Zone) }
	return len(instances) > 0 && !slices.ContainsFunc(instances, outside)
}

// findRoute returns the route that matches a request, or nil.
func (v *view) findRoute(r *http.Request) *routeconfig.Route {
	if v.table == nil {
		return nil
	}
	return v.table.Find(r.Host, r.URL.Path)
}

// tenantName returns the name of the tenant with an API key; empty if there is none.
func (v *view) tenantName(key string) string {
	if v.table == nil {
		return ""
	}
	tenant := v.table.TenantOf(key)
	if tenant == nil {
		return ""
	}
	return tenant.Name
}

// service looks up a service by name; nil if the configuration does not have it.
func (v *view) service(name string) *routeconfig.Service {
	if v.table == nil {
		return nil
	}
	return v.table.Service(name)
}

func (v *view) version() routeconfig.Version {
	if v.table == nil {
		return 0
	}
	return v.table.Document().Version
}

// age returns how long the configuration has been in force; zero before the first one.
func (v *view) age(now time.Time) time.Duration {
	if v.table == nil {
		return 0
	}
	return now.Sub(v.tableSince)
}

// countInState returns the number of instances in a state.
func (v *view) countInState(state fleetwire.InstanceState) int {
	count := 0
	for _, instance := range v.byID {
		if instance.State == state {
			count++
		}
	}
	return count
}

// owner returns the instance that owns a key of a service.
func (v *view) owner(service string, key keyspace.Key) (fleetwire.Instance, bool) {
	owners, ok := v.owners[service]
	if !ok {
		return fleetwire.Instance{}, false
	}
	instance, ok := v.byID[owners.Find(key).Owner]
	return instance, ok
}

// awaitNewer blocks until a newer view replaces this one, the limit has passed, or done is closed.
func (v *view) awaitNewer(done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-v.superseded:
	case <-timer.C:
	case <-done:
	}
}
