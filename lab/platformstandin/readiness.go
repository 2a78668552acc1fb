package platformstandin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

const (
	// readinessInterval is the time between two questions whether a machine is
	// ready. Taken from the time that the product gives callers to go elsewhere in a
	// planned stop: 2.2 s, which two questions and their answers must fit.
	readinessInterval = time.Second
	// readinessTimeout bounds a question.
	readinessTimeout = 500 * time.Millisecond
	// questionsToLeave is how many questions in a row must fail before callers make
	// no new connections to a machine.
	questionsToLeave = 2
	// idleConnections that callers keep open to a machine.
	idleConnections = 64
)

// ErrLeft says that callers make no new connections to a machine.
var ErrLeft = errors.New("the machine is not ready")

// openToCallers makes the clients of a machine's callers and of the back end
// beside it, which has no other gateway. Callers' connections that are open stay
// in use for as long as the machine keeps them; new ones are made unless the
// readiness has failed.
func (m *Machine) openToCallers() {
	dialer := &net.Dialer{}
	m.beside = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	m.client = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if m.left.Load() {
				return nil, ErrLeft
			}
			return dialer.DialContext(ctx, network, address)
		},
	}}
}

// WatchReadiness asks the machine whether it is ready until the context ends.
func (m *Machine) WatchReadiness(ctx context.Context) {
	asker := &http.Client{Timeout: readinessTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	failed := 0
	for pause.For(ctx, readinessInterval) == nil {
		if m.ready(ctx, asker) {
			failed = 0
		} else {
			failed++
		}
		m.left.Store(failed >= questionsToLeave)
	}
}

// ready asks the machine once.
func (m *Machine) ready(ctx context.Context, asker *http.Client) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(m.fleet.Ports.Ready)+"/", nil)
	if err != nil {
		return false
	}
	response, err := asker.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
