package admin

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
)

// fakeController answers some calls and records the requests to drain.
type fakeController struct {
	quartzdockv1connect.UnimplementedAdminServiceHandler
	drains []*quartzdockv1.DrainBackendRequest
	// drain answers DrainBackend; call is the number of the call, from 1.
	drain func(call int) (*quartzdockv1.DrainBackendResponse, error)
}

func (f *fakeController) GetRevision(context.Context, *connect.Request[quartzdockv1.GetRevisionRequest]) (*connect.Response[quartzdockv1.GetRevisionResponse], error) {
	return connect.NewResponse(&quartzdockv1.GetRevisionResponse{
		Age: &quartzdockv1.ReadAge{Revision: 90}, ConfigurationRevision: 41, Author: "ebba",
	}), nil
}

func (f *fakeController) DrainBackend(_ context.Context, request *connect.Request[quartzdockv1.DrainBackendRequest]) (*connect.Response[quartzdockv1.DrainBackendResponse], error) {
	f.drains = append(f.drains, request.Msg)
	response, err := f.drain(len(f.drains))
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

func (f *fakeController) ListBackends(context.Context, *connect.Request[quartzdockv1.ListBackendsRequest]) (*connect.Response[quartzdockv1.ListBackendsResponse], error) {
	return connect.NewResponse(&quartzdockv1.ListBackendsResponse{
		Age: &quartzdockv1.ReadAge{Revision: 90, Linearizable: true},
		Backends: []*quartzdockv1.Backend{
			{Id: 1, Service: "wayfinder", Name: "w1", State: quartzdockv1.BackendState_BACKEND_STATE_ACTIVE, Live: true, LiveKnown: true, OwnedShards: 64,
				Slots: 20, Connections: 100, Location: &quartzdockv1.Location{Region: "se-west", Zone: "hall-1"}, AgentAddress: "127.0.0.1:7201", Revision: 7, Author: "ebba"},
			{Id: 2, Service: "wayfinder", Name: "w2", State: quartzdockv1.BackendState_BACKEND_STATE_DRAINING, LiveKnown: true},
		},
	}), nil
}

func (f *fakeController) Watch(ctx context.Context, request *connect.Request[quartzdockv1.WatchRequest], stream *connect.ServerStream[quartzdockv1.WatchResponse]) error {
	if request.Msg.GetAfterRevision() >= 2 {
		return connect.NewError(connect.CodePermissionDenied, errors.New("end of the test"))
	}
	next := request.Msg.GetAfterRevision() + 1
	return stream.Send(&quartzdockv1.WatchResponse{Revision: next, Snapshot: next == 1,
		Shards: []*quartzdockv1.Shard{{ServiceId: 1, Number: 9, Phase: quartzdockv1.ShardPhase_SHARD_PHASE_OWNED, Owner: "w1", Epoch: next}}})
}

// serve starts a controller and returns its "IP:port".
func serve(t *testing.T, handler quartzdockv1connect.AdminServiceHandler) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle(quartzdockv1connect.NewAdminServiceHandler(handler))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// run runs a command line and returns its output.
func run(arguments ...string) (string, error) {
	var out bytes.Buffer
	err := Command(&out).ParseAndRun(context.Background(), arguments)
	return out.String(), err
}

// errorWithDetail returns an RPC error with the given detail.
func errorWithDetail(code connect.Code, detail proto.Message) error {
	failure := connect.NewError(code, errors.New("refused"))
	typed, err := connect.NewErrorDetail(detail)
	if err != nil {
		panic(err)
	}
	failure.AddDetail(typed)
	return failure
}

func TestChangeReadsRevisionAndRetriesWithSameRequestID(t *testing.T) {
	controller := &fakeController{drain: func(call int) (*quartzdockv1.DrainBackendResponse, error) {
		if call < 3 {
			return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
		}
		return &quartzdockv1.DrainBackendResponse{Result: &quartzdockv1.MutationResult{Revision: 91}, OwnedShards: 3}, nil
	}}
	out, err := run("--rpc.controllers", serve(t, controller), "--author", "ebba", "backend", "drain", "wayfinder", "w1")
	assert.NilError(t, err)
	assert.Equal(t, len(controller.drains), 3)
	for _, sent := range controller.drains {
		assert.Equal(t, sent.GetMutation().GetExpectedRevision(), uint64(41))
		assert.Equal(t, sent.GetMutation().GetRequestId(), controller.drains[0].GetMutation().GetRequestId())
	}
	assert.Equal(t, controller.drains[0].GetMutation().GetAuthor(), "ebba")
	assert.Assert(t, strings.HasPrefix(out, "accepted at revision 91 (request "), out)
	assert.Assert(t, strings.Contains(out, "it still owns 3 shard(s)"), out)
}

func TestRetriesAtTheLeader(t *testing.T) {
	leader := &fakeController{drain: func(int) (*quartzdockv1.DrainBackendResponse, error) {
		return &quartzdockv1.DrainBackendResponse{Result: &quartzdockv1.MutationResult{Revision: 91, Repeated: true}}, nil
	}}
	leaderAddress := serve(t, leader)
	follower := &fakeController{drain: func(int) (*quartzdockv1.DrainBackendResponse, error) {
		return nil, errorWithDetail(connect.CodeUnavailable, &quartzdockv1.NotLeader{LeaderRpcAddress: leaderAddress})
	}}
	out, err := run("--rpc.controllers", serve(t, follower), "backend", "drain", "wayfinder", "w1", "--request-id", "r-1", "--expected-revision", "7")
	assert.NilError(t, err)
	assert.Equal(t, out, "already accepted at revision 91 (request r-1)\nit still owns 0 shard(s)\n")
	assert.Equal(t, leader.drains[0].GetMutation().GetExpectedRevision(), uint64(7))
}

func TestUnreachableControllerIsSkipped(t *testing.T) {
	out, err := run("--rpc.controllers", "127.0.0.1:1,"+serve(t, &fakeController{}), "revision")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, "configuration revision 41 by ebba"), out)
}

