package controller

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// serveController serves a follower's relay session.
func (s *session) serveController() {
	c := s.controller
	var welcome wire.Welcome
	if !s.runOnControl(func() { welcome = c.welcome() }) {
		return
	}
	s.outbox.welcome(welcome)
	var sender sync.WaitGroup
	sender.Go(func() {
		defer s.close()
		s.sendLoop()
	})
	var member topology.ReplicaID
	for {
		var message wire.ToController
		if s.conn.Receive(&message) != nil || !welcome.Leader {
			break
		}
		s.handleRelayMessage(&message, &member)
	}
	s.close()
	sender.Wait()
}

func (s *session) handleRelayMessage(message *wire.ToController, member *topology.ReplicaID) {
	c := s.controller
	switch {
	case message.Member != nil:
		*member = message.Member.ID
		c.replica.Post(func() { c.recordMember(message.Member) })
	case message.Subscribers != nil:
		c.subscribers.editTracker(func(tracker *inforce.Tracker) {
			tracker.ApplyReport(*member, message.Subscribers, c.now())
		})
		for _, load := range message.Subscribers.Loads {
			c.recordRouterLoad(load.Router, &load.Load)
		}
	case message.Barrier != nil:
		go s.answerBarrier(message.Barrier.Token)
	}
}

func (s *session) answerBarrier(token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), barrierTimeout)
	defer cancel()
	ack := wire.BarrierAck{Token: token}
	if s.controller.replica.ReadBarrier(ctx) != nil {
		ack.Failed = true
	}
	ack.Revision = s.controller.view.Load().Newest()
	s.outbox.barrierAck(ack)
}

// recordMember proposes a member's addresses if they differ from those in the
// state. It runs on the control goroutine.
func (c *Controller) recordMember(member *wire.Member) {
	if !c.leads(c.replica.Now()) {
		return
	}
	announced := controlstate.Controller{
		ID:             member.ID,
		Incarnation:    member.Incarnation,
		PeerAddress:    member.PeerAddress,
		SessionAddress: member.SessionAddress,
		RPCAddress:     member.RPCAddress,
	}
	named := c.replica.Status().Membership.HasIncarnation(member.ID, member.Incarnation)
	known, ok := c.state.Controller(member.ID)
	if !named || (ok && known == announced) {
		return
	}
	data, err := controlstate.EncodeCommand(controlstate.Command{
		UnixMilli:          time.Now().UnixMilli(),
		AnnounceController: &controlstate.AnnounceController{Controller: announced},
	})
	if err != nil {
		c.log.Error("cannot encode controller announcement", "error", err)
		return
	}
	c.replica.ProposeAsync(data, func(any, error) {})
}
