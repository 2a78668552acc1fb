package command

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
	"github.com/quartzdock/quartzdock/internal/ops"
	"github.com/quartzdock/quartzdock/internal/settings"
	"github.com/quartzdock/quartzdock/internal/tlsconfig"
)

// errStarting is what /readyz answers until the role reports itself.
var errStarting = errors.New("starting")

// process is what every role runs in.
type process struct {
	role         string
	settings     *settings.Process
	log          *slog.Logger
	level        *slog.LevelVar
	registry     *prometheus.Registry
	certificates *tlsconfig.Store
	ready        atomic.Pointer[func() error]
}

// newProcess starts the log and the metrics and reads the certificates.
func newProcess(role string, common *settings.Process, logOut io.Writer) (*process, error) {
	level := new(slog.LevelVar)
	if err := ops.SetLevel(level, common.Log.Level); err != nil {
		return nil, err
	}
	p := &process{
		role:     role,
		settings: common,
		level:    level,
		log:      ops.NewLogger(logOut, level, common.Log.Format).With("role", role, "name", common.Name),
		registry: metrics.NewRegistry(role, common.Name),
	}
	p.setReady(func() error { return errStarting })
	if !common.TLS.Enabled() {
		return p, nil
	}
	store, err := tlsconfig.Open(tlsconfig.Config{
		Files: tlsconfig.Files{
			Certificate: common.TLS.CertificateFile,
			Key:         common.TLS.KeyFile,
			CA:          common.TLS.CAFile,
			OperatorCA:  common.TLS.OperatorCAFile,
		},
		PeerNames:  common.TLS.PeerNames,
		Registerer: p.registry,
		Log:        p.log,
	})
	if err != nil {
		return nil, fmt.Errorf("certificates: %w", err)
	}
	p.certificates = store
	return p, nil
}

// setReady replaces what /readyz asks.
func (p *process) setReady(ready func() error) { p.ready.Store(&ready) }

// linkTLS returns the configuration of links between processes; nil is plain.
func (p *process) linkTLS() *tls.Config {
	if p.certificates == nil {
		return nil
	}
	return p.certificates.Link()
}

// operatorTLS returns the configuration of the operators' listener.
func (p *process) operatorTLS() *tls.Config {
	if p.certificates == nil {
		return nil
	}
	return p.certificates.Operators()
}

// monitoringTLS returns the configuration of the listener for monitoring.
func (p *process) monitoringTLS() *tls.Config {
	if p.certificates == nil {
		return nil
	}
	return p.certificates.Server()
}

// run serves monitoring and the role until a planned stop. The listener for
// monitoring stays until the role has ended, so that a stop can be watched.
func (p *process) run(ctx context.Context, work func(context.Context) error, reload func()) error {
	server, err := ops.StartServer(ops.ServerConfig{
		Listen:   p.settings.Ops.Listen,
		Pprof:    p.settings.Ops.Pprof,
		TLS:      p.monitoringTLS(),
		Registry: p.registry,
		Ready:    func() error { return (*p.ready.Load())() },
		Log:      p.log,
	})
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	if p.certificates != nil {
		go p.certificates.Run(background, p.settings.TLS.ReloadInterval)
	}
	p.log.Info("started", "version", metrics.Version(), "monitoring", server.Address())
	err = ops.RunUntilSignal(ctx, ops.Lifecycle{
		Run:         work,
		Reload:      reload,
		StopTimeout: p.settings.StopTimeout,
		Log:         p.log,
	})
	return errors.Join(err, server.Stop(background))
}

// reloadCertificates reads the certificate files again, where there are any.
func (p *process) reloadCertificates() {
	if p.certificates == nil {
		return
	}
	if err := p.certificates.Reload(); err != nil {
		p.log.Error("certificate files refused; the previous ones stay in force", "error", err)
	}
}
