package controller

import (
	"context"
	"net"
	"net/http"
	"path"

	"connectrpc.com/connect"
	"github.com/go-chi/chi/v5"

	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/ops"
)

// maximumCallBytes bounds the message of a call.
const maximumCallBytes = 1 << 20

// adminServer answers operators' calls.
type adminServer struct{ controller *Controller }

var _ quartzdockv1connect.AdminServiceHandler = (*adminServer)(nil)

// newRPCServer serves the schema over Connect, gRPC and gRPC-Web. Without TLS
// it takes HTTP/2 in clear text as well, which gRPC clients need.
func (c *Controller) newRPCServer() *http.Server {
	router := chi.NewRouter()
	prefix, handler := quartzdockv1connect.NewAdminServiceHandler(
		&adminServer{controller: c},
		connect.WithReadMaxBytes(maximumCallBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(c.countCalls)),
	)
	router.Mount(prefix, handler)
	limits := ops.Limits{WriteTimeout: -1, ReadTimeout: -1, BodyBytes: maximumCallBytes}
	server := ops.NewHTTPServer(router, limits, c.config.OperatorTLS, c.log)
	server.BaseContext = func(net.Listener) context.Context { return c.calls }
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

func (c *Controller) serveRPC() {
	if err := ops.Serve(c.server, c.rpc); err != nil {
		c.log.Error("RPC listener ended", "error", err)
	}
}

// countCalls counts unary calls by procedure and outcome.
func (c *Controller) countCalls(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, request)
		code := "ok"
		if err != nil {
			code = connect.CodeOf(err).String()
		}
		c.metrics.calls.WithLabelValues(path.Base(request.Spec().Procedure), code).Inc()
		return response, err
	}
}

// read runs a function over the control state on the control goroutine.
func (s *adminServer) read(ctx context.Context, look func()) error {
	done := make(chan struct{})
	s.controller.replica.Post(func() {
		look()
		close(done)
	})
	select {
	case <-done:
		return nil
	case <-s.controller.stopping:
		return connect.NewError(connect.CodeUnavailable, errStopping)
	case <-ctx.Done():
		return connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
}
