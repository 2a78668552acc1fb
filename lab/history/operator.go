package history

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/lab/pause"
)

const (
	// serviceName is the name of the service that all operators change.
	serviceName   = "register"
	initialShards = 4
	// changeTimeout is the time after which an operator stops resending a change
	// and records its outcome as unknown.
	changeTimeout = 3 * time.Second
	// readTimeout bounds one read. staleReadTimeout bounds a read that accepts
	// stale answers: an isolated controller first tries in vain to reach a quorum.
	readTimeout      = 400 * time.Millisecond
	staleReadTimeout = 5 * time.Second
	// attemptTimeout bounds one attempt of a change. shortAttemptTimeout makes it
	// likely that the answer is lost.
	attemptTimeout      = 500 * time.Millisecond
	shortAttemptTimeout = 4 * time.Millisecond
	retryDelay          = 10 * time.Millisecond
)

// Operator changes and reads the configuration, each time at a random
// controller, and records the operations.
type Operator struct {
	number   int
	clients  []quartzdockv1connect.AdminServiceClient
	recorder *Recorder
	random   *rand.Rand
	changes  int
	// lastRevision is the configuration's revision as last read.
	lastRevision uint64
}

// NewOperator returns the operator with the given number, which calls the
// controllers at the addresses ("IP:port").
func NewOperator(number int, addresses []string, recorder *Recorder, seed uint64) *Operator {
	o := &Operator{number: number, recorder: recorder, random: rand.New(rand.NewPCG(seed, uint64(number)))}
	for _, address := range addresses {
		o.clients = append(o.clients, quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+address))
	}
	return o
}

func (o *Operator) randomClient() quartzdockv1connect.AdminServiceClient {
	return o.clients[o.random.IntN(len(o.clients))]
}

// Run calls RunOnce until the context ends.
func (o *Operator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.RunOnce(ctx)
	}
}

// RunOnce reads, then makes a change with probability 2/3, then waits for a
// random time of at most retryDelay.
func (o *Operator) RunOnce(ctx context.Context) {
	o.Read(ctx, o.randomClient())
	if o.random.IntN(3) > 0 {
		o.change(ctx)
	}
	_ = pause.For(ctx, time.Duration(o.random.Int64N(int64(retryDelay))))
}

// Read reads the configuration's revision from one controller and records the
// answer if it is marked as linearizable. It returns whether it recorded one.
func (o *Operator) Read(ctx context.Context, client quartzdockv1connect.AdminServiceClient) bool {
	return o.read(ctx, client, readTimeout, false)
}

// ReadAcceptingStale is Read with a deliberate defect: it also records answers
// that are not marked as linearizable.
func (o *Operator) ReadAcceptingStale(ctx context.Context, client quartzdockv1connect.AdminServiceClient) bool {
	return o.read(ctx, client, staleReadTimeout, true)
}

func (o *Operator) read(ctx context.Context, client quartzdockv1connect.AdminServiceClient, timeout time.Duration, acceptStale bool) bool {
	called := o.recorder.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := client.GetRevision(ctx, connect.NewRequest(&quartzdockv1.GetRevisionRequest{}))
	if err != nil || (!response.Msg.GetAge().GetLinearizable() && !acceptStale) {
		return false
	}
	o.lastRevision = response.Msg.GetConfigurationRevision()
	o.recorder.Add(o.number, Input{}, called, Output{Outcome: ReadReturned, Revision: o.lastRevision, Author: response.Msg.GetAuthor()})
	return true
}

// Create creates the service that the operators change.
func (o *Operator) Create(ctx context.Context) error {
	return o.submit(ctx, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient, mutation *quartzdockv1.Mutation) (*quartzdockv1.MutationResult, error) {
		request := &quartzdockv1.CreateServiceRequest{
			Mutation: mutation, Service: &quartzdockv1.Service{Name: serviceName, InitialShards: initialShards},
		}
		response, err := client.CreateService(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg.GetResult(), nil
	})
}

// change sets the service's drain limit to a random value.
func (o *Operator) change(ctx context.Context) {
	service := &quartzdockv1.Service{
		Name: serviceName, InitialShards: initialShards,
		DrainLimit: durationpb.New(time.Duration(1+o.random.IntN(1000)) * time.Millisecond),
	}
	_ = o.submit(ctx, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient, mutation *quartzdockv1.Mutation) (*quartzdockv1.MutationResult, error) {
		request := &quartzdockv1.UpdateServiceRequest{Mutation: mutation, Service: service}
		response, err := client.UpdateService(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg.GetResult(), nil
	})
}

// sendFunc sends a change to a controller once.
type sendFunc func(context.Context, quartzdockv1connect.AdminServiceClient, *quartzdockv1.Mutation) (*quartzdockv1.MutationResult, error)

// submit sends a change until it is answered or changeTimeout has passed, and
// records it. The first attempt of every second change has such a short timeout
// that its answer may be lost. The error is that of the last attempt.
func (o *Operator) submit(ctx context.Context, send sendFunc) error {
	o.changes++
	author := fmt.Sprintf("operator-%d/%d", o.number, o.changes)
	mutation := &quartzdockv1.Mutation{RequestId: author, Author: author, ExpectedRevision: o.lastRevision}
	input := Input{Author: author, Expected: o.lastRevision}
	called := o.recorder.Now()
	timeout := attemptTimeout
	if o.changes%2 == 0 {
		timeout = shortAttemptTimeout
	}
	var lastErr error
	for o.recorder.Now()-called < changeTimeout && ctx.Err() == nil {
		output, err := attempt(ctx, timeout, o.randomClient(), mutation, send)
		if output.Outcome != 0 {
			o.recorder.Add(o.number, input, called, output)
			return nil
		}
		lastErr = err
		timeout = attemptTimeout
		_ = pause.For(ctx, retryDelay)
	}
	o.recorder.Add(o.number, input, called, Output{Outcome: Unknown})
	return lastErr
}

// attempt sends a change once. If the output has no outcome, the change may or
// may not have been applied.
func attempt(ctx context.Context, timeout time.Duration, client quartzdockv1connect.AdminServiceClient, mutation *quartzdockv1.Mutation, send sendFunc) (Output, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	result, err := send(ctx, client, mutation)
	if err == nil {
		return Output{Outcome: Accepted, Revision: result.GetRevision()}, nil
	}
	if conflict := conflictOf(err); conflict != nil {
		return Output{Outcome: Conflict, Revision: conflict.GetWinningRevision(), Author: conflict.GetWinningAuthor()}, nil
	}
	return Output{}, err
}

func conflictOf(err error) *quartzdockv1.RevisionConflict {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return nil
	}
	for _, detail := range failure.Details() {
		value, err := detail.Value()
		if conflict, ok := value.(*quartzdockv1.RevisionConflict); ok && err == nil {
			return conflict
		}
	}
	return nil
}
