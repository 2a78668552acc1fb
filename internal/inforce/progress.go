package inforce

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// MaxRelianceTime is how long after its commit a revision is in force at all routers,
// whichever subscribers have confirmed it: wire.MaxRoutingStaleness by a clock that runs
// slow by the bound of clock drift.
const MaxRelianceTime = wire.MaxRoutingStaleness + wire.MaxRoutingStaleness/50

// ReportInterval is the interval of a follower's reports to the leader.
const ReportInterval = 100 * time.Millisecond

// reportSlack is how much later than two intervals a report may be before its
// controller counts as silent.
const reportSlack = 300 * time.Millisecond

// Progress is the state of the rollout of a revision.
type Progress struct {
	Revision   topology.Revision
	Everywhere bool
	// Lagging are the subscribers that may use an older revision, and the controllers
	// that don't know which of their subscribers do.
	Lagging []Subscriber
}

// Progress returns, at the leader, which subscribers may not have a revision in force
// yet.
func (t *Tracker) Progress(revision topology.Revision, status *consensus.Status, now time.Duration) Progress {
	result := Progress{Revision: revision}
	late := now-t.commits.at(revision, now) > MaxRelianceTime
	for _, entry := range t.Subscribers(status.ID) {
		if entry.Applied >= revision || entry.StoppedRelying(now) {
			continue
		}
		if !late || t.mayHoldLease(&entry) {
			result.Lagging = append(result.Lagging, entry)
		}
	}
	if !late {
		result.Lagging = append(result.Lagging, t.unknownControllers(status, now)...)
	}
	result.Everywhere = len(result.Lagging) == 0
	return result
}

// mayHoldLease reports whether a subscriber is an agent that has or recently had a
// session here, at the leader: its lease lets it serve without a proof of freshness.
func (t *Tracker) mayHoldLease(entry *Subscriber) bool {
	_, own := t.own[entry.Key]
	return own && entry.Role == topology.RoleAgent
}

// unknownControllers returns the members that may not know the state of all their
// subscribers: those without a recent report, those that have started recently, and a
// new leader. A new leader doesn't know the subscribers of a controller that was lost
// and is no longer a member. It must wait until these have stopped using their data.
func (t *Tracker) unknownControllers(status *consensus.Status, now time.Duration) []Subscriber {
	var found []Subscriber
	for _, entry := range status.Membership.Members {
		known, reported := t.members[entry.ID]
		if entry.ID == status.ID {
			known, reported = member{lastReportAt: now, started: max(t.started, t.leaderSince)}, true
		}
		silent := !reported || now-known.lastReportAt > 2*ReportInterval+reportSlack
		if silent || now-known.started <= MaxRelianceTime {
			found = append(found, controllerAsSubscriber(entry, known.lastReportAt))
		}
	}
	return found
}

func controllerAsSubscriber(entry consensus.Member, lastMessageAt time.Duration) Subscriber {
	name := fmt.Sprintf("controller-%d", entry.ID)
	return Subscriber{
		Key:           Key{Role: topology.RoleController, Name: name, Address: entry.Address},
		LastMessageAt: lastMessageAt,
		Controller:    entry.ID,
	}
}
