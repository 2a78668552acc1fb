package controller

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// readNewest is like readState, after a quorum has confirmed that the local
// state is the newest. If no quorum can be reached, the age tells how old the
// state may be.
func (s *adminServer) readNewest(ctx context.Context, view func(age *quartzdockv1.ReadAge)) error {
	c := s.controller
	confirmed := c.confirmFreshnessOnce(ctx)
	return s.readState(ctx, func() {
		view(&quartzdockv1.ReadAge{
			Revision:      uint64(c.state.Revision()),
			LeaderContact: durationpb.New(c.leaderContact()),
			Linearizable:  confirmed,
		})
	})
}

// GetRevision implements AdminServiceHandler.
func (s *adminServer) GetRevision(ctx context.Context, _ *connect.Request[quartzdockv1.GetRevisionRequest]) (*connect.Response[quartzdockv1.GetRevisionResponse], error) {
	c := s.controller
	response := &quartzdockv1.GetRevisionResponse{}
	err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		configured, author := c.state.Configuration()
		response.Age = age
		response.ConfigurationRevision = uint64(configured)
		response.Author = author
		response.LeaderRpcAddress = c.leaderRPCAddress(c.replica.Status())
	})
	return connect.NewResponse(response), err
}

// ListSubscribers implements AdminServiceHandler. A follower lists only its own
// subscribers.
func (s *adminServer) ListSubscribers(ctx context.Context, request *connect.Request[quartzdockv1.ListSubscribersRequest]) (*connect.Response[quartzdockv1.ListSubscribersResponse], error) {
	c := s.controller
	response := &quartzdockv1.ListSubscribersResponse{}
	if err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) { response.Age = age }); err != nil {
		return nil, err
	}
	now := c.now()
	for _, entry := range c.subscribers.list(c.replica.Status().ID) {
		lagging := uint64(entry.Applied) < response.Age.Revision
		if request.Msg.GetLaggingOnly() && !lagging {
			continue
		}
		response.Subscribers = append(response.Subscribers, subscriberMessage(&entry, now))
	}
	return connect.NewResponse(response), nil
}

// WaitInForce implements AdminServiceHandler. Only the leader has the data.
func (s *adminServer) WaitInForce(ctx context.Context, request *connect.Request[quartzdockv1.WaitInForceRequest]) (*connect.Response[quartzdockv1.WaitInForceResponse], error) {
	timeout := request.Msg.GetTimeout().AsDuration()
	if timeout < 0 || timeout > maxInForceWait {
		return nil, fieldViolation("timeout", "want 0 to "+maxInForceWait.String())
	}
	c := s.controller
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return nil, s.proposalError(err)
	}
	revision := topology.Revision(request.Msg.GetRevision())
	if revision > c.view.Load().Newest() {
		return nil, fieldViolation("revision", "is newer than any that was committed")
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	state := c.waitInForce(ctx, revision)
	return connect.NewResponse(&quartzdockv1.WaitInForceResponse{InForce: s.inForceMessage(&state)}), nil
}

func (s *adminServer) inForceMessage(state *inforce.Progress) *quartzdockv1.InForce {
	message := &quartzdockv1.InForce{Revision: uint64(state.Revision), Everywhere: state.Everywhere}
	now := s.controller.now()
	for index := range state.Lagging {
		message.Lagging = append(message.Lagging, subscriberMessage(&state.Lagging[index], now))
	}
	return message
}
