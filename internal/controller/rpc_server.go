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

// maxMessageBytes limits the size of a request.
const maxMessageBytes = 1 << 20

// adminServer implements the admin RPC service for operators.
type adminServer struct{ controller *Controller }

var _ quartzdockv1connect.AdminServiceHandler = (*adminServer)(nil)

// newRPCServer returns a server for Connect, gRPC and gRPC-Web. Without TLS it
// also accepts unencrypted HTTP/2, which gRPC clients need.
func (c *Controller) newRPCServer() *http.Server {
	router := chi.NewRouter()
	prefix, handler := quartzdockv1connect.NewAdminServiceHandler(
		&adminServer{controller: c},
		connect.WithReadMaxBytes(maxMessageBytes),
		connect.WithInterceptors(connect.UnaryInterceptorFunc(c.countCalls)),
	)
	router.Mount(prefix, handler)
	limits := ops.Limits{WriteTimeout: -1, ReadTimeout: -1, BodyBytes: maxMessageBytes}
	server := ops.NewHTTPServer(router, limits, c.config.OperatorTLS, c.log)
	server.BaseContext = func(net.Listener) context.Context { return c.callsContext }
	server.Protocols = new(http.Protocols)
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetHTTP2(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	return server
}

func (c *Controller) serveRPC() {
	if err := ops.Serve(c.rpcServer, c.rpcListener); err != nil {
		c.log.Error("RPC server failed", "error", err)
	}
}

// countCalls counts unary calls by procedure and status code.
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

// readState runs view on the control goroutine, where it may read the control
// state, and waits for it.
func (s *adminServer) readState(ctx context.Context, view func()) error {
	done := make(chan struct{})
	s.controller.replica.Post(func() {
		view()
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
