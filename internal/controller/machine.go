package controller

import (
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Apply implements StateMachine.
func (c *Controller) Apply(index topology.Revision, data []byte) any {
	command, err := controlstate.DecodeCommand(data)
	if err != nil {
		c.metrics.damagedCommands.Inc()
		return &commandError{err}
	}
	result, delta := c.state.Apply(index, command)
	c.metrics.applied.Inc()
	if delta.From == delta.To {
		return result
	}
	c.recordCommitted(delta.To)
	c.deltaLog.Append(delta, c.totals())
	c.publish()
	c.notifyCoordinator(&command, delta)
	return result
}

// notifyCoordinator tells the coordinator and the agents' sessions what an
// applied command changed, if this controller leads.
func (c *Controller) notifyCoordinator(command *controlstate.Command, delta wire.RoutingDelta) {
	if !c.coordinator.Leading() {
		return
	}
	now := c.replica.Now()
	if command.ChangeOwnership != nil {
		c.coordinator.ShardsChanged(delta.Shards, now)
		return
	}
	c.coordinator.ConfigurationChanged(now)
	c.resolveAgentBackends(now)
}

// recordCommitted records the time at which a revision was applied here.
func (c *Controller) recordCommitted(revision topology.Revision) {
	c.subscribers.editTracker(func(tracker *inforce.Tracker) { tracker.Committed(revision, c.now()) })
}

// publish publishes the newest view and wakes all sessions and watchers.
func (c *Controller) publish() {
	c.view.Store(c.deltaLog.View())
	c.openSessions.wakeAll()
	c.viewChanged.signal()
}

func (c *Controller) totals() distribution.Totals {
	totals := distribution.Totals{Backends: c.state.BackendCount()}
	totals.Services, totals.Shards = c.state.ServiceAndShardCount()
	return totals
}

// Snapshot implements StateMachine.
func (c *Controller) Snapshot() ([]byte, error) { return c.state.Encode() }

// Freeze implements StateMachine.
func (c *Controller) Freeze() func() ([]byte, error) { return c.state.Freeze() }

// Restore implements StateMachine.
func (c *Controller) Restore(data []byte) error {
	if err := c.state.Decode(data); err != nil {
		return err
	}
	c.recordCommitted(c.state.Revision())
	c.deltaLog.Reset(c.state.Revision())
	c.publish()
	return nil
}
