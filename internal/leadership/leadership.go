// Package leadership determines when a controller may act as the leader of its
// group: grant leases and propose batches. It performs no I/O and has no clock;
// its state chart is leadership.chart.
//
// An elected replica acts only after a command of its own term, the announcement
// of its addresses, is applied, since only then has it applied everything that
// earlier leaders committed. It also acts only while it holds the leader lease,
// which it checks at the moment of acting, so that a process that was paused
// does not act on an expired lease.
package leadership

import (
	"embed"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/statechart"
)

//go:embed leadership.chart
var chartFile embed.FS

// States of leadership.chart.
const (
	stateFollowing statechart.State = iota
	stateAnnouncing
	stateLeading
)

// Events of leadership.chart.
const (
	eventElected statechart.Event = iota
	eventAnnounced
	eventRefused
	eventDeposed
)

// Actions of leadership.chart; zero means no action.
const (
	actionAnnounce statechart.Action = iota + 1
	actionBegin
	actionEnd
)

var table = statechart.MustLoad(chartFile, "leadership.chart").MustBind(
	[]string{"following", "announcing", "leading"},
	[]string{"elected", "announced", "refused", "deposed"},
	[]string{"announce", "begin", "end"},
)

// Leadership is the leadership state of one controller. The zero value is a
// follower. It is not safe for concurrent use.
type Leadership struct {
	state statechart.State
	term  uint64
}

// Actions lists what a controller must do after a tick.
type Actions struct {
	// StepDown means that the controller must stop all work of a leader, before
	// anything else.
	StepDown bool
	// Announce means that the controller must propose the announcement of the
	// term, and report the outcome with Announced or Refused.
	Announce bool
	// MayAct means that the controller may act as the leader now.
	MayAct bool
}

// Term returns the term in which the controller leads, or zero if it does not
// lead.
func (l *Leadership) Term() uint64 {
	if l.state != stateLeading {
		return 0
	}
	return l.term
}

// MayAct reports whether the controller may act as the leader at now.
func (l *Leadership) MayAct(status *consensus.Status, now time.Duration) bool {
	return l.state == stateLeading && l.term == status.Term && status.IsLeader(now)
}

// Tick updates the state from the replica's status.
func (l *Leadership) Tick(status *consensus.Status, now time.Duration) Actions {
	var actions Actions
	if l.state != stateFollowing && (status.Role != consensus.Leader || status.Term != l.term) {
		actions.StepDown = l.fire(eventDeposed) == actionEnd
	}
	if l.state == stateFollowing && status.IsLeader(now) {
		l.term = status.Term
		actions.Announce = l.fire(eventElected) == actionAnnounce
	}
	actions.MayAct = l.MayAct(status, now)
	return actions
}

// Announced records that the announcement of a term was applied. It reports
// whether the controller's leadership begins with it.
func (l *Leadership) Announced(status *consensus.Status, term uint64) bool {
	if l.state != stateAnnouncing || l.term != term {
		return false
	}
	if status.Role != consensus.Leader || status.Term != term {
		l.fire(eventDeposed)
		return false
	}
	return l.fire(eventAnnounced) == actionBegin
}

// Refused records that the announcement of a term failed. The next tick retries
// it if the replica still leads.
func (l *Leadership) Refused(term uint64) {
	if l.state == stateAnnouncing && l.term == term {
		l.fire(eventRefused)
	}
}

func (l *Leadership) fire(event statechart.Event) statechart.Action {
	next, action, ok := table.Next(l.state, event)
	if !ok {
		return 0
	}
	l.state = next
	return action
}
