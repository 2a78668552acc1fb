package controller

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/inforce"
)

// Tick implements StateMachine. It tracks the replica's role and, at the
// leader, proposes the coordinator's next batch.
func (c *Controller) Tick(now time.Duration, status consensus.Status) {
	if c.replica == nil {
		return
	}
	actions := c.leadership.Tick(&status, now)
	if actions.StepDown {
		c.stepDown(status)
	}
	c.redirectPendingAgents(now, status)
	if actions.Announce {
		c.announce(status)
	}
	if !actions.MayAct {
		return
	}
	command, ok := c.coordinator.Tick(now, time.Now().UnixMilli())
	c.findings.update(c.coordinator.Findings(), now)
	c.countDiscountedClaims()
	if ok {
		c.proposeBatch(command)
	}
}

// countDiscountedClaims adds the claims discounted since the last call to the
// metric.
func (c *Controller) countDiscountedClaims() {
	total := c.coordinator.ClaimsDiscounted()
	if total > c.claimsCounted {
		c.metrics.discountedClaims.Add(float64(total - c.claimsCounted))
	}
	c.claimsCounted = total
}

// announce proposes the controller's own addresses as the first command of its
// term. Once it is applied, all commands of earlier terms are applied too.
func (c *Controller) announce(status consensus.Status) {
	self := controlstate.Controller{
		ID:             status.ID,
		Incarnation:    status.Incarnation,
		PeerAddress:    c.replica.PeerAddress(),
		SessionAddress: c.sessionAddress(),
		RPCAddress:     c.rpcListener.Addr().String(),
	}
	data, err := controlstate.EncodeCommand(controlstate.Command{
		UnixMilli:          time.Now().UnixMilli(),
		AnnounceController: &controlstate.AnnounceController{Controller: self, LeaseDuration: c.config.LeaseDuration},
	})
	if err != nil {
		c.log.Error("cannot encode controller announcement", "error", err)
		c.leadership.Refused(status.Term)
		return
	}
	c.replica.ProposeAsync(data, func(_ any, err error) { c.announcementDone(status.Term, err) })
}

func (c *Controller) announcementDone(term uint64, err error) {
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
	c.subscribers.editTracker(func(tracker *inforce.Tracker) { tracker.BecomeLeader(now) })
	c.metrics.leaderships.Inc()
	c.log.Info("became leader", "term", term, "revision", c.state.Revision())
}

// stepDown stops everything that only the leader may do.
func (c *Controller) stepDown(status consensus.Status) {
	c.log.Info("lost leadership", "new_term", status.Term, "leader", status.Leader)
	c.coordinator.StepDown()
	c.findings.update(nil, c.replica.Now()+findingRetention)
	c.subscribers.editTracker((*inforce.Tracker).StepDown)
	c.redirectDeadline = c.replica.Now() + redirectTimeout
	c.redirectPendingAgents(c.replica.Now(), status)
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
		c.log.Error("cannot encode ownership batch", "error", err)
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

// batchDone completes a batch unless its outcome is unknown. In that case this
// controller is about to lose leadership, and until then it does nothing that
// depends on the outcome.
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
	return c.leadership.MayAct(&status, now)
}
