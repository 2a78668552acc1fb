package command

import (
	"context"
	"crypto/tls"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/router"
	"github.com/quartzdock/quartzdock/internal/settings"
	"github.com/quartzdock/quartzdock/internal/tlsconfig"
)

// runRouter runs the router role.
func runRouter(ctx context.Context, p *process, config *settings.Router) error {
	callerTLS, err := callerTLS(p, config)
	if err != nil {
		return err
	}
	r, err := router.New(router.Config{
		Name:               config.Name,
		Group:              p.group(),
		Location:           config.Location(),
		Listen:             config.Listen,
		CallerTLS:          callerTLS,
		AgentTLS:           p.certificates.links(),
		ControllerTLS:      p.certificates.links(),
		Controllers:        config.Controllers,
		DefaultTimeout:     config.DefaultTimeout,
		HeaderTimeout:      config.HeaderTimeout,
		StallTimeout:       config.StallTimeout,
		PipelinedRequests:  config.PipelinedRequests,
		MaximumHeaderBytes: config.MaximumHeaderBytes,
		MaximumBodyBytes:   int64(config.MaximumBodyBytes),
		MaximumConnections: config.MaximumConnections,
		MaximumInFlight:    config.MaximumInFlight,
		HoldTimeout:        config.HoldTimeout,
		HoldRequests:       config.HoldRequests,
		HoldBytes:          int64(config.HoldBytes),
		RetryShare:         config.RetryShare,
		StaleAfter:         config.StaleAfter,
		DrainDelay:         config.DrainDelay,
		DrainLimit:         drainLimit(config.StopTimeout, config.DrainDelay),
		Log:                p.log,
		Registry:           p.registry,
	})
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	defer r.Close()
	p.setReady(r.Ready)
	return r.Serve(ctx)
}

const (
	// routerEnd is kept of stop-timeout for what a router does after its drain: it
	// counts what was cut off and closes its connections. An assumption: that
	// takes milliseconds.
	routerEnd = 500 * time.Millisecond
	// routerEndShare is the largest part of the time after drain-delay that is
	// kept, as 1 of routerEndShare.
	routerEndShare = 4
)

// drainLimit is how long a planned stop may wait for requests after DrainDelay.
func drainLimit(stopTimeout, drainDelay time.Duration) time.Duration {
	left := stopTimeout - drainDelay
	return left - min(routerEnd, left/routerEndShare)
}

// callerTLS returns the configuration of the callers' listener; nil is plain
// HTTP. Its files are reread with the others.
func callerTLS(p *process, config *settings.Router) (*tls.Config, error) {
	if config.CallerCertificateFile == "" {
		return nil, nil
	}
	store, err := p.certificates.open("callers", tlsconfig.Files{
		Certificate: config.CallerCertificateFile,
		Key:         config.CallerKeyFile,
	})
	if err != nil {
		return nil, err
	}
	return store.Server(), nil
}
