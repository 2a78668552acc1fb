package command

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
	"github.com/quartzdock/quartzdock/internal/ops"
	"github.com/quartzdock/quartzdock/internal/settings"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// errStarting is the error of /readyz until the role has set its readiness check.
var errStarting = errors.New("starting")

// process holds what all roles share.
type process struct {
	settings     *settings.Process
	log          *slog.Logger
	level        *slog.LevelVar
	registry     *prometheus.Registry
	certificates *certificates
	ready        atomic.Pointer[func() error]
}

// newProcess sets up the log and the metrics and loads the certificates.
func newProcess(role string, common *settings.Process, logOut io.Writer) (*process, error) {
	level := new(slog.LevelVar)
	if err := ops.SetLevel(level, common.Log.Level); err != nil {
		return nil, err
	}
	p := &process{
		settings: common,
		level:    level,
		log:      ops.NewLogger(logOut, level, common.Log.Format).With("role", role, "name", common.Name),
		registry: metrics.NewRegistry(role, common.Name),
	}
	p.setReady(func() error { return errStarting })
	p.certificates = &certificates{settings: &common.TLS, registry: p.registry, log: p.log}
	return p, p.certificates.openFleet()
}

// group returns the controller group that the process belongs to.
func (p *process) group() topology.GroupID { return topology.GroupID(p.settings.Group) }

// setReady sets the readiness check of /readyz.
func (p *process) setReady(ready func() error) { p.ready.Store(&ready) }

// run serves monitoring and runs the role until a planned stop. The listener for
// monitoring stays open until the role has ended, so that the shutdown can be
// observed.
func (p *process) run(ctx context.Context, work func(context.Context) error, reload func()) error {
	server, err := ops.StartServer(ops.ServerConfig{
		Listen:   p.settings.Ops.Listen,
		Pprof:    p.settings.Ops.Pprof,
		TLS:      p.certificates.monitoringTLS(),
		Registry: p.registry,
		Ready:    func() error { return (*p.ready.Load())() },
		Log:      p.log,
	})
	if err != nil {
		return err
	}
	background, stopBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer stopBackground()
	go p.certificates.reloadAtInterval(background)
	p.log.Info("started", "version", metrics.Version(), "monitoring", server.Address())
	err = ops.RunUntilSignal(ctx, ops.Lifecycle{
		Run:         work,
		Reload:      reload,
		StopTimeout: p.settings.StopTimeout,
		Log:         p.log,
	})
	return errors.Join(err, stopMonitoring(server))
}

// monitoringStopTimeout limits how long the end of a process waits for requests
// for monitoring. A scrape takes less; a profile may take minutes.
const monitoringStopTimeout = time.Second

// stopMonitoring closes the listener for monitoring. A request that is still
// running at the timeout is not an error of the process.
func stopMonitoring(server *ops.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), monitoringStopTimeout)
	defer cancel()
	if err := server.Stop(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return nil
}
