package admin

import (
	"fmt"
	"strconv"
	"time"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
)

// serviceTable shows services.
func serviceTable(services []*quartzdockv1.Service) *table {
	t := &table{header: []string{"SERVICE", "ID", "SHARDS", "RULES", "DRAIN LIMIT", "REVISION", "AUTHOR"}}
	for _, service := range services {
		t.add(service.GetName(), service.GetId(), service.GetInitialShards(), len(service.GetRules()),
			service.GetDrainLimit().AsDuration(), service.GetRevision(), service.GetAuthor())
	}
	return t
}

// backendTable shows back ends.
func backendTable(backends []*quartzdockv1.Backend) *table {
	t := &table{header: []string{"SERVICE", "BACK END", "ID", "STATE", "LIVE", "SHARDS", "SLOTS", "CONNECTIONS", "LOCATION", "AGENT", "REVISION", "AUTHOR"}}
	for _, backend := range backends {
		t.add(backend.GetService(), backend.GetName(), backend.GetId(), formatEnum(backend.GetState(), "BACKEND_STATE_"),
			formatLive(backend), backend.GetOwnedShards(), backend.GetSlots(), backend.GetConnections(),
			formatLocation(backend.GetLocation()), backend.GetAgentAddress(), backend.GetRevision(), backend.GetAuthor())
	}
	return t
}

// formatLive returns whether a back end holds a lease, or "-" if the controller
// that answered does not know.
func formatLive(backend *quartzdockv1.Backend) string {
	if !backend.GetLiveKnown() {
		return "-"
	}
	return yesNo(backend.GetLive())
}

// shardTable shows who owns which range of keys.
func shardTable(shards []*quartzdockv1.Shard) *table {
	t := &table{header: []string{"SHARD", "FIRST POSITION", "PHASE", "OWNER", "TARGET", "EPOCH"}}
	for _, shard := range shards {
		t.add(shardName(shard), formatPosition(shard.GetStart()), formatEnum(shard.GetPhase(), "SHARD_PHASE_"),
			shard.GetOwner(), shard.GetTarget(), shard.GetEpoch())
	}
	return t
}

// shardName returns "service/number", as in headers and logs.
func shardName(shard *quartzdockv1.Shard) string {
	return fmt.Sprintf("%d/%d", shard.GetServiceId(), shard.GetNumber())
}

// formatPosition returns a position of the hash space in 16 hexadecimal digits.
func formatPosition(position uint64) string { return fmt.Sprintf("%016x", position) }

// historyTable shows the last changes of a shard.
func historyTable(changes []*quartzdockv1.ShardChange) *table {
	t := &table{header: []string{"REVISION", "TIME", "PHASE", "OWNER", "TARGET", "EPOCH", "REASON"}}
	for _, change := range changes {
		t.add(change.GetRevision(), formatTime(change.GetTime().AsTime()), formatEnum(change.GetPhase(), "SHARD_PHASE_"),
			change.GetOwner(), change.GetTarget(), change.GetEpoch(), change.GetReason())
	}
	return t
}

// formatTime returns a time in UTC to the millisecond.
func formatTime(at time.Time) string { return at.UTC().Format("2006-01-02T15:04:05.000Z") }

// moveTable shows moves in progress and pending.
func moveTable(response *quartzdockv1.ExplainServiceResponse) *table {
	t := &table{header: []string{"MOVE", "SHARD", "FROM", "TO", "KIND", "SCORE", "REASON"}}
	add := func(state string, moves []*quartzdockv1.PlannedMove) {
		for _, move := range moves {
			t.add(state, move.GetShard(), move.GetFrom(), move.GetTo(), move.GetKind(), formatDecimal(move.GetScore()), move.GetReason())
		}
	}
	add("in progress", response.GetInProgress())
	add("pending", response.GetPending())
	return t
}

// loadTable shows the load of a service's back ends.
func loadTable(loads []*quartzdockv1.BackendLoad) *table {
	t := &table{header: []string{"BACK END", "LIVE", "SHARDS", "SLOTS OBSERVED", "SLOTS CLAIMED", "FAILED"}}
	for _, load := range loads {
		t.add(load.GetBackend(), yesNo(load.GetLive()), load.GetOwnedShards(), formatDecimal(load.GetObservedSlots()),
			formatDecimal(load.GetClaimedSlots()), strconv.FormatFloat(100*load.GetFailedShare(), 'f', 1, 64)+"%")
	}
	return t
}

// formatDecimal returns a number with two digits after the point.
func formatDecimal(number float64) string { return strconv.FormatFloat(number, 'f', 2, 64) }

// shiftTable shows announced load shifts.
func shiftTable(shifts []*quartzdockv1.LoadShift) *table {
	t := &table{header: []string{"ID", "SERVICE", "START", "END", "SLOTS EXPECTED", "SHARDS", "AUTHOR"}}
	for _, shift := range shifts {
		t.add(shift.GetId(), shift.GetService(), formatTime(shift.GetStart().AsTime()), formatTime(shift.GetEnd().AsTime()),
			formatDecimal(shift.GetExpectedSlots()), fmt.Sprint(shift.GetShards()), shift.GetAuthor())
	}
	return t
}

// subscriberTable shows which routers and agents have which revision.
func subscriberTable(subscribers []*quartzdockv1.Subscriber) *table {
	t := &table{header: []string{"ROLE", "NAME", "ADDRESS", "LOCATION", "REVISION", "CONNECTED", "CONTROLLER", "SILENT FOR", "STOPPED RELYING"}}
	for _, subscriber := range subscribers {
		t.add(subscriber.GetRole(), subscriber.GetName(), subscriber.GetAddress(), formatLocation(subscriber.GetLocation()),
			subscriber.GetAppliedRevision(), yesNo(subscriber.GetConnected()), subscriber.GetController(),
			subscriber.GetSilentFor().AsDuration(), yesNo(subscriber.GetStoppedRelying()))
	}
	return t
}

// controllerTable shows the members of the group.
func controllerTable(controllers []*quartzdockv1.Controller) *table {
	t := &table{header: []string{"ID", "INCARNATION", "VOTER", "LEADER", "DURABLE INDEX", "LAG", "PEER", "SESSION", "RPC"}}
	for _, controller := range controllers {
		t.add(controller.GetId(), controller.GetIncarnation(), yesNo(controller.GetVoter()), yesNo(controller.GetLeader()),
			controller.GetDurableIndex(), controller.GetLag(), controller.GetPeerAddress(), controller.GetSessionAddress(), controller.GetRpcAddress())
	}
	return t
}
