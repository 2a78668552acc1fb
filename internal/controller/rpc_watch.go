package controller

import (
	"context"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Watch implements AdminServiceHandler. A caller that reads slowly gets several
// changes in one response.
func (s *adminServer) Watch(ctx context.Context, request *connect.Request[quartzdockv1.WatchRequest], stream *connect.ServerStream[quartzdockv1.WatchResponse]) error {
	c := s.controller
	after := topology.Revision(request.Msg.GetAfterRevision())
	for {
		changed := c.viewChanged.wait()
		if c.view.Load().Newest() > after {
			response, err := s.changesAfter(ctx, after, request.Msg.GetService())
			if err != nil {
				return err
			}
			after = topology.Revision(response.GetRevision())
			if err := stream.Send(response); err != nil {
				return err
			}
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		case <-c.stopping:
			return connect.NewError(connect.CodeUnavailable, errStopping)
		}
	}
}

// changesAfter returns the changes after a revision, or a complete snapshot if
// the log of deltas no longer reaches back to it.
func (s *adminServer) changesAfter(ctx context.Context, after topology.Revision, service string) (*quartzdockv1.WatchResponse, error) {
	response := &quartzdockv1.WatchResponse{Time: timestamppb.Now()}
	found := true
	err := s.readState(ctx, func() {
		var wanted []topology.ServiceID
		if service != "" {
			info, ok := s.controller.state.Service(service)
			found = ok
			wanted = append(wanted, info.ID)
		}
		delta, ok := s.controller.deltaLog.View().Since(after, wanted...)
		if after == 0 || !ok {
			response.Snapshot = true
			delta = deltaFromSnapshot(s.controller.state.Routing())
		}
		s.fillWatchResponse(response, distribution.Filter(delta, wanted))
	})
	if err == nil && !found {
		return nil, serviceNotFound(service)
	}
	return response, err
}

func deltaFromSnapshot(snapshot wire.RoutingSnapshot) wire.RoutingDelta {
	delta := wire.RoutingDelta{To: snapshot.Revision, Backends: snapshot.Backends}
	for _, routes := range snapshot.Services {
		delta.Services = append(delta.Services, routes.Service)
		delta.Shards = append(delta.Shards, routes.Shards...)
	}
	return delta
}

func (s *adminServer) fillWatchResponse(response *quartzdockv1.WatchResponse, delta wire.RoutingDelta) {
	state := s.controller.state
	response.Revision = uint64(delta.To)
	for _, service := range delta.Services {
		if info, ok := state.ServiceByID(service.ID); ok {
			response.Services = append(response.Services, serviceMessage(&info))
		}
	}
	for _, id := range delta.RemovedServices {
		response.RemovedServiceIds = append(response.RemovedServiceIds, uint32(id))
	}
	for _, backend := range delta.Backends {
		if info, ok := state.Backend(backend.ID); ok {
			response.Backends = append(response.Backends, s.backendMessage(&info))
		}
	}
	for _, id := range delta.RemovedBackends {
		response.RemovedBackendIds = append(response.RemovedBackendIds, uint32(id))
	}
	for index := range delta.Shards {
		response.Shards = append(response.Shards, s.shardMessage(&delta.Shards[index]))
	}
	for _, id := range delta.RemovedShards {
		response.RemovedShards = append(response.RemovedShards, &quartzdockv1.ShardReference{
			ServiceId: uint32(id.Service),
			Number:    uint32(id.Shard),
		})
	}
}
