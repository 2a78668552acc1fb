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

// Bounds of one attempt, so that a silent controller does not use up the
// whole time of a command.
const (
	dialTimeout    = time.Second
	attemptTimeout = 5 * time.Second
)

// Client calls the controllers, whichever of them answers or leads.
type Client struct {
	addresses []string
	scheme    string
	http      *http.Client
	// next is the address of the next attempt.
	next string
	// turn counts attempts at the listed addresses.
	turn int
}

// NewClient returns a client of the controllers in the settings.
func NewClient(config *settings.Admin) (*Client, error) {
	client := &Client{addresses: config.Controllers, scheme: "http", next: config.Controllers[0]}
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

// clientTLS reads the operator's certificate and the authorities.
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

// service returns the stub for the address of the next attempt.
func (client *Client) service() quartzdockv1connect.AdminServiceClient {
	return quartzdockv1connect.NewAdminServiceClient(client.http, client.scheme+"://"+client.next)
}

// method is one call of the schema, as a method expression of the stub.
type method[Request, Response any] func(quartzdockv1connect.AdminServiceClient, context.Context, *connect.Request[Request]) (*connect.Response[Response], error)

// call sends a request until a controller answers it or the context ends. A
// change carries a request id, so that sending it again is safe.
func call[Request, Response any](ctx context.Context, client *Client, invoke method[Request, Response], request *Request) (*Response, error) {
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
func attempt[Request, Response any](ctx context.Context, client *Client, invoke method[Request, Response], request *Request) (*Response, error) {
	bounded, cancel := context.WithTimeout(ctx, max(attemptTimeout, waitOf(request)+attemptTimeout))
	defer cancel()
	response, err := invoke(client.service(), bounded, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// waitOf returns how long the request asks the controller to wait.
func waitOf(request any) time.Duration {
	switch request := request.(type) {
	case interface{ GetMutation() *quartzdockv1.Mutation }:
		return request.GetMutation().GetWaitInForce().AsDuration()
	case *quartzdockv1.WaitInForceRequest:
		return request.GetTimeout().AsDuration()
	}
	return 0
}

// prepareRetry chooses the address of the next attempt; false means that the
// error is an answer and sending again would not change it.
func (client *Client) prepareRetry(err error) bool {
	if leader := detailOf[*quartzdockv1.NotLeader](err); leader != nil {
		if address := leader.GetLeaderRpcAddress(); address != "" && address != client.next {
			client.next = address
			return true
		}
	}
	code := connect.CodeOf(err)
	answered := connect.IsWireError(err) && code != connect.CodeUnavailable && code != connect.CodeDeadlineExceeded
	if answered {
		return false
	}
	client.turn++
	client.next = client.addresses[client.turn%len(client.addresses)]
	return true
}

// ErrNoAnswer says that no controller gave an answer in time. A change may or
// may not have been made.
var ErrNoAnswer = errors.New("no controller answered in time")

// detailOf returns the first detail of a type in an error, or nil.
func detailOf[Detail any](err error) (none Detail) {
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

// newRequestID returns a fresh id for a change.
func newRequestID() string {
	var random [10]byte
	// crypto/rand.Read never fails; see its documentation.
	_, _ = rand.Read(random[:])
	return requestid.New(time.Now(), random).String()
}
