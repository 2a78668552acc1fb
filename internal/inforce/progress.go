package inforce

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// RelyingBound is how long after its commit a revision is in force everywhere,
// whoever was heard: wire.StopRelyingAfter by a clock that runs slow by the
// bound of clock drift.
const RelyingBound = wire.StopRelyingAfter + wire.StopRelyingAfter/50

// ReportInterval is how often a controller that follows reports to the leader.
const ReportInterval = 100 * time.Millisecond

// reportSlack is how late a report may be before its controller counts as
// silent.
const reportSlack = 300 * time.Millisecond

// Progress is how far a revision has come.
type Progress struct {
	Revision   topology.Revision
	Everywhere bool
	// Lagging are the subscribers that may serve by an older revision, and the
	// controllers that can't tell which of theirs do.
	Lagging []Subscriber
}

// Progress tells, at the leader, who does not have a revision in force yet.
func (t *Tracker) Progress(revision topology.Revision, status *consensus.Status, now time.Duration) Progress {
	result := Progress{Revision: revision}
	late := now-t.commits.at(revision, now) > RelyingBound
	for _, entry := range t.Subscribers(status.ID) {
		if entry.Applied >= revision || entry.StoppedRelying(now) {
			continue
		}
		if !late || t.mayHoldLease(&entry) {
			result.Lagging = append(result.Lagging, entry)
		}
	}
	if !late {
		result.Lagging = append(result.Lagging, t.unsure(status, now)...)
	}
	result.Everywhere = len(result.Lagging) == 0
	return result
}

// mayHoldLease reports whether a subscriber is an agent that had a session here,
// at the leader, just now: its lease lets it serve without a proof of freshness.
func (t *Tracker) mayHoldLease(entry *Subscriber) bool {
	_, own := t.own[entry.Key]
	return own && entry.Role == topology.RoleAgent
}

// unsure lists the members that can't tell who has what: those that have not
// reported just now, those that have started only now, and a new leader. A new
// leader knows nothing of the subscribers of a controller that was lost and is
// no member any more, until those have stopped relying.
func (t *Tracker) unsure(status *consensus.Status, now time.Duration) []Subscriber {
	var found []Subscriber
	for _, entry := range status.Membership.Members {
		known, heard := t.members[entry.ID]
		if entry.ID == status.ID {
			known, heard = member{heardAt: now, started: max(t.started, t.leads)}, true
		}
		silent := !heard || now-known.heardAt > 2*ReportInterval+reportSlack
		if silent || now-known.started <= RelyingBound {
			found = append(found, controllerAsSubscriber(entry, known.heardAt))
		}
	}
	return found
}

func controllerAsSubscriber(entry consensus.Member, heardAt time.Duration) Subscriber {
	name := fmt.Sprintf("controller-%d", entry.ID)
	return Subscriber{
		Key:        Key{Role: topology.RoleController, Name: name, Address: entry.Address},
		HeardAt:    heardAt,
		Controller: entry.ID,
	}
}
