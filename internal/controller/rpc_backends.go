package controller

import (
	"context"

	"connectrpc.com/connect"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// CreateBackend implements AdminServiceHandler.
func (s *adminServer) CreateBackend(ctx context.Context, request *connect.Request[quartzdockv1.CreateBackendRequest]) (*connect.Response[quartzdockv1.CreateBackendResponse], error) {
	message := request.Msg.GetBackend()
	_, result, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		CreateBackend: &controlstate.CreateBackend{
			Service: message.GetService(),
			Backend: backendFromMessage(message),
		},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.CreateBackendResponse{
		Result:  result,
		Backend: s.currentBackend(ctx, message),
	}), nil
}

// UpdateBackend implements AdminServiceHandler.
func (s *adminServer) UpdateBackend(ctx context.Context, request *connect.Request[quartzdockv1.UpdateBackendRequest]) (*connect.Response[quartzdockv1.UpdateBackendResponse], error) {
	message := request.Msg.GetBackend()
	_, result, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		UpdateBackend: &controlstate.UpdateBackend{
			Service: message.GetService(),
			Backend: backendFromMessage(message),
		},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.UpdateBackendResponse{
		Result:  result,
		Backend: s.currentBackend(ctx, message),
	}), nil
}

// currentBackend returns the back end's current state, or the requested one if
// it does not exist, as after a dry run of its creation.
func (s *adminServer) currentBackend(ctx context.Context, requested *quartzdockv1.Backend) *quartzdockv1.Backend {
	found := requested
	_ = s.readState(ctx, func() {
		name := controlstate.BackendName{Service: requested.GetService(), Name: requested.GetName()}
		if info, ok := s.controller.state.BackendByName(name); ok {
			found = s.backendMessage(&info)
		}
	})
	return found
}

// DrainBackend implements AdminServiceHandler.
func (s *adminServer) DrainBackend(ctx context.Context, request *connect.Request[quartzdockv1.DrainBackendRequest]) (*connect.Response[quartzdockv1.DrainBackendResponse], error) {
	name := controlstate.BackendName{Service: request.Msg.GetService(), Name: request.Msg.GetName()}
	result, err := s.setBackendState(ctx, request.Msg.GetMutation(), name, topology.BackendDraining)
	if err != nil {
		return nil, err
	}
	response := &quartzdockv1.DrainBackendResponse{Result: result}
	err = s.readState(ctx, func() {
		info, _ := s.controller.state.BackendByName(name)
		response.OwnedShards = uint32(info.Owned)
	})
	return connect.NewResponse(response), err
}

// ActivateBackend implements AdminServiceHandler.
func (s *adminServer) ActivateBackend(ctx context.Context, request *connect.Request[quartzdockv1.ActivateBackendRequest]) (*connect.Response[quartzdockv1.ActivateBackendResponse], error) {
	name := controlstate.BackendName{Service: request.Msg.GetService(), Name: request.Msg.GetName()}
	result, err := s.setBackendState(ctx, request.Msg.GetMutation(), name, topology.BackendActive)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.ActivateBackendResponse{Result: result}), nil
}

func (s *adminServer) setBackendState(ctx context.Context, mutation *quartzdockv1.Mutation, name controlstate.BackendName, state topology.BackendState) (*quartzdockv1.MutationResult, error) {
	_, result, err := s.mutate(ctx, mutation, controlstate.Command{
		SetBackendState: &controlstate.SetBackendState{Backend: name, State: state},
	})
	return result, err
}

// RemoveBackend implements AdminServiceHandler.
func (s *adminServer) RemoveBackend(ctx context.Context, request *connect.Request[quartzdockv1.RemoveBackendRequest]) (*connect.Response[quartzdockv1.RemoveBackendResponse], error) {
	name := controlstate.BackendName{Service: request.Msg.GetService(), Name: request.Msg.GetName()}
	_, result, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		RemoveBackend: &controlstate.RemoveBackend{Backend: name},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.RemoveBackendResponse{Result: result}), nil
}

// ListBackends implements AdminServiceHandler.
func (s *adminServer) ListBackends(ctx context.Context, request *connect.Request[quartzdockv1.ListBackendsRequest]) (*connect.Response[quartzdockv1.ListBackendsResponse], error) {
	response := &quartzdockv1.ListBackendsResponse{}
	wanted := request.Msg.GetService()
	err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		response.Age = age
		for _, info := range s.controller.state.Backends() {
			message := s.backendMessage(&info)
			if wanted == "" || message.GetService() == wanted {
				response.Backends = append(response.Backends, message)
			}
		}
	})
	return connect.NewResponse(response), err
}
