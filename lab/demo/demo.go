// Package demo shows the whole system at work on one machine: it starts a small
// fleet of real processes, runs mixed load through it, ends the agent of one
// back end and the leading controller meanwhile, and checks the product's
// promises against the ledgers of callers and back ends.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/fleet"
	"github.com/quartzdock/quartzdock/lab/ledger"
	"github.com/quartzdock/quartzdock/lab/load"
)

// Config of a demonstration.
type Config struct {
	// Deployment is the name or path of the deployment.
	Deployment string
	// Duration of the load.
	Duration time.Duration
	// Seed of the load.
	Seed uint64
	// Keep leaves the folder with logs and ledgers behind and prints its path.
	Keep bool
	// Output takes the report.
	Output io.Writer
}

// ErrBroken means that something broke; the report says what.
var ErrBroken = errors.New("the demonstration found something broken")

// Probing of keys during the load.
const (
	probeKeys     = 12
	probeInterval = 25 * time.Millisecond
	probeDeadline = time.Second
)

// startTimeout bounds the start of the fleet and, at the end, the time until
// every shard has an owner again.
const startTimeout = 30 * time.Second

// Run runs the demonstration.
func Run(ctx context.Context, config Config) error {
	folder, err := os.MkdirTemp("", "quartzdock-demo-")
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if config.Keep {
		fmt.Fprintf(config.Output, "logs and ledgers stay in %s\n", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	d, err := deployment.Load(config.Deployment)
	if err != nil {
		return err
	}
	fmt.Fprintln(config.Output, "building ...")
	binaries, err := fleet.Build(ctx, folder)
	if err != nil {
		return err
	}
	running, err := fleet.New(fleet.Config{Deployment: d, Binaries: binaries, Folder: folder})
	if err != nil {
		return err
	}
	demonstration := &demonstration{config: config, deployment: d, fleet: running}
	return errors.Join(demonstration.run(ctx), running.Stop())
}

type demonstration struct {
	config     Config
	deployment *deployment.Deployment
	fleet      *fleet.Fleet
	latency    latencies
	faults     []fault
	summary    *load.Summary
}

// fault is one process that was ended.
type fault struct {
	what string
	// member is the back end whose keys the fault concerns; empty for all.
	member string
	at     time.Time
}

func (d *demonstration) run(ctx context.Context) error {
	if err := d.start(ctx); err != nil {
		return err
	}
	var err error
	if d.latency, err = measureLatency(ctx, d.fleet, d.deployment.Services[0]); err != nil {
		return err
	}
	before, err := d.epochs(ctx)
	if err != nil {
		return err
	}
	if err := d.loadWithFaults(ctx); err != nil {
		return err
	}
	ownedAgain := d.waitOwned(ctx)
	after, err := d.epochs(ctx)
	if err != nil {
		return err
	}
	return d.report(findings{ownerChanges: after - before, ownedAgain: ownedAgain})
}

func (d *demonstration) start(ctx context.Context) error {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	fmt.Fprintf(d.config.Output, "started %d controllers, %d routers, %d agents and %d back ends, configured by RPC, in %.1f s\n",
		len(d.fleet.Controllers), len(d.fleet.Routers), len(d.fleet.Members), len(d.fleet.Members),
		time.Since(started).Seconds())
	return nil
}

func (d *demonstration) waitOwned(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return d.fleet.Admin().WaitOwned(ctx, d.deployment)
}

// epochs adds up the epochs of all shards; the difference of two sums is how
// often a shard changed its owner.
func (d *demonstration) epochs(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	total := uint64(0)
	for _, service := range d.deployment.Services {
		shards, err := d.fleet.Admin().Shards(ctx, service.Name)
		if err != nil {
			return 0, err
		}
		for _, shard := range shards {
			total += shard.GetEpoch()
		}
	}
	return total, nil
}

// loadWithFaults offers the load and ends an agent after a quarter of its time
// and the leading controller after half of it.
func (d *demonstration) loadWithFaults(ctx context.Context) error {
	fmt.Fprintf(d.config.Output, "load for %s ...\n", d.config.Duration)
	probing, stopProbing := context.WithCancel(ctx)
	defer stopProbing()
	var all sync.WaitGroup
	var loadErr, probeErr error
	all.Go(func() {
		defer stopProbing()
		d.summary, loadErr = load.Run(ctx, load.Config{
			Deployment: d.deployment,
			Routers:    d.fleet.RouterAddresses(),
			Duration:   d.config.Duration,
			Seed:       d.config.Seed,
			Ledger:     d.fleet.CallerLedger("load"),
			Resends:    2,
			Caller:     "demo",
		})
	})
	all.Go(func() {
		probeErr = load.Probe(probing, load.ProbeConfig{
			Routers:  d.fleet.RouterAddresses(),
			Services: d.deployment.Services,
			Keys:     probeKeys,
			Interval: probeInterval,
			Deadline: probeDeadline,
			Seed:     d.config.Seed,
			Ledger:   d.fleet.CallerLedger("probe"),
		})
	})
	faultErr := d.injectFaults(ctx)
	all.Wait()
	return errors.Join(loadErr, probeErr, faultErr)
}

func (d *demonstration) injectFaults(ctx context.Context) error {
	if err := pause(ctx, d.config.Duration/4); err != nil {
		return err
	}
	victim := d.fleet.Members[0]
	if err := d.kill(victim.Agent, victim.Name); err != nil {
		return err
	}
	if err := pause(ctx, d.config.Duration/4); err != nil {
		return err
	}
	leader, err := d.fleet.Admin().Leader(ctx)
	if err != nil {
		return err
	}
	return d.kill(d.fleet.Controllers[leader], "")
}

func (d *demonstration) kill(process *fleet.Process, member string) error {
	at := time.Now()
	if err := process.Kill(); err != nil {
		return err
	}
	fmt.Fprintf(d.config.Output, "  killed %s\n", process.Name)
	d.faults = append(d.faults, fault{what: "kill " + process.Name, member: member, at: at})
	return nil
}

func pause(ctx context.Context, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ledgers reads what callers, probes and back ends recorded.
func (d *demonstration) ledgers() (callers, probes []ledger.CallerEntry, backends []ledger.BackendEntry, err error) {
	if callers, err = ledger.ReadCallers(d.fleet.CallerLedgers()); err != nil {
		return nil, nil, nil, err
	}
	if probes, err = ledger.ReadCallers(d.fleet.CallerLedger("probe")); err != nil {
		return nil, nil, nil, err
	}
	backends, err = ledger.ReadBackends(d.fleet.BackendLedgers())
	return callers, probes, backends, err
}
