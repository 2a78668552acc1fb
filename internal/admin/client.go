package admin

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"connectrpc.com/connect"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/api/quartzdock/v1/quartzdockv1connect"
	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/settings"
)

// retryInterval is the wait between two attempts of one call.
const retryInterval = 100 * time.Millisecond

// Timeouts of one attempt, so that a controller that does not answer cannot use up
// the timeout of the whole command.
const (
	dialTimeout    = time.Second
	attemptTimeout = 5 * time.Second
)

// Client calls the controllers. It retries at another one if a controller does not
// answer, and at the leader if a controller names it.
type Client struct {
	addresses []string
	scheme    string
	http      *http.Client
	// nextAddress is used for the next attempt.
	nextAddress string
	// attempts selects the next of addresses, in turn.
	attempts int
}

// NewClient returns a client for the controllers in the settings.
func NewClient(config *settings.Admin) (*Client, error) {
	client := &Client{addresses: config.Controllers, scheme: "http", nextAddress: config.Controllers[0]}
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		ForceAttemptHTTP2: true,
	}
	if config.CertificateFile != "" || config.CAFile != "" {
		secure, err := clientTLS(config)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig, client.scheme = secure, "https"
	}
	client.http = &http.Client{Transport: transport}
	return client, nil
}

// clientTLS loads the operator's certificate and the certificate authorities.
func clientTLS(config *settings.Admin) (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(config.CertificateFile, config.KeyFile)
	if err != nil {
		return nil, fmt.Errorf("operator's certificate: %w", err)
	}
	authorities, err := os.ReadFile(config.CAFile)
	if err != nil {
		return nil, fmt.Errorf("certificate authorities: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorities) {
		return nil, fmt.Errorf("certificate authorities %s: no certificate in PEM form found", config.CAFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
	}, nil
}

// service returns an RPC client for the address of the next attempt.
func (client *Client) service() quartzdockv1connect.AdminServiceClient {
	return quartzdockv1connect.NewAdminServiceClient(client.http, client.scheme+"://"+client.nextAddress)
}

// rpcMethod is a method expression of the generated RPC client.
type rpcMethod[Request, Response any] func(quartzdockv1connect.AdminServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// call sends a request, with retries, until a controller answers it or the context
// ends. Retrying a change is safe because it carries a request id.
func call[Request, Response any](ctx context.Context, client *Client, invoke rpcMethod[Request, Response], request *Request) (*Response, error) {
	var last error
	for {
		response, err := attempt(ctx, client, invoke, request)
		if err == nil {
			return response, nil
		}
		if ctx.Err() == nil || last == nil {
			last = err
		}
		if !client.prepareRetry(err) {
			return nil, err
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, last)
		case <-time.After(retryInterval):
		}
	}
}

// attempt sends a request once.
func attempt[Request, Response any](ctx context.Context, client *Client, invoke rpcMethod[Request, Response], request *Request) (*Response, error) {
	bounded, cancel := context.WithTimeout(ctx, max(attemptTimeout, requestedWait(request)+attemptTimeout))
	defer cancel()
	response, err := invoke(client.service(), bounded, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// requestedWait returns how long a request asks the controller to wait before it
// answers.
func requestedWait(request any) time.Duration {
	switch request := request.(type) {
	case interface{ GetMutation() *quartzdockv1.Mutation }:
		return request.GetMutation().GetWaitInForce().AsDuration()
	case *quartzdockv1.WaitInForceRequest:
		return request.GetTimeout().AsDuration()
	}
	return 0
}

// prepareRetry chooses the address of the next attempt. It returns false if the
// error is final, that is, a controller's answer that a retry would not change.
func (client *Client) prepareRetry(err error) bool {
	if leader := errorDetail[*quartzdockv1.NotLeader](err); leader != nil {
		if address := leader.GetLeaderRpcAddress(); address != "" && address != client.nextAddress {
			client.nextAddress = address
			return true
		}
	}
	code := connect.CodeOf(err)
	final := connect.IsWireError(err) && code != connect.CodeUnavailable && code != connect.CodeDeadlineExceeded
	if final {
		return false
	}
	client.attempts++
	client.nextAddress = client.addresses[client.attempts%len(client.addresses)]
	return true
}

// ErrNoAnswer is returned if no controller answers before the timeout. A change
// may or may not have been made.
var ErrNoAnswer = errors.New("no controller answered in time")

// errorDetail returns the first detail of type Detail in an RPC error, or nil.
func errorDetail[Detail any](err error) (none Detail) {
	var failure *connect.Error
	if !errors.As(err, &failure) {
		return none
	}
	for _, detail := range failure.Details() {
		message, err := detail.Value()
		if err != nil {
			continue
		}
		if typed, ok := message.(Detail); ok {
			return typed
		}
	}
	return none
}

// newRequestID returns a new random id for a change.
func newRequestID() string {
	var random [10]byte
	// crypto/rand.Read never fails; see its documentation.
	_, _ = rand.Read(random[:])
	return requestid.New(time.Now(), random).String()
}
