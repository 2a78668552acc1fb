package gateway

import (
	"fmt"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/fleetview"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// setInstances applies an update's changes of instances. Every gateway applies each change, so
// what grows with the fleet is only the copy of one map and of the lists of the services that
// have changed, unless instances were removed.
func (v *view) setInstances(update *fleetwire.View) error {
	before := v.leaderInstances
	after, digest := before.Advance(v.instancesDigest, update.Instances)
	if digest != update.InstancesDigest {
		return fmt.Errorf("instances: %w", errViewMismatch)
	}
	v.leaderInstances, v.instancesDigest = after, digest
	v.instancesRevision++
	if v.onlyListed && keepsAll(before, update.Instances) {
		v.byID = after
		v.instances = replaceInLists(v.instances, before, update.Instances)
		return nil
	}
	v.indexInstances(update.Complete)
	return nil
}

// indexInstances builds byID and instances anew. Unless the leader's list is complete, the known
// instances that it lacks are kept.
func (v *view) indexInstances(complete bool) {
	unlisted := v.unlistedInstances(v.leaderInstances)
	if complete {
		unlisted = v.keyOwners(unlisted)
	}
	listed := v.leaderInstances
	v.onlyListed = len(unlisted) == 0
	v.byID = listed
	if !v.onlyListed {
		v.byID = maps.Clone(listed)
		addInstances(v.byID, unlisted)
	}
	if !complete {
		listed = v.byID
	}
	v.instances = map[string][]fleetwire.Instance{}
	for _, instance := range listed {
		v.instances[instance.Service] = append(v.instances[instance.Service], instance)
	}
}

// keepsAll reports whether changes remove no instance and move none to another service.
func keepsAll(before fleetview.Instances, all []*fleetwire.InstanceChanges) bool {
	return !slices.ContainsFunc(all, func(changes *fleetwire.InstanceChanges) bool {
		return changes.Snapshot || len(changes.Gone) > 0 || slices.ContainsFunc(changes.Changed, func(instance fleetwire.Instance) bool {
			earlier, ok := before[instance.ID]
			return ok && earlier.Service != instance.Service
		})
	})
}

// replaceInLists returns the lists of instances by service after changes that keep all instances.
// The lists of other services are shared with the earlier ones.
func replaceInLists(lists map[string][]fleetwire.Instance, before fleetview.Instances, all []*fleetwire.InstanceChanges) map[string][]fleetwire.Instance {
	changed := map[string]map[string]fleetwire.Instance{}
	for _, changes := range all {
		for _, instance := range changes.Changed {
			if changed[instance.Service] == nil {
				changed[instance.Service] = map[string]fleetwire.Instance{}
			}
			changed[instance.Service][instance.ID] = instance
		}
	}
	lists = maps.Clone(lists)
	for service, instances := range changed {
		list := slices.Clone(lists[service])
		for i := range list {
			if instance, ok := instances[list[i].ID]; ok {
				list[i] = instance
			}
		}
		for id, instance := range instances {
			if _, ok := before[id]; !ok {
				list = append(list, instance)
			}
		}
		lists[service] = list
	}
	return lists
}

func addInstances(byID map[string]fleetwire.Instance, added []fleetwire.Instance) {
	for _, instance := range added {
		byID[instance.ID] = instance
	}
}

// keyOwners returns the given instances that still own keys. A gateway that cannot reach a new
// leader keeps serving under its last lease. Until the leader assigns its keys to other back
// ends, only its own back end can serve them.
func (v *view) keyOwners(instances []fleetwire.Instance) []fleetwire.Instance {
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

// unlistedInstances returns the known instances on nodes that are not listed.
func (v *view) unlistedInstances(listed fleetview.Instances) []fleetwire.Instance {
	listedNodes := make(map[string]bool, len(listed))
	for _, instance := range listed {
		listedNodes[instance.Node] = true
	}
	var unlisted []fleetwire.Instance
	for _, instance := range v.byID {
		if !listedNodes[instance.Node] {
			unlisted = append(unlisted, instance)
		}
	}
	return unlisted
}
