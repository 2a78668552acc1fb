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
		AgentTLS:           p.certificates.linkTLS(),
		ControllerTLS:      p.certificates.linkTLS(),
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
	// routerShutdownReserve is the part of stop-timeout that is reserved for the
	// end of a router after its drain, in which it counts the interrupted requests
	// and closes its connections. This is assumed to take milliseconds.
	routerShutdownReserve = 500 * time.Millisecond
	// routerReserveDivisor limits the reserve to 1/routerReserveDivisor of the time
	// that is left after drain-delay.
	routerReserveDivisor = 4
)

// drainLimit returns how long a planned stop may wait for running requests after
// drainDelay.
func drainLimit(stopTimeout, drainDelay time.Duration) time.Duration {
	remaining := stopTimeout - drainDelay
	return remaining - min(routerShutdownReserve, remaining/routerReserveDivisor)
}

// callerTLS returns the configuration of the listener for callers; nil means plain
// HTTP. Its files are reloaded with the others.
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
