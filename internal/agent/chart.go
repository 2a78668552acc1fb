package agent

import (
	"embed"

	"github.com/quartzdock/quartzdock/internal/statechart"
)

//go:embed backend.chart
var chartFiles embed.FS

// States of backend.chart.
const (
	stateUnreachable statechart.State = iota
	stateFit
	stateResting
)

// Events of backend.chart.
const (
	eventAnswered statechart.Event = iota
	eventLost
	eventFailed
	eventRested
)

// Actions of backend.chart.
const (
	actionResumeLease statechart.Action = iota + 1
	actionGiveUpLease
)

var stateNames = []string{"unreachable", "fit", "resting"}

var backendTable = statechart.MustLoad(chartFiles, "backend.chart").MustBind(
	stateNames,
	[]string{"answered", "lost", "failed", "rested"},
	[]string{"resume_lease", "give_up_lease"},
)
