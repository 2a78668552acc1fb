package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/lab/deployment"
)

// author names the lab in the changes that it makes.
const author = "lab"

// callTimeout bounds one RPC; calls are repeated until the caller's context
// ends.
const callTimeout = 3 * time.Second

// Admin drives a fleet by RPC as operators do.
type Admin struct {
	clients  []quartzdockv1connect.AdminServiceClient
	turn     int
	sequence int
}

// Admin returns a client that tries the controllers in turn.
func (f *Fleet) Admin() *Admin {
	admin := &Admin{}
	for _, address := range f.ControllerRPCAddresses() {
		client := quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+address)
		admin.clients = append(admin.clients, client)
	}
	return admin
}

// call repeats a call at one controller after the other until it is answered
// or refused for good. A change is repeated with the same request id, so it is
// made once.
func call[Answer any](ctx context.Context, a *Admin,
	perform func(context.Context, quartzdockv1connect.AdminServiceClient) (Answer, error)) (Answer, error) {
	var nothing Answer
	var last error
	for {
		answer, err := attempt(ctx, a.clients[a.turn%len(a.clients)], perform)
		if err == nil {
			return answer, nil
		}
		last = err
		switch connect.CodeOf(err) {
		case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodeAlreadyExists,
			connect.CodeNotFound, connect.CodeUnimplemented, connect.CodeFailedPrecondition:
			return nothing, err
		}
		a.turn++
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nothing, fmt.Errorf("%w; last: %w", ctx.Err(), last)
		}
	}
}

func attempt[Answer any](ctx context.Context, client quartzdockv1connect.AdminServiceClient,
	perform func(context.Context, quartzdockv1connect.AdminServiceClient) (Answer, error)) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return perform(ctx, client)
}

// mutation returns the envelope of a new change on the newest configuration.
func (a *Admin) mutation(ctx context.Context) (*quartzdockv1.Mutation, error) {
	revision, err := a.Revision(ctx)
	if err != nil {
		return nil, err
	}
	a.sequence++
	return &quartzdockv1.Mutation{
		RequestId:        fmt.Sprintf("%s-%d-%d", author, time.Now().UnixNano(), a.sequence),
		ExpectedRevision: revision.GetConfigurationRevision(),
		Author:           author,
	}, nil
}

// Revision returns the newest revision.
func (a *Admin) Revision(ctx context.Context) (*quartzdockv1.GetRevisionResponse, error) {
	return call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
		*quartzdockv1.GetRevisionResponse, error) {
		return message(client.GetRevision(ctx, connect.NewRequest(&quartzdockv1.GetRevisionRequest{})))
	})
}

// message takes the message out of a response.
func message[Message any](response *connect.Response[Message], err error) (*Message, error) {
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Configure makes the services and back ends of a deployment.
func (a *Admin) Configure(ctx context.Context, d *deployment.Deployment, members []*Member) error {
	for _, service := range d.Services {
		if err := a.createService(ctx, service); err != nil {
			return fmt.Errorf("service %s: %w", service.Name, err)
		}
	}
	for _, member := range members {
		if err := a.CreateBackend(ctx, member); err != nil {
			return fmt.Errorf("back end %s: %w", member.Name, err)
		}
	}
	return nil
}

func (a *Admin) createService(ctx context.Context, service deployment.Service) error {
	mutation, err := a.mutation(ctx)
	if err != nil {
		return err
	}
	request := &quartzdockv1.CreateServiceRequest{Mutation: mutation, Service: serviceMessage(service)}
	_, err = call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
		*quartzdockv1.CreateServiceResponse, error) {
		return message(client.CreateService(ctx, connect.NewRequest(request)))
	})
	return err
}

// Bounds of placement in the lab.
const (
	labMinimumResidence = 5 * time.Second
	labRestartGrace     = 2 * time.Second
	labMovesPerMinute   = 60
	labMovesAtOnce      = 2
	labDrainLimit       = 20 * time.Second
)

