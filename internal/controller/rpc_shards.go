package controller

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Page sizes of ListShards.
const (
	defaultPageSize = 1000
	maxPageSize     = 10_000
)

// ListShards implements AdminServiceHandler.
func (s *adminServer) ListShards(ctx context.Context, request *connect.Request[quartzdockv1.ListShardsRequest]) (*connect.Response[quartzdockv1.ListShardsResponse], error) {
	from, err := parsePageToken(request.Msg.GetPageToken())
	if err != nil {
		return nil, fieldViolation("page_token", "is not from an earlier answer")
	}
	size := int(request.Msg.GetPageSize())
	if size > maxPageSize {
		return nil, fieldViolation("page_size", fmt.Sprintf("%d: at most %d", size, maxPageSize))
	}
	if size == 0 {
		size = defaultPageSize
	}
	response := &quartzdockv1.ListShardsResponse{}
	found := false
	err = s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		info, ok := s.controller.state.Service(request.Msg.GetService())
		found = ok
		response.Age = age
		s.fillPage(response, info.ID, request.Msg.GetOwner(), from, size)
	})
	if err == nil && !found {
		err = serviceNotFound(request.Msg.GetService())
	}
	return connect.NewResponse(response), err
}

func parsePageToken(token string) (topology.KeyHash, error) {
	if token == "" {
		return 0, nil
	}
	start, err := strconv.ParseUint(token, 16, 64)
	return topology.KeyHash(start), err
}

// fillPage adds the shards from a position onwards. The next page's token is
// the start of its first shard.
func (s *adminServer) fillPage(response *quartzdockv1.ListShardsResponse, service topology.ServiceID, owner string, from topology.KeyHash, size int) {
	for shard := range s.controller.state.Shards(service) {
		if shard.Start < from {
			continue
		}
		message := s.shardMessage(&shard)
		if owner != "" && message.GetOwner() != owner {
			continue
		}
		if len(response.Shards) == size {
			response.NextPageToken = strconv.FormatUint(uint64(shard.Start), 16)
			return
		}
		response.Shards = append(response.Shards, message)
	}
}

func serviceNotFound(name string) error {
	return connect.NewError(connect.CodeNotFound, fmt.Errorf("there is no service %q", name))
}

// ExplainKey implements AdminServiceHandler.
func (s *adminServer) ExplainKey(ctx context.Context, request *connect.Request[quartzdockv1.ExplainKeyRequest]) (*connect.Response[quartzdockv1.ExplainKeyResponse], error) {
	position := topology.HashKey(request.Msg.GetKey())
	response := &quartzdockv1.ExplainKeyResponse{Position: uint64(position)}
	found := false
	err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		c := s.controller
		info, _ := c.state.Service(request.Msg.GetService())
		shard, ok := c.state.ShardOfKey(info.ID, position)
		if !ok {
			return
		}
		found = true
		response.Age = age
		response.Shard = s.shardMessage(&shard)
		response.OwnerLiveKnown = c.coordinator.Leading()
		response.OwnerLive = c.coordinator.Live(shard.Owner, c.replica.Now())
		response.Summary = s.routingSummary(&shard, response.OwnerLive)
		response.History = s.shardHistory(shard.ID)
	})
	if err == nil && !found {
		err = serviceNotFound(request.Msg.GetService())
	}
	return connect.NewResponse(response), err
}

// routingSummary describes in one sentence where requests for a shard are
// routed.
func (s *adminServer) routingSummary(shard *topology.Shard, ownerLive bool) string {
	owner, target := s.backendName(shard.Owner), s.backendName(shard.Target)
	leads := s.controller.coordinator.Leading()
	switch {
	case shard.Phase == topology.ShardUnassigned:
		return "No back end owns the shard yet; requests are answered as not run."
	case leads && !ownerLive:
		return fmt.Sprintf("Back end %s owns the shard but holds no lease; requests wait for its return or a new owner.", owner)
	case shard.Phase == topology.ShardWarming:
		return fmt.Sprintf("Requests go to back end %s; %s prepares to take over.", owner, target)
	case shard.Phase == topology.ShardReleasing:
		return fmt.Sprintf("Routers hold requests while back end %s finishes what runs and hands over to %s.", owner, target)
	}
	return fmt.Sprintf("Requests go to back end %s.", owner)
}

