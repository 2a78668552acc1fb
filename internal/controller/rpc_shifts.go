package controller

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// MarkLoadShift implements AdminServiceHandler.
func (s *adminServer) MarkLoadShift(ctx context.Context, request *connect.Request[quartzdockv1.MarkLoadShiftRequest]) (*connect.Response[quartzdockv1.MarkLoadShiftResponse], error) {
	mark := &controlstate.MarkLoadShift{
		Service:       request.Msg.GetService(),
		EndUnixMilli:  request.Msg.GetEnd().AsTime().UnixMilli(),
		ExpectedSlots: request.Msg.GetExpectedSlots(),
	}
	mark.StartUnixMilli = request.Msg.GetStart().AsTime().UnixMilli()
	for _, key := range request.Msg.GetKeys() {
		mark.Keys = append(mark.Keys, topology.HashKey(key))
	}
	result, answer, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{MarkLoadShift: mark})
	if err != nil {
		return nil, err
	}
	response := &quartzdockv1.MarkLoadShiftResponse{Result: answer}
	err = s.readState(ctx, func() {
		for _, shift := range s.controller.state.LoadShifts(0) {
			if shift.ID == result.LoadShift {
				response.Shift = s.shiftMessage(&shift)
			}
		}
	})
	return connect.NewResponse(response), err
}

// ListLoadShifts implements AdminServiceHandler.
func (s *adminServer) ListLoadShifts(ctx context.Context, request *connect.Request[quartzdockv1.ListLoadShiftsRequest]) (*connect.Response[quartzdockv1.ListLoadShiftsResponse], error) {
	response := &quartzdockv1.ListLoadShiftsResponse{}
	found := true
	err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		var info controlstate.ServiceInfo
		if name := request.Msg.GetService(); name != "" {
			info, found = s.controller.state.Service(name)
		}
		response.Age = age
		for _, shift := range s.controller.state.LoadShifts(info.ID) {
			response.Shifts = append(response.Shifts, s.shiftMessage(&shift))
		}
	})
	if err == nil && !found {
		err = serviceNotFound(request.Msg.GetService())
	}
	return connect.NewResponse(response), err
}

// shiftMessage returns a load shift with the shards that currently hold its
// keys.
func (s *adminServer) shiftMessage(shift *controlstate.LoadShift) *quartzdockv1.LoadShift {
	info, _ := s.controller.state.ServiceByID(shift.Service)
	message := &quartzdockv1.LoadShift{
		Id:            shift.ID,
		Service:       info.Name,
		Start:         timestamppb.New(time.UnixMilli(shift.StartUnixMilli)),
		End:           timestamppb.New(time.UnixMilli(shift.EndUnixMilli)),
		ExpectedSlots: shift.ExpectedSlots,
		Author:        shift.Author,
	}
	for _, key := range shift.Keys {
		shard, _ := s.controller.state.ShardOfKey(shift.Service, key)
		message.Shards = append(message.Shards, uint32(shard.ID.Shard))
	}
	slices.Sort(message.Shards)
	message.Shards = slices.Compact(message.Shards)
	return message
}
