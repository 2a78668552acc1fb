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

// view is what requests are routed by. It is immutable.
type view struct {
	// table is nil before the first configuration.
	table *routeconfig.Table
	// tableAt is when table was taken.
	tableAt     time.Time
	ownersIndex uint64
	owners      fleetview.Owners
	// told are the instances as the leader has them.
	told fleetview.Instances
	// instances of the fleet by service, and by ID. By ID there are also owners of
	// keys that the leader does not know.
	instances map[string][]fleetwire.Instance
	byID      map[string]fleetwire.Instance
	// evacuatedAt has since when a zone may have been evacuated, by zone, and
	// evacuationsIndex orders the sets.
	evacuatedAt      map[string]time.Time
	evacuationsIndex uint64
	// suspects are requests under which back ends have ended, and quarantineIndex orders
	// their sets.
	suspects        map[quarantine.Digest]quarantine.Suspect
	quarantineIndex uint64
	// next is closed when there is a newer view.
	next chan struct{}
}

// views holds the present view. What the leader's session and other gateways bring is
// taken one after the other.
type views struct {
	advancing sync.Mutex
	present   atomic.Pointer[view]
	// prepare is called before a view comes into force.
	prepare func(before, after *view)
}

func newViews() *views {
	v := &views{prepare: func(_, _ *view) {}}
	v.present.Store(&view{next: make(chan struct{})})
	return v
}

func (v *views) load() *view { return v.present.Load() }

// errOtherView: the changes of a session don't make what the leader has.
var errOtherView = errors.New("view differs from the leader's")

// advance takes what a controller sent, which had told everything until vouchedAt before;
// zero where it had not told anything. Configurations and owners never go back; instances of an incomplete view are added to the known ones. After an
// error nothing has changed, and the session must begin anew.
func (v *views) advance(news *fleetwire.View, vouchedAt time.Time) error {
	v.advancing.Lock()
	defer v.advancing.Unlock()
	before := v.load()
	after := *before
	after.next = make(chan struct{})
	if news.Document != nil && news.Document.Version > before.version() {
		after.table = routeconfig.NewTable(news.Document)
		after.tableAt = steady.Reading()
	}
	if len(news.Owners) > 0 {
		if err := after.setOwners(news); err != nil {
			return err
		}
	}
	if news.HasInstances {
		if err := after.setInstances(news); err != nil {
			return err
		}
	}
	after.setEvacuated(news, vouchedAt)
	after.setSuspects(news)
	v.prepare(before, &after)
	v.present.Store(&after)
	close(before.next)
	return nil
}

// setOwners applies a view's changes of owners.
func (v *view) setOwners(news *fleetwire.View) error {
	if news.OwnersIndex < v.ownersIndex {
		return fmt.Errorf("owners of index %d after %d: %w", news.OwnersIndex, v.ownersIndex, errOtherView)
	}
	v.ownersIndex = news.OwnersIndex
	for _, changes := range news.Owners {
		v.owners = v.owners.Apply(changes)
	}
	if digest := v.owners.Digest(); digest != news.OwnersDigest {
		return fmt.Errorf("owners of index %d: %w", news.OwnersIndex, errOtherView)
	}
	return nil
}

// setEvacuated takes a view's evacuated zones. Orders of new ones were acknowledged after
// the moment until which all had been told.
func (v *view) setEvacuated(news *fleetwire.View, vouchedAt time.Time) {
	if news.EvacuationsIndex <= v.evacuationsIndex {
		return
	}
	evacuated := make(map[string]time.Time, len(news.Evacuated))
	for _, zone := range news.Evacuated {
		evacuated[zone] = vouchedAt
		if known, ok := v.evacuatedAt[zone]; ok {
			evacuated[zone] = known
		}
	}
	v.evacuatedAt, v.evacuationsIndex = evacuated, news.EvacuationsIndex
}