// PlacementPolicy is the policy that the lab gives a service.
func PlacementPolicy(weights deployment.Weights) topology.PlacementPolicy {
	return topology.PlacementPolicy{
		Weights: topology.PlacementWeights{
			Imbalance: weights.Imbalance, Churn: weights.Churn, Unavailable: weights.Unavailable,
		},
		MinimumResidence: labMinimumResidence,
		MovesPerMinute:   labMovesPerMinute,
		MovesAtOnce:      labMovesAtOnce,
		RestartGrace:     labRestartGrace,
	}
}

func serviceMessage(service deployment.Service) *quartzdockv1.Service {
	policy := PlacementPolicy(service.Weights)
	return &quartzdockv1.Service{
		Name:          service.Name,
		InitialShards: service.Shards,
		DrainLimit:    durationpb.New(labDrainLimit),
		Rules:         ruleMessages(service),
		Placement: &quartzdockv1.PlacementPolicy{
			ImbalanceWeight:   policy.Weights.Imbalance,
			ChurnWeight:       policy.Weights.Churn,
			UnavailableWeight: policy.Weights.Unavailable,
			MinimumResidence:  durationpb.New(policy.MinimumResidence),
			MovesPerMinute:    policy.MovesPerMinute,
			MovesAtOnce:       policy.MovesAtOnce,
			RestartGrace:      durationpb.New(policy.RestartGrace),
		},
	}
}

// keySegment is the place of the key in /OPERATION/KEY.
const keySegment = 1

func ruleMessages(service deployment.Service) []*quartzdockv1.RequestRule {
	var rules []*quartzdockv1.RequestRule
	for _, operation := range service.Operations {
		rule := &quartzdockv1.RequestRule{
			Methods:       []string{operation.Method},
			PathPrefix:    "/" + operation.Name + "/",
			Class:         quartzdockv1.RequestClass_REQUEST_CLASS_LOOKUP,
			NonRepeatable: operation.NonRepeatable,
			Timeout:       durationpb.New(operation.Deadline),
		}
		if operation.Bulk {
			rule.Class = quartzdockv1.RequestClass_REQUEST_CLASS_BULK
		}
		if service.DividedByKey {
			rule.Key = &quartzdockv1.KeySource{
				Kind:  quartzdockv1.KeySourceKind_KEY_SOURCE_KIND_PATH_SEGMENT,
				Index: keySegment,
			}
		}
		rules = append(rules, rule)
	}
	return rules
}

// CreateBackend makes the back end of a member.
func (a *Admin) CreateBackend(ctx context.Context, member *Member) error {
	mutation, err := a.mutation(ctx)
	if err != nil {
		return err
	}
	request := &quartzdockv1.CreateBackendRequest{Mutation: mutation, Backend: &quartzdockv1.Backend{
		Service:      member.Service,
		Name:         member.Name,
		AgentAddress: member.AgentAddress,
		Slots:        member.settings.Backend.Slots,
		Connections:  member.settings.Backend.Connections,
		Location: &quartzdockv1.Location{
			Region: string(member.Location.Region),
			Zone:   string(member.Location.Zone),
		},
	}}
	_, err = call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
		*quartzdockv1.CreateBackendResponse, error) {
		return message(client.CreateBackend(ctx, connect.NewRequest(request)))
	})
	return err
}

// Drain begins to move everything away from a back end.
func (a *Admin) Drain(ctx context.Context, member *Member) error {
	mutation, err := a.mutation(ctx)
	if err != nil {
		return err
	}
	request := &quartzdockv1.DrainBackendRequest{Mutation: mutation, Service: member.Service, Name: member.Name}
	_, err = call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
		*quartzdockv1.DrainBackendResponse, error) {
		return message(client.DrainBackend(ctx, connect.NewRequest(request)))
	})
	return err
}

// Activate ends a drain.
func (a *Admin) Activate(ctx context.Context, member *Member) error {
	mutation, err := a.mutation(ctx)
	if err != nil {
		return err
	}
	request := &quartzdockv1.ActivateBackendRequest{Mutation: mutation, Service: member.Service, Name: member.Name}
	_, err = call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
		*quartzdockv1.ActivateBackendResponse, error) {
		return message(client.ActivateBackend(ctx, connect.NewRequest(request)))
	})
	return err
}

