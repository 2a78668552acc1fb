// Package leadership tells when a controller may act as the leader of its
// group: grant leases and propose batches. It is pure; the state chart is
// leadership.chart.
//
// A replica that was elected acts only after a command of its own term, the
// announcement of its addresses, is applied: only then has it applied all that
// earlier leaders had committed. And it acts only while it holds the leader
// lease, which it asks for at the moment of acting: a process that was frozen
// finds the lease ended when it wakes.
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

// Actions of leadership.chart; zero is none.
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

// Leadership of one controller. The zero value follows. It is not safe for
// concurrent use.
type Leadership struct {
	state statechart.State
	term  uint64
}

// Duty is what a controller has to do at a tick.
type Duty struct {
	// StepDown ends what the leader alone may do, before anything else.
	StepDown bool
	// Announce proposes the announcement of the term and answers with
	// Announced or Refused.
	Announce bool
	// Act says that the controller may act as the leader now.
	Act bool
}

// Term returns the term in which the controller leads, or zero.
func (l *Leadership) Term() uint64 {
	if l.state != stateLeading {
		return 0
	}
	return l.term
}

// Leads reports whether the controller may act as the leader at now.
func (l *Leadership) Leads(status *consensus.Status, now time.Duration) bool {
	return l.state == stateLeading && l.term == status.Term && status.IsLeader(now)
}

// Tick follows the replica's status.
func (l *Leadership) Tick(status *consensus.Status, now time.Duration) Duty {
	var duty Duty
	if l.state != stateFollowing && (status.Role != consensus.Leader || status.Term != l.term) {
		duty.StepDown = l.fire(eventDeposed) == actionEnd
	}
	if l.state == stateFollowing && status.IsLeader(now) {
		l.term = status.Term
		duty.Announce = l.fire(eventElected) == actionAnnounce
	}
	duty.Act = l.Leads(status, now)
	return duty
}

// Announced says that the announcement of a term was applied. It reports
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

// Refused says that the announcement of a term failed. The next tick tries
// again if the replica still leads.
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
