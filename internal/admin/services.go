package admin

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v4"
	"google.golang.org/protobuf/encoding/protojson"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
)

// rpc is short for use in method expressions.
type rpc = quartzdockv1connect.AdminServiceClient

// serviceCommands returns "service create|update|delete|list".
func (s *session) serviceCommands() *ff.Command {
	return s.newGroup("service", "create, change, delete and list services",
		s.createServiceCommand(), s.updateServiceCommand(), s.deleteServiceCommand(), s.listServicesCommand())
}

// createServiceCommand returns the command that creates a service from a file.
func (s *session) createServiceCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("create", "create a service described in a YAML file", []string{"FILE"}, m.declare,
		func(ctx context.Context, args []string) error {
			service, err := readService(args[0])
			if err != nil {
				return err
			}
			return change(ctx, s, &m, rpc.CreateService, func(mutation *quartzdockv1.Mutation) *quartzdockv1.CreateServiceRequest {
				return &quartzdockv1.CreateServiceRequest{Mutation: mutation, Service: service}
			})
		})
}

// updateServiceCommand returns the command that replaces the rules and the policy
// of a service.
func (s *session) updateServiceCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("update", "replace a service's description by that of a YAML file", []string{"FILE"}, m.declare,
		func(ctx context.Context, args []string) error {
			service, err := readService(args[0])
			if err != nil {
				return err
			}
			return change(ctx, s, &m, rpc.UpdateService, func(mutation *quartzdockv1.Mutation) *quartzdockv1.UpdateServiceRequest {
				return &quartzdockv1.UpdateServiceRequest{Mutation: mutation, Service: service}
			})
		})
}

// deleteServiceCommand returns the command that deletes a service without back
// ends.
func (s *session) deleteServiceCommand() *ff.Command {
	var m mutationFlags
	return s.newCommand("delete", "delete a service that has no back ends", []string{"SERVICE"}, m.declare,
		func(ctx context.Context, args []string) error {
			return change(ctx, s, &m, rpc.DeleteService, func(mutation *quartzdockv1.Mutation) *quartzdockv1.DeleteServiceRequest {
				return &quartzdockv1.DeleteServiceRequest{Mutation: mutation, Name: args[0]}
			})
		})
}

// listServicesCommand returns the command that lists the services.
func (s *session) listServicesCommand() *ff.Command {
	return s.newCommand("list", "list services", nil, nil, func(ctx context.Context, _ []string) error {
		response, err := read(ctx, s, rpc.ListServices, &quartzdockv1.ListServicesRequest{})
		if err != nil {
			return err
		}
		return s.print(response, func(out io.Writer) error {
			writeAge(out, response.GetAge())
			return serviceTable(response.GetServices()).write(out)
		})
	})
}

// readService reads a service from a YAML or JSON file with the field names of the
// schema. Unknown fields are rejected.
func readService(file string) (*quartzdockv1.Service, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUsage, err)
	}
	asJSON, err := yaml.YAMLToJSON(text)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUsage, file, err)
	}
	service := new(quartzdockv1.Service)
	if err := protojson.Unmarshal(asJSON, service); err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrUsage, file, err)
	}
	return service, nil
}
