package hollow

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// author of the tool's changes.
	author = "fleet"
	// callLimit bounds one call with its repetitions.
	callLimit = 30 * time.Second
	// callPause is the wait before a call is repeated.
	callPause = 50 * time.Millisecond

	backendSlots       = 20
	backendConnections = 100
)

// operator makes the tool's changes through the operators' interface.
type operator struct {
	clients  []quartzdockv1connect.AdminServiceClient
	current  int
	revision uint64
}

func newOperator(addresses []string) *operator {
	o := &operator{}
	for _, address := range addresses {
		o.clients = append(o.clients, quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+address))
	}
	return o
}

// call repeats a call at the next controller while none is available.
func call[Request, Response any](ctx context.Context, o *operator, request *Request,
	method func(quartzdockv1connect.AdminServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	for {
		answer, err := method(o.clients[o.current], ctx, connect.NewRequest(request))
		if err == nil {
			return answer.Msg, nil
		}
		if connect.CodeOf(err) != connect.CodeUnavailable || ctx.Err() != nil {
			return nil, err
		}
		o.current = (o.current + 1) % len(o.clients)
		select {
		case <-time.After(callPause):
		case <-ctx.Done():
			return nil, errors.Join(err, ctx.Err())
		}
	}
}

// mutation is the part that all changes share.
func (o *operator) mutation() *quartzdockv1.Mutation {
	var random [10]byte
	_, _ = rand.Read(random[:]) // never fails, as its documentation says
	id := requestid.New(time.Now(), random)
	return &quartzdockv1.Mutation{RequestId: id.String(), ExpectedRevision: o.revision, Author: author}
}

// took keeps the revision of an accepted change for the next one.
func (o *operator) took(result *quartzdockv1.MutationResult) topology.Revision {
	o.revision = result.GetRevision()
	return topology.Revision(o.revision)
}

// createService makes a service.
func (o *operator) createService(ctx context.Context, service *quartzdockv1.Service) error {
	answer, err := call(ctx, o, &quartzdockv1.CreateServiceRequest{Mutation: o.mutation(), Service: service},
		quartzdockv1connect.AdminServiceClient.CreateService)
	if err != nil {
		return fmt.Errorf("create service %s: %w", service.Name, err)
	}
	o.took(answer.Result)
	return nil
}

// createBackend makes the back end beside an agent and returns its identity.
func (o *operator) createBackend(ctx context.Context, service string, spec NodeSpec) (topology.BackendID, error) {
	answer, err := call(ctx, o, &quartzdockv1.CreateBackendRequest{Mutation: o.mutation(), Backend: &quartzdockv1.Backend{
		Service: service,
		Name:    spec.Name,
		Location: &quartzdockv1.Location{
			Region: string(spec.Location.Region), Zone: string(spec.Location.Zone), Rack: string(spec.Location.Rack),
		},
		AgentAddress: spec.Address,
		Slots:        backendSlots,
		Connections:  backendConnections,
	}}, quartzdockv1connect.AdminServiceClient.CreateBackend)
	if err != nil {
		return 0, fmt.Errorf("create back end %s: %w", spec.Name, err)
	}
	o.took(answer.Result)
	return topology.BackendID(answer.Backend.GetId()), nil
}

// change makes one change of configuration and returns its revision.
func (o *operator) change(ctx context.Context, service *quartzdockv1.Service) (topology.Revision, error) {
	answer, err := call(ctx, o, &quartzdockv1.UpdateServiceRequest{Mutation: o.mutation(), Service: service},
		quartzdockv1connect.AdminServiceClient.UpdateService)
	if err != nil {
		return 0, fmt.Errorf("update service %s: %w", service.Name, err)
	}
	return o.took(answer.Result), nil
}

// markShift announces that keys run hot. It is no change of the configuration,
// so it goes by no revision.
func (o *operator) markShift(ctx context.Context, service string, keys []string, length time.Duration, slots float64) error {
	now := time.Now()
	mutation := o.mutation()
	mutation.ExpectedRevision = 0
	_, err := call(ctx, o, &quartzdockv1.MarkLoadShiftRequest{
		Mutation: mutation, Service: service, Keys: keys,
		Start: timestamppb.New(now), End: timestamppb.New(now.Add(length)), ExpectedSlots: slots,
	}, quartzdockv1connect.AdminServiceClient.MarkLoadShift)
	if err != nil {
		return fmt.Errorf("mark load shift of %s: %w", service, err)
	}
	return nil
}

// waitInForce waits until the controllers know that a revision is in force
// everywhere.
func (o *operator) waitInForce(ctx context.Context, revision topology.Revision) (everywhere bool, err error) {
	answer, err := call(ctx, o, &quartzdockv1.WaitInForceRequest{
		Revision: uint64(revision), Timeout: durationpb.New(callLimit / 2),
	}, quartzdockv1connect.AdminServiceClient.WaitInForce)
	if err != nil {
		return false, fmt.Errorf("wait for revision %d: %w", revision, err)
	}
	return answer.InForce.GetEverywhere(), nil
}

// committed is the newest committed revision.
func (o *operator) committed(ctx context.Context) (topology.Revision, error) {
	answer, err := call(ctx, o, &quartzdockv1.GetRevisionRequest{}, quartzdockv1connect.AdminServiceClient.GetRevision)
	if err != nil {
		return 0, fmt.Errorf("get revision: %w", err)
	}
	return topology.Revision(answer.Age.GetRevision()), nil
}

// leader is the index of the controller that leads.
func (o *operator) leader(ctx context.Context) (int, error) {
	answer, err := call(ctx, o, &quartzdockv1.ListControllersRequest{}, quartzdockv1connect.AdminServiceClient.ListControllers)
	if err != nil {
		return 0, fmt.Errorf("list controllers: %w", err)
	}
	for _, controller := range answer.Controllers {
		if controller.Leader {
			return int(controller.Id) - 1, nil
		}
	}
	return 0, errNoLeader
}

var errNoLeader = errors.New("no controller leads")
