// Package faults measures for how long keys cannot be served after each kind of
// fault. It runs a small fleet of real processes under probes, strikes with a
// fault at a random moment, waits for recovery, heals and strikes again.
package faults

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/fleet"
	"github.com/quartzdock/quartzdock/lab/ledger"
	"github.com/quartzdock/quartzdock/lab/load"
	"github.com/quartzdock/quartzdock/lab/pause"
)

// Config of a measurement.
type Config struct {
	// Kinds to measure; empty measures all of Kinds.
	Kinds []string
	// Seeds is how often each kind strikes.
	Seeds int
	// Output takes the table, in Markdown, and progress.
	Output io.Writer
	// Keep leaves the folder with logs and ledgers behind and prints its path.
	Keep bool
	// Arguments added to the command lines of controllers, routers and agents.
	ControllerArguments []string
}

// Times of a measurement.
const (
	// probeKeys are probed every probeInterval.
	probeKeys     = 18
	probeInterval = 20 * time.Millisecond
	probeDeadline = 2 * time.Second
	// quietTime is how long probes run before a strike and after recovery.
	quietTime = time.Second
	// strikeSpread is the period from which the moment of a strike is drawn,
	// several times the interval of lease renewals.
	strikeSpread = 500 * time.Millisecond
	// patience bounds every wait.
	patience = 40 * time.Second
)

// Run measures and prints one row per kind.
func Run(ctx context.Context, config Config) error {
	folder, err := os.MkdirTemp("", "quartzdock-faults-")
	if err != nil {
		return fmt.Errorf("faults: %w", err)
	}
	if config.Keep {
		fmt.Fprintf(config.Output, "logs and ledgers stay in %s\n", folder)
	} else {
		defer os.RemoveAll(folder)
	}
	binaries, err := fleet.Build(ctx, folder)
	if err != nil {
		return err
	}
	chosen, err := chooseKinds(config.Kinds)
	if err != nil {
		return err
	}
	printHeader(config.Output)
	for _, kind := range chosen {
		subfolder := filepath.Join(folder, kind.name)
		if err := os.Mkdir(subfolder, 0o755); err != nil {
			return fmt.Errorf("faults: %w", err)
		}
		measured, err := measure(ctx, config, kind, binaries, subfolder)
		if err != nil {
			return fmt.Errorf("%s: %w", kind.name, err)
		}
		measured.print(config.Output)
	}
	return nil
}

func chooseKinds(names []string) ([]kind, error) {
	if len(names) == 0 {
		return kinds, nil
	}
	var chosen []kind
	for _, name := range names {
		found := false
		for _, candidate := range kinds {
			if candidate.name == name {
				chosen = append(chosen, candidate)
				found = true
			}
		}
		if !found {
			return nil, fmt.Errorf("unknown kind of fault %q", name)
		}
	}
	return chosen, nil
}

// bench is a fleet under probes.
type bench struct {
	*fleet.Fleet
	ctx        context.Context
	deployment *deployment.Deployment
	random     *rand.Rand
}

// Deployment is what is measured: one service on three back ends.
func Deployment() *deployment.Deployment {
	small, err := deployment.Load("small")
	if err != nil {
		panic(err) // the built-in deployments are checked by a test
	}
	wayfinder := small.Services[0]
	const (
		backends = 3
		shards   = 18
		rate     = 0.5
	)
	wayfinder.Backends, wayfinder.Shards = backends, shards
	for index := range wayfinder.Operations {
		wayfinder.Operations[index].Rate *= rate
	}
	small.Services = []deployment.Service{wayfinder}
	return small
}

// measure strikes with one kind as often as there are seeds.
func measure(ctx context.Context, config Config, kind kind, binaries fleet.Binaries, folder string) (result, error) {
	d := Deployment()
	running, err := fleet.New(fleet.Config{
		Deployment: d, Binaries: binaries, Folder: folder, Proxied: true, Seed: 1,
		ControllerArguments: config.ControllerArguments,
	})
	if err != nil {
		return result{}, err
	}
	b := &bench{Fleet: running, ctx: ctx, deployment: d, random: rand.New(rand.NewPCG(1, 4))}
	measured, err := b.measure(kind, config.Seeds)
	return measured, errors.Join(err, running.Stop())
}

