package ownership

import (
	"embed"

	"github.com/quartzdock/quartzdock/internal/statechart"
	"github.com/quartzdock/quartzdock/internal/topology"
)

//go:embed shard.chart backend.chart
var chartFiles embed.FS

// ShardEvent is a kind of change in a shard's lifecycle; see shard.chart.
type ShardEvent uint8

// Events of shard.chart.
const (
	EventAssign ShardEvent = iota
	EventBeginMove
	EventRelease
	EventCompleteMove
	EventCancelMove
	EventSplit
	EventMerge
)

var shardEventNames = []string{
	"assign", "begin_move", "release", "complete_move", "cancel_move", "split", "merge",
}

// String returns the event's name in shard.chart.
func (event ShardEvent) String() string {
	if int(event) < len(shardEventNames) {
		return shardEventNames[event]
	}
	return "unknown"
}

// ShardAction is what a transition of shard.chart does in addition to changing
// the phase.
type ShardAction uint8

// Actions of shard.chart. ShardNoAction is used for a transition without an
// action.
const (
	ShardNoAction ShardAction = iota
	ShardGiveToTarget
	ShardSetTarget
	ShardClearTarget
	ShardGiveBack
	ShardDivide
	ShardJoin
)

var shardTable = statechart.MustLoad(chartFiles, "shard.chart").MustBind(
	[]string{"unassigned", "owned", "warming", "releasing"},
	shardEventNames,
	[]string{"give_to_target", "set_target", "clear_target", "give_back", "divide", "join"},
)

// NextPhase returns the phase after an event and the action to perform. It
// returns false if the chart has no such transition, phase or event.
func NextPhase(phase topology.ShardPhase, event ShardEvent) (topology.ShardPhase, ShardAction, bool) {
	if phase < topology.ShardUnassigned || phase > topology.ShardReleasing || int(event) >= len(shardEventNames) {
		return phase, ShardNoAction, false
	}
	from := statechart.State(phase - topology.ShardUnassigned)
	next, action, ok := shardTable.Next(from, statechart.Event(event))
	return topology.ShardPhase(next) + topology.ShardUnassigned, ShardAction(action), ok
}

// BackendEvent is an operator's command for a back end; see backend.chart.
type BackendEvent uint8

// Events of backend.chart.
const (
	EventDrain BackendEvent = iota
	EventActivate
	EventRemove
)

// BackendAction is what a transition of backend.chart requires.
type BackendAction uint8

// Actions of backend.chart.
const (
	BackendNoAction BackendAction = iota
	BackendCheckOwnsNothing
)

var backendTable = statechart.MustLoad(chartFiles, "backend.chart").MustBind(
	[]string{"active", "draining", "removed"},
	[]string{"drain", "activate", "remove"},
	[]string{"check_owns_nothing"},
)

// NextBackendState returns a back end's state after a command and the action to
// perform. It returns false if the chart has no such transition, state or
// command.
func NextBackendState(state topology.BackendState, event BackendEvent) (topology.BackendState, BackendAction, bool) {
	if state < topology.BackendActive || state > topology.BackendRemoved || event > EventRemove {
		return state, BackendNoAction, false
	}
	from := statechart.State(state - topology.BackendActive)
	next, action, ok := backendTable.Next(from, statechart.Event(event))
	return topology.BackendState(next) + topology.BackendActive, BackendAction(action), ok
}
