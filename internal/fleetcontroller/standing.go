package fleetcontroller

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/replica"
)

// standingWithin bounds how long a redirect waits for what it tells of the log: several
// rounds of a control goroutine that is busy.
const standingWithin = 100 * time.Millisecond

// undecided remembers, for one log, whether operators' orders in it are not applied. While
// nobody leads, all gateways ask all the time and the log stays as it is.
type undecided struct {
	lastIndex, lastTerm uint64
	unapplied           int
	orders              bool
}

// standing is what this controller has of what operators decide (configlease.Standings),
// read from its log after the call; nil where it can't tell, or not in time.
func (c *Controller) standing() *fleetwire.Standing {
	told := make(chan *fleetwire.Standing, 1)
	c.member.Post(func() { told <- c.readStanding() })
	limit := time.NewTimer(standingWithin)
	defer limit.Stop()
	select {
	case standing := <-told:
		return standing
	case <-limit.C:
	case <-c.running.Done():
	}
	return nil
}

// readStanding runs on the control goroutine.
func (c *Controller) readStanding() *fleetwire.Standing {
	log, ok := c.member.Log()
	if !ok || c.ordersWait(&log) {
		return nil
	}
	standing := &fleetwire.Standing{
		Member: c.member.Status().ID, Version: c.control.state.Version(), EvacuationsIndex: c.control.state.EvacuationsIndex(),
		For: c.config.Configuration.ApplyWithin,
	}
	for _, member := range log.Membership.Members {
		if !member.Learner {
			standing.Voters = append(standing.Voters, member.ID)
		}
	}
	slices.Sort(standing.Voters)
	return standing
}

// ordersWait reports whether what an operator ordered is in the log and not applied: it
// may be accepted already.
func (c *Controller) ordersWait(log *replica.Log) bool {
	known := &c.control.undecided
	if known.lastIndex == log.LastIndex && known.lastTerm == log.LastTerm && known.unapplied == len(log.Unapplied) {
		return known.orders
	}
	*known = undecided{lastIndex: log.LastIndex, lastTerm: log.LastTerm, unapplied: len(log.Unapplied)}
	known.orders = slices.ContainsFunc(log.Unapplied, func(entry consensus.Entry) bool {
		return entry.Kind == consensus.EntryCommand && fleetstate.IsOperators(entry.Data)
	})
	return known.orders
}