func (b *bench) measure(kind kind, seeds int) (result, error) {
	starting, cancel := context.WithTimeout(b.ctx, patience)
	defer cancel()
	if err := b.Start(starting); err != nil {
		return result{}, err
	}
	probing, stop := context.WithCancel(b.ctx)
	defer stop()
	var all sync.WaitGroup
	var probeErr, loadErr error
	all.Go(func() { probeErr = b.probe(probing) })
	all.Go(func() { loadErr = b.load(probing) })
	strikes, err := b.strikeRepeatedly(kind, seeds)
	stop()
	all.Wait()
	if err := errors.Join(err, probeErr, loadErr); err != nil {
		return result{}, err
	}
	return b.evaluate(kind, strikes)
}

func (b *bench) probe(ctx context.Context) error {
	return load.Probe(ctx, load.ProbeConfig{
		Routers: b.RouterAddresses(), Services: b.deployment.Services, Keys: probeKeys,
		Interval: probeInterval, Deadline: probeDeadline, Seed: 1, Ledger: b.CallerLedger("probe"),
	})
}

func (b *bench) load(ctx context.Context) error {
	_, err := load.Run(ctx, load.Config{
		Deployment: b.deployment, Routers: b.RouterAddresses(), Duration: time.Hour, Seed: 1,
		Ledger: b.CallerLedger("load"), Resends: 2, Caller: "faults",
	})
	return err
}

// strike is one fault that happened.
type strike struct {
	// concerned are the members whose keys are concerned; empty is all.
	concerned map[string]bool
	from, to  int64
}

func (b *bench) strikeRepeatedly(kind kind, seeds int) ([]strike, error) {
	var strikes []strike
	for range seeds {
		ctx, cancel := context.WithTimeout(b.ctx, patience)
		happened, err := b.strikeOnce(ctx, kind)
		cancel()
		if err != nil {
			return nil, err
		}
		strikes = append(strikes, happened)
	}
	return strikes, nil
}

func (b *bench) strikeOnce(ctx context.Context, kind kind) (strike, error) {
	spread := time.Duration(b.random.Float64() * float64(strikeSpread))
	if err := pause.For(ctx, quietTime+spread); err != nil {
		return strike{}, err
	}
	victim, err := b.victim(ctx)
	if err != nil {
		return strike{}, err
	}
	happened := strike{from: time.Now().UnixNano()}
	if !kind.concernsAll {
		happened.concerned = map[string]bool{victim.Name: true}
	}
	heal, err := kind.strike(ctx, b, victim)
	if err != nil {
		return strike{}, err
	}
	if err := pause.For(ctx, quietTime); err != nil {
		return strike{}, err
	}
	happened.to = time.Now().UnixNano()
	if err := heal(); err != nil {
		return strike{}, err
	}
	return happened, b.Admin().WaitOwned(ctx, b.deployment)
}

// victim draws a member that owns shards.
func (b *bench) victim(ctx context.Context) (*fleet.Member, error) {
	for _, index := range b.random.Perm(len(b.Members)) {
		owned, err := b.Admin().OwnedBy(ctx, b.Members[index])
		if err != nil {
			return nil, err
		}
		if owned > 0 {
			return b.Members[index], nil
		}
	}
	return nil, errors.New("no member owns a shard")
}

// awaitNewOwners waits until other members own all shards of one.
func (b *bench) awaitNewOwners(ctx context.Context, member *fleet.Member) error {
	return b.Admin().WaitShards(ctx, member.Service, func(shard *quartzdockv1.Shard) bool {
		return shard.GetPhase() == quartzdockv1.ShardPhase_SHARD_PHASE_OWNED && shard.GetOwner() != member.Name
	})
}

// evaluate takes the longest gap of each concerned key after each strike, and
// checks the promises.
func (b *bench) evaluate(kind kind, strikes []strike) (result, error) {
	probes, err := ledger.ReadCallers(b.CallerLedger("probe"))
	if err != nil {
		return result{}, err
	}
	callers, err := ledger.ReadCallers(b.CallerLedgers())
	if err != nil {
		return result{}, err
	}
	backends, err := ledger.ReadBackends(b.BackendLedgers())
	if err != nil {
		return result{}, err
	}
	measured := result{kind: kind, strikes: len(strikes), report: ledger.Check(callers, backends)}
	for _, strike := range strikes {
		owners := ledger.OwnersAt(backends, strike.from)
		period := ledger.Period{From: strike.from, To: strike.to}
		for _, gap := range ledger.LongestGaps(probes, probeInterval, period) {
			if strike.concerned == nil || strike.concerned[owners[gap.ProbedKey]] {
				measured.gaps = append(measured.gaps, gap.Length)
			}
		}
	}
	measured.countOutcomes(callers, backends, strikes)
	return measured, nil
}