func TestErrorDetailsAreExplained(t *testing.T) {
	cases := map[string]struct {
		failure error
		want    []string
	}{
		"violations": {
			errorWithDetail(connect.CodeInvalidArgument, &quartzdockv1.FieldViolations{Violations: []*quartzdockv1.FieldViolation{
				{Field: "name", Description: "is empty"}, {Field: "service", Description: "is unknown"}}}),
			[]string{"nothing was changed:\n  name: is empty\n  service: is unknown"},
		},
		"lost race": {
			errorWithDetail(connect.CodeAborted, &quartzdockv1.RevisionConflict{ExpectedRevision: 41, WinningRevision: 42, WinningAuthor: "nils"}),
			[]string{"revision 41 was expected, but nils made revision 42 first"},
		},
		"reused id": {
			errorWithDetail(connect.CodeAlreadyExists, &quartzdockv1.RequestIDReused{RequestId: "r-1", FirstRevision: 12}),
			[]string{"request id r-1 was used by an unnamed operator at revision 12"},
		},
		"other": {connect.NewError(connect.CodeFailedPrecondition, errors.New("it owns 3 shards")), []string{"refused (failed precondition): it owns 3 shards"}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			controller := &fakeController{drain: func(int) (*quartzdockv1.DrainBackendResponse, error) { return nil, test.failure }}
			_, err := run("--rpc.controllers", serve(t, controller), "backend", "drain", "wayfinder", "w1")
			for _, want := range test.want {
				assert.ErrorContains(t, err, want)
			}
			assert.Equal(t, len(controller.drains), 1, "a final error must not be retried")
		})
	}
}

func TestUnknownOutcomeSuggestsRetryWithRequestID(t *testing.T) {
	controller := &fakeController{drain: func(int) (*quartzdockv1.DrainBackendResponse, error) {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no leader"))
	}}
	_, err := run("--rpc.controllers", serve(t, controller), "--timeout", "300ms", "backend", "drain", "wayfinder", "w1", "--request-id", "r-9")
	assert.ErrorIs(t, err, ErrNoAnswer)
	assert.ErrorContains(t, err, "repeat the command with --request-id r-9")
}

func TestCommandFailsIfChangeIsNotInForceEverywhere(t *testing.T) {
	controller := &fakeController{drain: func(int) (*quartzdockv1.DrainBackendResponse, error) {
		return &quartzdockv1.DrainBackendResponse{Result: &quartzdockv1.MutationResult{Revision: 91, InForce: &quartzdockv1.InForce{
			Revision: 91, Lagging: []*quartzdockv1.Subscriber{{Role: "router", Name: "r2", AppliedRevision: 88}}}}}, nil
	}}
	out, err := run("--rpc.controllers", serve(t, controller), "backend", "drain", "wayfinder", "w1", "--wait", "3s")
	assert.ErrorIs(t, err, ErrNotInForce)
	assert.Assert(t, strings.Contains(out, "r2"), out)
	assert.Equal(t, controller.drains[0].GetMutation().GetWaitInForce().AsDuration().String(), "3s")
}

func TestListPrintsTableOrJSON(t *testing.T) {
	address := serve(t, &fakeController{})
	out, err := run("--rpc.controllers", address, "backend", "list")
	assert.NilError(t, err)
	golden.Assert(t, out, "backends.golden")
	out, err = run("--rpc.controllers", address, "--json", "backend", "list", "--service", "wayfinder")
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(out, `"agent_address"`), out)
}

func TestWatchResumesAfterTheLastRevision(t *testing.T) {
	out, err := run("--rpc.controllers", serve(t, &fakeController{}), "watch")
	assert.ErrorContains(t, err, "end of the test")
	assert.Equal(t, strings.Count(out, "revision 1 state"), 1, out)
	assert.Equal(t, strings.Count(out, "revision 2 change"), 1, out)
}

func TestReadServiceRejectsUnknownFields(t *testing.T) {
	file := filepath.Join(t.TempDir(), "service.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("name: wayfinder\nshards: 4\n"), 0o600))
	_, err := run("service", "create", file)
	assert.ErrorIs(t, err, ErrUsage)
	assert.ErrorContains(t, err, `unknown field "shards"`)
}

func TestReadServiceAcceptsExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/service-*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		service, err := readService(file)
		assert.NilError(t, err)
		assert.Assert(t, service.GetName() != "" && service.GetInitialShards() > 0, file)
	}
}

// failingWriter is an output that cannot be written.
type failingWriter struct{ writes atomic.Int32 }

func (w *failingWriter) Write([]byte) (int, error) {
	w.writes.Add(1)
	return 0, errors.New("pipe closed")
}

func TestCommandFailsIfOutputCannotBeWritten(t *testing.T) {
	out := new(failingWriter)
	err := Command(out).ParseAndRun(context.Background(), []string{"--rpc.controllers", serve(t, &fakeController{}), "backend", "list"})
	assert.ErrorContains(t, err, "pipe closed")
}
