package fleetcontroller

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/replica"
)

// operatorStateTimeout limits how long a redirect waits for operatorState: several
// rounds of a busy control goroutine.
const operatorStateTimeout = 100 * time.Millisecond

// unappliedCheck caches, for one state of the log, whether it holds operator commands that
// aren't applied. While there is no leader, all gateways ask repeatedly, and the log doesn't
// change.
type unappliedCheck struct {
	lastIndex, lastTerm uint64
	unapplied           int
	operatorCommands    bool
}

// operatorState reports the state set by operators that this controller has
// (configlease.LogStates), as of a time after the call. It returns nil if that can't be
// determined, or not within operatorStateTimeout.
func (c *Controller) operatorState() *fleetwire.OperatorState {
	result := make(chan *fleetwire.OperatorState, 1)
	c.replica.Post(func() { result <- c.readOperatorState() })
	limit := time.NewTimer(operatorStateTimeout)
	defer limit.Stop()
	select {
	case operatorState := <-result:
		return operatorState
	case <-limit.C:
	case <-c.runContext.Done():
	}
	return nil
}

// readOperatorState runs on the control goroutine.
func (c *Controller) readOperatorState() *fleetwire.OperatorState {
	log, ok := c.replica.Log()
	if !ok || c.hasUnappliedOperatorCommands(&log) {
		return nil
	}
	operatorState := &fleetwire.OperatorState{
		Member: c.replica.Status().ID, Version: c.control.state.Version(), EvacuationsIndex: c.control.state.EvacuationsIndex(),
		For: c.config.Configuration.ApplyWithin,
	}
	for _, member := range log.Membership.Members {
		if !member.Learner {
			operatorState.Voters = append(operatorState.Voters, member.ID)
		}
	}
	slices.Sort(operatorState.Voters)
	return operatorState
}

// hasUnappliedOperatorCommands reports whether the log holds operator commands that aren't
// applied here. They may already have been accepted.
func (c *Controller) hasUnappliedOperatorCommands(log *replica.Log) bool {
	cached := &c.control.unappliedCheck
	if cached.lastIndex == log.LastIndex && cached.lastTerm == log.LastTerm && cached.unapplied == len(log.Unapplied) {
		return cached.operatorCommands
	}
	*cached = unappliedCheck{lastIndex: log.LastIndex, lastTerm: log.LastTerm, unapplied: len(log.Unapplied)}
	cached.operatorCommands = slices.ContainsFunc(log.Unapplied, func(entry consensus.Entry) bool {
		return entry.Kind == consensus.EntryCommand && fleetstate.IsOperatorCommand(entry.Data)
	})
	return cached.operatorCommands
}