// Shards lists the shards of a service.
func (a *Admin) Shards(ctx context.Context, service string) ([]*quartzdockv1.Shard, error) {
	var shards []*quartzdockv1.Shard
	token := ""
	for {
		request := &quartzdockv1.ListShardsRequest{Service: service, PageToken: token}
		page, err := call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
			*quartzdockv1.ListShardsResponse, error) {
			return message(client.ListShards(ctx, connect.NewRequest(request)))
		})
		if err != nil {
			return nil, err
		}
		shards = append(shards, page.GetShards()...)
		if token = page.GetNextPageToken(); token == "" {
			return shards, nil
		}
	}
}

// Services lists all services.
func (a *Admin) Services(ctx context.Context) ([]*quartzdockv1.Service, error) {
	response, err := call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
		*quartzdockv1.ListServicesResponse, error) {
		return message(client.ListServices(ctx, connect.NewRequest(&quartzdockv1.ListServicesRequest{})))
	})
	if err != nil {
		return nil, err
	}
	return response.GetServices(), nil
}

// Controllers lists the members of the consensus group.
func (a *Admin) Controllers(ctx context.Context) ([]*quartzdockv1.Controller, error) {
	response, err := call(ctx, a, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient) (
		*quartzdockv1.ListControllersResponse, error) {
		return message(client.ListControllers(ctx, connect.NewRequest(&quartzdockv1.ListControllersRequest{})))
	})
	if err != nil {
		return nil, err
	}
	return response.GetControllers(), nil
}

// Leader returns the number, from zero, of the controller that leads.
func (a *Admin) Leader(ctx context.Context) (int, error) {
	for {
		controllers, err := a.Controllers(ctx)
		if err != nil {
			return 0, err
		}
		for _, controller := range controllers {
			if controller.GetLeader() {
				return int(controller.GetId()) - 1, nil
			}
		}
		a.turn++ // this one may be cut off from the others
		if err := pause(ctx); err != nil {
			return 0, errors.Join(errors.New("no controller leads"), err)
		}
	}
}

func pause(ctx context.Context) error {
	select {
	case <-time.After(pollInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settled says whether a shard is owned and not about to move.
func settled(shard *quartzdockv1.Shard) bool {
	return shard.GetPhase() == quartzdockv1.ShardPhase_SHARD_PHASE_OWNED && shard.GetOwner() != ""
}

// WaitOwned waits until every shard of the deployment has an owner and none
// moves.
func (a *Admin) WaitOwned(ctx context.Context, d *deployment.Deployment) error {
	for _, service := range d.Services {
		err := a.WaitShards(ctx, service.Name, settled)
		if err != nil {
			return fmt.Errorf("service %s: %w", service.Name, err)
		}
	}
	return nil
}

// WaitShards waits until a condition holds for all shards of a service.
func (a *Admin) WaitShards(ctx context.Context, service string, holds func(*quartzdockv1.Shard) bool) error {
	for {
		a.turn++ // a controller that is cut off from the others shows old owners
		shards, err := a.Shards(ctx, service)
		if err != nil {
			return err
		}
		var first *quartzdockv1.Shard
		for _, shard := range shards {
			if !holds(shard) {
				first = shard
				break
			}
		}
		if first == nil && len(shards) > 0 {
			return nil
		}
		if err := pause(ctx); err != nil {
			return fmt.Errorf("shard %d is %s, owner %q: %w", first.GetNumber(), first.GetPhase(), first.GetOwner(), err)
		}
	}
}

// OwnedBy says whether a member owns any shard of its service.
func (a *Admin) OwnedBy(ctx context.Context, member *Member) (int, error) {
	shards, err := a.Shards(ctx, member.Service)
	if err != nil {
		return 0, err
	}
	count := 0
	for _, shard := range shards {
		if shard.GetOwner() == member.Name {
			count++
		}
	}
	return count, nil
}
