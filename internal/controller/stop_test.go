package controller_test

import (
	"context"
	"net/http"
	"testing"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/controller"
)

// replicaWithoutQuorum is a replicated log whose other members are down: no
// proposal is ever committed.
type replicaWithoutQuorum struct {
	controller.Replicator
	proposed chan struct{}
}

func (w replicaWithoutQuorum) Propose(ctx context.Context, _ []byte) (any, error) {
	close(w.proposed)
	<-ctx.Done()
	return nil, controller.ErrOutcomeUnknown
}

// TestStopAnswersCallsInProgress: when most controllers stop at the same time,
// an operator's change waits for a quorum in vain. Stop must answer the call
// instead of closing its connection.
func TestStopAnswersCallsInProgress(t *testing.T) {
	proposed := make(chan struct{})
	running, err := controller.Start(controller.Config{
		Group: 1, SessionListen: "127.0.0.1:0", RPCListen: "127.0.0.1:0",
		Replicate: func(machine controller.StateMachine) (controller.Replicator, error) {
			single, err := newSingleReplica(machine)
			return replicaWithoutQuorum{single, proposed}, err
		},
	})
	assert.NilError(t, err)
	admin := quartzdockv1connect.NewAdminServiceClient(http.DefaultClient, "http://"+running.Addresses().RPC)
	answered := make(chan error, 1)
	go func() {
		_, err := admin.CreateService(context.Background(), connect.NewRequest(&quartzdockv1.CreateServiceRequest{
			Mutation: &quartzdockv1.Mutation{RequestId: "request-1", Author: "anna"},
			Service:  &quartzdockv1.Service{Name: "wayfinder", InitialShards: 4},
		}))
		answered <- err
	}()
	<-proposed
	stopped := running.Stop()
	err = <-answered
	assert.Assert(t, connect.IsWireError(err), "the error must come from the controller: %v", err)
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	assert.NilError(t, stopped)
}
