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
	// serviceName of the service that all operators change.
	serviceName = "register"
	shards      = 4
	// changeLimit is after which an operator gives a change up; its outcome is
	// then unknown.
	changeLimit = 3 * time.Second
	// readLimit bounds one read, and patientReadLimit one at a controller that
	// tries in vain to reach a quorum first.
	readLimit        = 400 * time.Millisecond
	patientReadLimit = 5 * time.Second
	// attemptLimit bounds one sending of a change, and hastyLimit that of an
	// operator whose answers get lost.
	attemptLimit = 500 * time.Millisecond
	hastyLimit   = 4 * time.Millisecond
	retryPause   = 10 * time.Millisecond
)

// Operator makes changes and reads of the configuration, each at a controller
// drawn at random, and records them.
type Operator struct {
	number   int
	clients  []quartzdockv1connect.AdminServiceClient
	recorder *Recorder
	random   *rand.Rand
	changes  int
	// seen is the configuration's revision as last read.
	seen uint64
}

// NewOperator returns operator number of those who call the controllers at the
// addresses, "IP:port".
func NewOperator(number int, addresses []string, recorder *Recorder, seed uint64) *Operator {
	o := &Operator{number: number, recorder: recorder, random: rand.New(rand.NewPCG(seed, uint64(number)))}
	for _, address := range addresses {
		o.clients = append(o.clients, quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+address))
	}
	return o
}

func (o *Operator) anyClient() quartzdockv1connect.AdminServiceClient {
	return o.clients[o.random.IntN(len(o.clients))]
}

// Run reads and changes in turn until the context ends.
func (o *Operator) Run(ctx context.Context) {
	for ctx.Err() == nil {
		o.Once(ctx)
	}
}

// Once reads, makes a change in two of three cases and rests a little.
func (o *Operator) Once(ctx context.Context) {
	o.Read(ctx, o.anyClient())
	if o.random.IntN(3) > 0 {
		o.change(ctx)
	}
	_ = pause.For(ctx, time.Duration(o.random.Int64N(int64(retryPause))))
}

// Read asks one controller for the configuration's revision and records the
// answer if it claims to be the newest. It reports whether it was recorded.
func (o *Operator) Read(ctx context.Context, client quartzdockv1connect.AdminServiceClient) bool {
	return o.read(ctx, client, readLimit, false)
}

// ReadTrustingAll is Read with a defect: it records old answers as well.
func (o *Operator) ReadTrustingAll(ctx context.Context, client quartzdockv1connect.AdminServiceClient) bool {
	return o.read(ctx, client, patientReadLimit, true)
}

func (o *Operator) read(ctx context.Context, client quartzdockv1connect.AdminServiceClient, limit time.Duration, trustAll bool) bool {
	called := o.recorder.Now()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := client.GetRevision(ctx, connect.NewRequest(&quartzdockv1.GetRevisionRequest{}))
	if err != nil || (!response.Msg.GetAge().GetLinearizable() && !trustAll) {
		return false
	}
	o.seen = response.Msg.GetConfigurationRevision()
	o.recorder.Add(o.number, Input{}, called, Output{Outcome: Seen, Revision: o.seen, Author: response.Msg.GetAuthor()})
	return true
}

// Create makes the service that the operators change.
func (o *Operator) Create(ctx context.Context) error {
	return o.make(ctx, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient, mutation *quartzdockv1.Mutation) (*quartzdockv1.MutationResult, error) {
		request := &quartzdockv1.CreateServiceRequest{
			Mutation: mutation, Service: &quartzdockv1.Service{Name: serviceName, InitialShards: shards},
		}
		response, err := client.CreateService(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg.GetResult(), nil
	})
}

// change replaces the drain limit by another value.
func (o *Operator) change(ctx context.Context) {
	service := &quartzdockv1.Service{
		Name: serviceName, InitialShards: shards,
		DrainLimit: durationpb.New(time.Duration(1+o.random.IntN(1000)) * time.Millisecond),
	}
	_ = o.make(ctx, func(ctx context.Context, client quartzdockv1connect.AdminServiceClient, mutation *quartzdockv1.Mutation) (*quartzdockv1.MutationResult, error) {
		request := &quartzdockv1.UpdateServiceRequest{Mutation: mutation, Service: service}
		response, err := client.UpdateService(ctx, connect.NewRequest(request))
		if err != nil {
			return nil, err
		}
		return response.Msg.GetResult(), nil
	})
}

// send is one sending of a change to a controller.
type send func(context.Context, quartzdockv1connect.AdminServiceClient, *quartzdockv1.Mutation) (*quartzdockv1.MutationResult, error)

// make sends a change until it is answered or the limit is over, and records it.
// The first sending of every other change is given up so soon that its answer
// may be lost. The error is that of the last sending.
func (o *Operator) make(ctx context.Context, send send) error {
	o.changes++
	author := fmt.Sprintf("operator-%d/%d", o.number, o.changes)
	mutation := &quartzdockv1.Mutation{RequestId: author, Author: author, ExpectedRevision: o.seen}
	input := Input{Author: author, Expected: o.seen}
	called := o.recorder.Now()
	limit := attemptLimit
	if o.changes%2 == 0 {
		limit = hastyLimit
	}
	var last error
	for o.recorder.Now()-called < changeLimit && ctx.Err() == nil {
		output, err := attempt(ctx, limit, o.anyClient(), mutation, send)
		if output.Outcome != 0 {
			o.recorder.Add(o.number, input, called, output)
			return nil
		}
		last = err
		limit = attemptLimit
		_ = pause.For(ctx, retryPause)
	}
	o.recorder.Add(o.number, input, called, Output{Outcome: Unknown})
	return last
}

// attempt sends a change once. Without an outcome the change may have been made
// or not.
func attempt(ctx context.Context, limit time.Duration, client quartzdockv1connect.AdminServiceClient, mutation *quartzdockv1.Mutation, send send) (Output, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
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
