package controller

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/inforce"
)

// Tick implements Machine. It follows the replica's role and, at the leader,
// proposes the coordinator's next batch.
func (c *Controller) Tick(now time.Duration, status consensus.Status) {
	if c.replica == nil {
		return
	}
	duty := c.leadership.Tick(&status, now)
	if duty.StepDown {
		c.stepDown(status)
	}
	c.sendAgentsOn(now, status)
	if duty.Announce {
		c.announce(status)
	}
	if !duty.Act {
		return
	}
	command, ok := c.coordinator.Tick(now, time.Now().UnixMilli())
	c.findings.update(c.coordinator.Findings(), now)
	c.countDiscounted()
	if ok {
		c.proposeBatch(command)
	}
}

// countDiscounted adds the claims that were discounted since the last look.
func (c *Controller) countDiscounted() {
	total := c.coordinator.ClaimsDiscounted()
	if total > c.discounted {
		c.metrics.discountedClaims.Add(float64(total - c.discounted))
	}
	c.discounted = total
}

// announce proposes the controller's own addresses as the first command of its
// term. Once it is applied, so is everything of earlier terms.
func (c *Controller) announce(status consensus.Status) {
	self := controlstate.Controller{
		ID:             status.ID,
		Incarnation:    status.Incarnation,
		PeerAddress:    c.replica.PeerAddress(),
		SessionAddress: c.sessionAddress(),
		RPCAddress:     c.rpc.Addr().String(),
	}
	data, err := controlstate.EncodeCommand(controlstate.Command{
		UnixMilli:          time.Now().UnixMilli(),
		AnnounceController: &controlstate.AnnounceController{Controller: self, LeaseDuration: c.config.LeaseDuration},
	})
	if err != nil {
		c.log.Error("announcement not encoded", "error", err)
		c.leadership.Refused(status.Term)
		return
	}
	c.replica.ProposeAsync(data, func(_ any, err error) { c.announced(status.Term, err) })
}

func (c *Controller) announced(term uint64, err error) {
	if err != nil {
		c.leadership.Refused(term)
		return
	}
	status := c.replica.Status()
	if !c.leadership.Announced(&status, term) {
		return
	}
	c.coordinator.BecomeLeaderAfter(status.EarlierLeasesEnd, c.replica.Now())
	now := c.now()
	c.subscribers.edit(func(tracker *inforce.Tracker) { tracker.BecomeLeader(now) })
	c.metrics.elections.Inc()
	c.log.Info("leads the group", "term", term, "revision", c.state.Revision())
}

// stepDown ends everything that the leader alone may do.
func (c *Controller) stepDown(status consensus.Status) {
	c.log.Info("no longer leads the group", "new_term", status.Term, "leader", status.Leader)
	c.coordinator.StepDown()
	c.findings.update(nil, c.replica.Now()+findingHeld)
	c.subscribers.edit((*inforce.Tracker).StepDown)
	c.redirectBy = c.replica.Now() + redirectPatience
	c.sendAgentsOn(c.replica.Now(), status)
}

func (c *Controller) leaderSessionAddress(status consensus.Status) string {
	leader, known := c.state.Controller(status.Leader)
	if !known {
		return ""
	}
	return leader.SessionAddress
}

func (c *Controller) leaderRPCAddress(status consensus.Status) string {
	leader, known := c.state.Controller(status.Leader)
	if !known {
		return ""
	}
	return leader.RPCAddress
}

func (c *Controller) proposeBatch(command controlstate.Command) {
	data, err := controlstate.EncodeCommand(command)
	if err != nil {
		c.log.Error("ownership batch not encoded", "error", err)
		c.coordinator.BatchDone(c.replica.Now())
		return
	}
	term := c.leadership.Term()
	proposed := c.replica.Now()
	c.replica.ProposeAsync(data, func(result any, err error) {
		if c.leadership.Term() != term {
			return
		}
		c.batchDone(result, err, proposed)
	})
}

// batchDone ends a batch unless its outcome is unknown; then leadership is on
// its way out, and until then nothing that depends on the outcome is done.
func (c *Controller) batchDone(result any, err error, proposed time.Duration) {
	if errors.Is(err, ErrOutcomeUnknown) {
		c.metrics.failedBatches.Inc()
		return
	}
	now := c.replica.Now()
	c.coordinator.BatchDone(now)
	c.metrics.batchSeconds.Observe((now - proposed).Seconds())
	if applied, ok := result.(controlstate.Result); ok {
		c.metrics.ownershipChanges.Add(float64(applied.OwnershipApplied))
	}
}

// leads reports whether this controller may act as the leader now.
func (c *Controller) leads(now time.Duration) bool {
	status := c.replica.Status()
	return c.leadership.Leads(&status, now)
}