// setSuspects takes a view's requests under which back ends have ended.
func (v *view) setSuspects(news *fleetwire.View) {
	if news.QuarantineIndex <= v.quarantineIndex {
		return
	}
	v.suspects = make(map[quarantine.Digest]quarantine.Suspect, len(news.Suspects))
	for _, suspect := range news.Suspects {
		v.suspects[suspect.Request] = suspect
	}
	v.quarantineIndex = news.QuarantineIndex
}

// evacuated reports whether the back ends of a zone are to get nothing new.
func (v *view) evacuated(zone string) bool {
	_, ok := v.evacuatedAt[zone]
	return ok
}

// evacuatedZones are the zones whose back ends are to get nothing new.
func (v *view) evacuatedZones() []string { return slices.Sorted(maps.Keys(v.evacuatedAt)) }

// evacuatedWholly reports whether all instances of a service are in evacuated zones.
// Nobody can serve its requests until an evacuation ends, so that none is held.
func (v *view) evacuatedWholly(service string) bool {
	instances := v.instances[service]
	outside := func(instance fleetwire.Instance) bool { return !v.evacuated(instance.Zone) }
	return len(instances) > 0 && !slices.ContainsFunc(instances, outside)
}

// find returns the route of a request, nil where there is none.
func (v *view) find(r *http.Request) *routeconfig.Route {
	if v.table == nil {
		return nil
	}
	return v.table.Find(r.Host, r.URL.Path)
}

// service returns the service of a name, nil where the configuration has none.
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

// age is how long the configuration has been in force, zero before the first.
func (v *view) age(now time.Time) time.Duration {
	if v.table == nil {
		return 0
	}
	return now.Sub(v.tableAt)
}

// count returns how many instances are in a state.
func (v *view) count(state fleetwire.InstanceState) int {
	count := 0
	for _, instance := range v.byID {
		if instance.State == state {
			count++
		}
	}
	return count
}

// setInstances applies a view's changes of instances.
func (v *view) setInstances(news *fleetwire.View) error {
	for _, changes := range news.Instances {
		v.told = v.told.Apply(changes)
	}
	if digest := v.told.Digest(); digest != news.InstancesDigest {
		return fmt.Errorf("instances: %w", errOtherView)
	}
	others := v.others(v.told)
	v.byID = make(map[string]fleetwire.Instance, len(v.told))
	maps.Copy(v.byID, v.told)
	if !news.Complete {
		addInstances(v.byID, others)
	}
	v.instances = map[string][]fleetwire.Instance{}
	for _, instance := range v.byID {
		v.instances[instance.Service] = append(v.instances[instance.Service], instance)
	}
	if news.Complete {
		addInstances(v.byID, v.owning(others))
	}
	return nil
}

func addInstances(byID map[string]fleetwire.Instance, added []fleetwire.Instance) {
	for _, instance := range added {
		byID[instance.ID] = instance
	}
}

// owning returns those of some instances that still own keys. A gateway that can't
// reach a new leader serves on under its last lease; until the leader gives its
// keys to others, it alone can.
func (v *view) owning(instances []fleetwire.Instance) []fleetwire.Instance {
	if len(instances) == 0 {
		return nil
	}
	owners := map[string]bool{}
	for _, keys := range v.owners {
		for _, assignment := range keys.Assignments {
			owners[assignment.Owner] = true
		}
	}
	return slices.DeleteFunc(instances, func(instance fleetwire.Instance) bool { return !owners[instance.ID] })
}

// others returns the known instances beside gateways that are not named.
func (v *view) others(told fleetview.Instances) []fleetwire.Instance {
	named := make(map[string]bool, len(told))
	for _, instance := range told {
		named[instance.Node] = true
	}
	var rest []fleetwire.Instance
	for _, instance := range v.byID {
		if !named[instance.Node] {
			rest = append(rest, instance)
		}
	}
	return rest
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

// await returns when there is a newer view, or after a time.
func (v *view) await(done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-v.next:
	case <-timer.C:
	case <-done:
	}
}
