package subscription

import (
	"embed"

	"github.com/quartzdock/quartzdock/internal/statechart"
)

//go:embed session.chart
var chartFiles embed.FS

// States of session.chart.
const (
	stateDisconnected statechart.State = iota
	stateConnecting
	stateGreeting
	stateFollowing
	stateBackingOff
	stateStopped
)

// Events of session.chart.
const (
	eventStart statechart.Event = iota
	eventConnected
	eventWelcomed
	eventRedirected
	eventFailed
	eventLost
	eventElapsed
	eventStop
)

// Actions of session.chart.
const (
	actionConnect statechart.Action = iota + 1
	actionGreet
	actionFollow
	actionBackOff
	actionFinish
)

var sessionTable = statechart.MustLoad(chartFiles, "session.chart").MustBind(
	[]string{"disconnected", "connecting", "greeting", "following", "backing_off", "stopped"},
	[]string{"start", "connected", "welcomed", "redirected", "failed", "lost", "elapsed", "stop"},
	[]string{"connect", "greet", "follow", "back_off", "finish"},
)
