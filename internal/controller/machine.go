package controller

import (
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Apply implements Machine.
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
	c.committed(delta.To)
	c.deltas.Append(delta, c.totals())
	c.publish()
	c.follow(&command, delta)
	return result
}

// follow tells the leader's parts what an applied command changed.
func (c *Controller) follow(command *controlstate.Command, delta wire.RoutingDelta) {
	if !c.coordinator.Leading() {
		return
	}
	now := c.replica.Now()
	if command.ChangeOwnership != nil {
		c.coordinator.ShardsChanged(delta.Shards, now)
		return
	}
	c.coordinator.ConfigurationChanged(now)
	c.identifyAgents(now)
}

// committed notes when a revision was applied here.
func (c *Controller) committed(revision topology.Revision) {
	c.subscribers.edit(func(tracker *inforce.Tracker) { tracker.Committed(revision, c.now()) })
}

// publish makes the newest view visible and wakes all sessions.
func (c *Controller) publish() {
	c.view.Store(c.deltas.View())
	c.open.wakeAll()
	c.published.signal()
}

func (c *Controller) totals() distribution.Totals {
	totals := distribution.Totals{Backends: c.state.BackendCount()}
	totals.Services, totals.Shards = c.state.ServiceAndShardCount()
	return totals
}

// Snapshot implements Machine.
func (c *Controller) Snapshot() ([]byte, error) { return c.state.Encode() }

// Freeze implements Machine.
func (c *Controller) Freeze() func() ([]byte, error) { return c.state.Freeze() }

// Restore implements Machine.
func (c *Controller) Restore(data []byte) error {
	if err := c.state.Decode(data); err != nil {
		return err
	}
	c.committed(c.state.Revision())
	c.deltas.Reset(c.state.Revision())
	c.publish()
	return nil
}