// shardHistory returns a shard's recent changes, newest first.
func (s *adminServer) shardHistory(id topology.ShardID) []*quartzdockv1.ShardChange {
	var result []*quartzdockv1.ShardChange
	for _, change := range slices.Backward(s.controller.state.History(id)) {
		result = append(result, &quartzdockv1.ShardChange{
			Revision: uint64(change.Revision),
			Time:     timestamppb.New(time.UnixMilli(change.UnixMilli)),
			Phase:    phaseMessage(change.Phase),
			Owner:    s.backendName(change.Owner),
			Target:   s.backendName(change.Target),
			Epoch:    uint64(change.Epoch),
			Reason:   change.Reason,
		})
	}
	return result
}

// ExplainService implements AdminServiceHandler. Only the leader has the data.
func (s *adminServer) ExplainService(ctx context.Context, request *connect.Request[quartzdockv1.ExplainServiceRequest]) (*connect.Response[quartzdockv1.ExplainServiceResponse], error) {
	response := &quartzdockv1.ExplainServiceResponse{}
	found, leads := false, false
	err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		var info controlstate.ServiceInfo
		info, found = s.controller.state.Service(request.Msg.GetService())
		leads = s.controller.coordinator.Leading()
		response.Age = age
		response.InProgress = s.movesInProgress(info.ID)
		response.Pending = s.pendingMoves(info.ID)
		response.Loads = s.backendLoads(info.ID)
	})
	switch {
	case err != nil:
		return nil, err
	case !leads:
		return nil, s.notLeader()
	case !found:
		return nil, serviceNotFound(request.Msg.GetService())
	}
	return connect.NewResponse(response), nil
}

func (s *adminServer) movesInProgress(id topology.ServiceID) []*quartzdockv1.PlannedMove {
	var moves []*quartzdockv1.PlannedMove
	for _, shardID := range s.controller.state.Moving() {
		if shardID.Service != id {
			continue
		}
		shard, _ := s.controller.state.Shard(shardID)
		kind := "warming"
		if shard.Phase == topology.ShardReleasing {
			kind = "releasing"
		}
		moves = append(moves, &quartzdockv1.PlannedMove{
			Shard:  uint32(shardID.Shard),
			From:   s.backendName(shard.Owner),
			To:     s.backendName(shard.Target),
			Kind:   kind,
			Reason: s.moveReason(shardID),
		})
	}
	return moves
}

// moveReason returns the reason for which a shard's current move was started.
func (s *adminServer) moveReason(id topology.ShardID) string {
	for _, change := range slices.Backward(s.controller.state.History(id)) {
		if change.Phase == topology.ShardWarming {
			return change.Reason
		}
	}
	return ""
}

// pendingMoves returns the moves of the last placement decision that have not
// started yet.
func (s *adminServer) pendingMoves(id topology.ServiceID) []*quartzdockv1.PlannedMove {
	var moves []*quartzdockv1.PlannedMove
	for _, move := range s.controller.coordinator.Pending() {
		if move.Shard.Service != id {
			continue
		}
		moves = append(moves, &quartzdockv1.PlannedMove{
			Shard:  uint32(move.Shard.Shard),
			From:   s.backendName(move.From),
			To:     s.backendName(move.To),
			Kind:   move.Kind.String(),
			Score:  move.Score,
			Reason: move.Reason,
		})
	}
	return moves
}

func (s *adminServer) backendLoads(id topology.ServiceID) []*quartzdockv1.BackendLoad {
	c := s.controller
	var loads []*quartzdockv1.BackendLoad
	for _, info := range c.state.Backends() {
		if info.Service != id {
			continue
		}
		observed := c.coordinator.Load(info.ID, c.replica.Now())
		loads = append(loads, &quartzdockv1.BackendLoad{
			Backend:       info.Name,
			Live:          c.coordinator.Live(info.ID, c.replica.Now()),
			OwnedShards:   uint32(info.Owned),
			ObservedSlots: observed.Observed,
			ClaimedSlots:  observed.Claimed,
			FailedShare:   observed.FailureShare,
		})
	}
	return loads
}
