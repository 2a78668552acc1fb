package controller

import (
	"context"

	"connectrpc.com/connect"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// CreateService implements AdminServiceHandler.
func (s *adminServer) CreateService(ctx context.Context, request *connect.Request[quartzdockv1.CreateServiceRequest]) (*connect.Response[quartzdockv1.CreateServiceResponse], error) {
	service := serviceFromMessage(request.Msg.GetService())
	_, result, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		CreateService: &controlstate.CreateService{Service: service},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.CreateServiceResponse{
		Result:  result,
		Service: s.currentService(ctx, service),
	}), nil
}

// UpdateService implements AdminServiceHandler.
func (s *adminServer) UpdateService(ctx context.Context, request *connect.Request[quartzdockv1.UpdateServiceRequest]) (*connect.Response[quartzdockv1.UpdateServiceResponse], error) {
	service := serviceFromMessage(request.Msg.GetService())
	_, result, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		UpdateService: &controlstate.UpdateService{Service: service},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.UpdateServiceResponse{
		Result:  result,
		Service: s.currentService(ctx, service),
	}), nil
}

// currentService returns the service's current state, or the requested one if
// it does not exist, as after a dry run of its creation.
func (s *adminServer) currentService(ctx context.Context, requested topology.Service) *quartzdockv1.Service {
	info := controlstate.ServiceInfo{Service: requested}
	_ = s.readState(ctx, func() {
		if found, ok := s.controller.state.Service(requested.Name); ok {
			info = found
		}
	})
	return serviceMessage(&info)
}

// DeleteService implements AdminServiceHandler.
func (s *adminServer) DeleteService(ctx context.Context, request *connect.Request[quartzdockv1.DeleteServiceRequest]) (*connect.Response[quartzdockv1.DeleteServiceResponse], error) {
	_, result, err := s.mutate(ctx, request.Msg.GetMutation(), controlstate.Command{
		DeleteService: &controlstate.DeleteService{Name: request.Msg.GetName()},
	})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&quartzdockv1.DeleteServiceResponse{Result: result}), nil
}

// ListServices implements AdminServiceHandler.
func (s *adminServer) ListServices(ctx context.Context, _ *connect.Request[quartzdockv1.ListServicesRequest]) (*connect.Response[quartzdockv1.ListServicesResponse], error) {
	response := &quartzdockv1.ListServicesResponse{}
	err := s.readNewest(ctx, func(age *quartzdockv1.ReadAge) {
		response.Age = age
		for _, info := range s.controller.state.Services() {
			response.Services = append(response.Services, serviceMessage(&info))
		}
	})
	return connect.NewResponse(response), err
}
