package controller

import (
	"context"
	"strconv"

	"connectrpc.com/connect"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// ListControllers implements AdminServiceHandler.
func (s *adminServer) ListControllers(ctx context.Context, _ *connect.Request[quartzdockv1.ListControllersRequest]) (*connect.Response[quartzdockv1.ListControllersResponse], error) {
	response := &quartzdockv1.ListControllersResponse{}
	err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		response.Age = age
		status := s.controller.replica.Status()
		for _, member := range status.Membership.Members {
			response.Controllers = append(response.Controllers, s.controllerMessage(&status, member))
		}
	})
	return connect.NewResponse(response), err
}

func (s *adminServer) controllerMessage(status *consensus.Status, member consensus.Member) *quartzdockv1.Controller {
	known, _ := s.controller.state.Controller(member.ID)
	message := &quartzdockv1.Controller{
		Id:             uint64(member.ID),
		Incarnation:    strconv.FormatUint(uint64(member.Incarnation), 16),
		PeerAddress:    member.Address,
		SessionAddress: known.SessionAddress,
		RpcAddress:     known.RPCAddress,
		Voter:          !member.Learner,
		Leader:         member.ID == status.Leader,
	}
	if member.ID == status.ID {
		message.DurableIndex = status.Durable
	}
	for _, peer := range status.Peers {
		if peer.ID == member.ID {
			message.DurableIndex = peer.Match
		}
	}
	if status.Commit > message.DurableIndex {
		message.Lag = status.Commit - message.DurableIndex
	}
	return message
}

// AddController implements AdminServiceHandler. The command that assigns the ID
// is committed first. A request that is repeated after a lost response finds
// that command in the log and only makes sure that the membership includes the
// controller.
func (s *adminServer) AddController(ctx context.Context, request *connect.Request[quartzdockv1.AddControllerRequest]) (*connect.Response[quartzdockv1.AddControllerResponse], error) {
	incarnation, _ := strconv.ParseUint(request.Msg.GetIncarnation(), 16, 64)
	added := controlstate.Controller{
		Incarnation:    topology.Incarnation(incarnation),
		PeerAddress:    request.Msg.GetPeerAddress(),
		SessionAddress: request.Msg.GetSessionAddress(),
		RPCAddress:     request.Msg.GetRpcAddress(),
	}
	membership := s.controller.replica.Status().Membership
	result, answer, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		AddController: &controlstate.AddController{Controller: added, LowestID: membership.LastID + 1},
	})
	if err != nil {
		return nil, err
	}
	member := consensus.Member{ID: result.Controller, Incarnation: added.Incarnation, Address: added.PeerAddress}
	if !request.Msg.GetMutation().GetDryRun() {
		err = s.changeMembership(ctx, consensus.Change{Kind: consensus.AddLearner, Member: member})
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.AddControllerResponse{Result: answer, Id: uint64(result.Controller)}), nil
}

// PromoteController implements AdminServiceHandler.
func (s *adminServer) PromoteController(ctx context.Context, request *connect.Request[quartzdockv1.PromoteControllerRequest]) (*connect.Response[quartzdockv1.PromoteControllerResponse], error) {
	id := topology.ReplicaID(request.Msg.GetId())
	_, answer, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		PromoteController: &controlstate.PromoteController{ID: id, Member: s.isMember(id)},
	})
	if err == nil && !request.Msg.GetMutation().GetDryRun() {
		err = s.changeMembership(ctx, consensus.Change{Kind: consensus.Promote, Member: consensus.Member{ID: id}})
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.PromoteControllerResponse{Result: answer}), nil
}

// RemoveController implements AdminServiceHandler.
func (s *adminServer) RemoveController(ctx context.Context, request *connect.Request[quartzdockv1.RemoveControllerRequest]) (*connect.Response[quartzdockv1.RemoveControllerResponse], error) {
	id := topology.ReplicaID(request.Msg.GetId())
	_, answer, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		RemoveController: &controlstate.RemoveController{ID: id, Member: s.isMember(id)},
	})
	if err == nil && !request.Msg.GetMutation().GetDryRun() {
		err = s.changeMembership(ctx, consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: id}})
	}
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.RemoveControllerResponse{Result: answer}), nil
}

func (s *adminServer) isMember(id topology.ReplicaID) bool {
	_, member := s.controller.replica.Status().Membership.Find(id)
	return member
}

// changeMembership makes a change unless the membership already includes it. A
// promotion is always requested, since it completes only when the new voter has
// durably stored everything that was committed.
func (s *adminServer) changeMembership(ctx context.Context, change consensus.Change) error {
	if change.Kind != consensus.Promote && changeApplied(s.controller.replica.Status().Membership, change) {
		return nil
	}
	if err := s.controller.replica.ChangeMembership(ctx, change); err != nil {
		return membershipError(err)
	}
	return nil
}

func changeApplied(membership consensus.Membership, change consensus.Change) bool {
	member, present := membership.Find(change.Member.ID)
	switch change.Kind {
	case consensus.AddLearner:
		return present
	case consensus.Promote:
		return present && !member.Learner
	case consensus.Remove:
		return !present
	}
	return false
}
