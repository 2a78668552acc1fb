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

// serveController serves the relay of a controller that follows.
func (s *session) serveController() {
	c := s.controller
	var welcome wire.Welcome
	if !s.onControl(func() { welcome = c.welcome() }) {
		return
	}
	s.outbox.welcome(welcome)
	var sender sync.WaitGroup
	sender.Go(func() {
		defer s.close()
		s.sendAll()
	})
	var member topology.ReplicaID
	for {
		var message wire.ToController
		if s.conn.Receive(&message) != nil || !welcome.Leader {
			break
		}
		s.receiveRelay(&message, &member)
	}
	s.close()
	sender.Wait()
}

func (s *session) receiveRelay(message *wire.ToController, member *topology.ReplicaID) {
	c := s.controller
	switch {
	case message.Member != nil:
		*member = message.Member.ID
		c.replica.Post(func() { c.takeMember(message.Member) })
	case message.Subscribers != nil:
		c.subscribers.edit(func(tracker *inforce.Tracker) {
			tracker.ApplyReport(*member, message.Subscribers, c.now())
		})
		for _, load := range message.Subscribers.Loads {
			c.takeRouterLoad(load.Router, &load.Load)
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

// takeMember records the addresses of a member that has others than the state
// knows; on the control goroutine.
func (c *Controller) takeMember(member *wire.Member) {
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
	named := c.replica.Status().Membership.Names(member.ID, member.Incarnation)
	known, ok := c.state.Controller(member.ID)
	if !named || (ok && known == announced) {
		return
	}
	data, err := controlstate.EncodeCommand(controlstate.Command{
		UnixMilli:          time.Now().UnixMilli(),
		AnnounceController: &controlstate.AnnounceController{Controller: announced},
	})
	if err != nil {
		c.log.Error("announcement not encoded", "error", err)
		return
	}
	c.replica.ProposeAsync(data, func(any, error) {})
}
