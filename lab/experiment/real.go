package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/lab/deployment"
	"github.com/quartzdock/quartzdock/lab/fleet"
	"github.com/quartzdock/quartzdock/lab/ledger"
	"github.com/quartzdock/quartzdock/lab/load"
)

// Parameters of a run with real processes.
const (
	// realStartTimeout bounds the start of the fleet.
	realStartTimeout = 30 * time.Second
	// ownersInterval is how often owners are read.
	ownersInterval = 100 * time.Millisecond
	// realProbeKeys are probed each realProbeInterval.
	realProbeKeys     = 40
	realProbeInterval = 25 * time.Millisecond
	realProbeDeadline = time.Second
)

// reduced returns the deployment with its divided service alone, at a part of
// its rates.
func reduced(full *deployment.Deployment, rateFactor float64) (*deployment.Deployment, error) {
	service, found := dividedService(full)
	if !found {
		return nil, fmt.Errorf("deployment %s: no service is divided by key", full.Name)
	}
	service.Operations = slices.Clone(service.Operations)
	for index := range service.Operations {
		service.Operations[index].Rate *= rateFactor
	}
	made := *full
	// All processes of the real run stand on one machine.
	made.ZoneDistance, made.ClientDistance = 0, 0
	made.Services = []deployment.Service{service}
	return &made, nil
}

// realRun is one run of a scenario with real processes.
type realRun struct {
	scenario *Scenario
	service  deployment.Service
	fleet    *fleet.Fleet
	seed     uint64
	keys     *popularity

	began    time.Time
	measures realMeasures
	finding  error
}

// realMeasures are the measures that both kinds of run have.
type realMeasures struct {
	imbalance   timeWeighted
	owners      []uint32
	churnKeys   int
	outage      time.Duration
	summary     *load.Summary
	outageCount int
}

// runReal runs the scenario with real processes on loopback addresses.
func runReal(ctx context.Context, d *deployment.Deployment, scenario *Scenario, seed uint64) (*realMeasures, error) {
	folder, err := os.MkdirTemp("", "quartzdock-experiment-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	binaries, err := fleet.Build(ctx, folder)
	if err != nil {
		return nil, err
	}
	running, err := fleet.New(fleet.Config{Deployment: d, Binaries: binaries, Folder: folder})
	if err != nil {
		return nil, err
	}
	run := &realRun{
		scenario: scenario, service: d.Services[0], fleet: running, seed: seed, keys: newPopularity(d.Services[0].Keys),
	}
	err = run.perform(ctx, d)
	return &run.measures, errors.Join(err, running.Stop())
}

func (r *realRun) perform(ctx context.Context, d *deployment.Deployment) error {
	starting, cancel := context.WithTimeout(ctx, realStartTimeout)
	defer cancel()
	if err := r.fleet.Start(starting); err != nil {
		return err
	}
	r.began = time.Now()
	during, stop := context.WithTimeout(ctx, r.scenario.Duration)
	defer stop()
	var all sync.WaitGroup
	var loadErr, probeErr, eventErr error
	all.Go(func() {
		r.measures.summary, loadErr = load.Run(ctx, load.Config{
			Deployment: d, Routers: r.fleet.RouterAddresses(), Duration: r.scenario.Duration, Seed: r.seed, Caller: "experiment",
		})
	})
	all.Go(func() {
		probeErr = load.Probe(during, load.ProbeConfig{
			Routers: r.fleet.RouterAddresses(), Services: d.Services, Keys: realProbeKeys,
			Interval: realProbeInterval, Deadline: realProbeDeadline, Seed: r.seed, Ledger: r.fleet.CallerLedger("probe"),
		})
	})
	all.Go(func() { r.watchOwners(during) })
	eventErr = r.inject(during)
	all.Wait()
	return errors.Join(loadErr, probeErr, eventErr, r.finding, r.readOutages())
}

// inject lets the scenario's events happen.
func (r *realRun) inject(ctx context.Context) error {
	for _, event := range r.scenario.Events {
		select {
		case <-time.After(time.Until(r.began.Add(event.At))):
		case <-ctx.Done():
			return nil
		}
		if event.Kind != EventLose || event.Down != 0 {
			return fmt.Errorf("event %s: only a loss for good is possible with real processes", event.Kind)
		}
		member := r.fleet.Members[(event.Backend-1)%len(r.fleet.Members)]
		if err := errors.Join(member.Agent.Kill(), member.Backend.Kill()); err != nil {
			return err
		}
	}
	return nil
}

// watchOwners reads the owners of all shards until the run ends.
func (r *realRun) watchOwners(ctx context.Context) {
	admin := r.fleet.Admin()
	ticker := time.NewTicker(ownersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		shards, err := admin.Shards(ctx, r.service.Name)
		if err != nil {
			if ctx.Err() == nil {
				r.finding = err
			}
			return
		}
		owners := make([]uint32, len(r.keys.positions))
		for index, shard := range shards {
			end := topology.KeyHash(0)
			if index+1 < len(shards) {
				end = topology.KeyHash(shards[index+1].GetStart())
			}
			first, last := r.keys.between(topology.KeyHash(shard.GetStart()), end)
			for key := first; key < last; key++ {
				owners[key] = shard.GetOwnerId()
			}
		}
		r.observe(owners, time.Since(r.began))
	}
}

// observe compares the owners with those seen before.
func (r *realRun) observe(owners []uint32, now time.Duration) {
	m := &r.measures
	if now < r.scenario.Warmup {
		return
	}
	for key, owner := range owners {
		if m.owners != nil && m.owners[key] != owner {
			m.churnKeys++
		}
	}
	m.owners = owners
	m.imbalance.set(r.imbalance(owners, now), now)
}

// imbalance is the greatest over the mean load of the back ends that run.
func (r *realRun) imbalance(owners []uint32, now time.Duration) float64 {
	loads := make(map[uint32]float64)
	for key, owner := range owners {
		loads[owner] += r.keys.base[key]
	}
	members := len(r.fleet.Members)
	for _, event := range r.scenario.Events {
		if event.At <= now {
			members--
			delete(loads, uint32(event.Backend))
		}
	}
	greatest, total := 0.0, 0.0
	for _, load := range loads {
		greatest = max(greatest, load)
		total += load
	}
	return greatest * float64(members) / max(total, 1e-9)
}

// readOutages takes the median of the probed keys' gaps above longOutage.
func (r *realRun) readOutages() error {
	probes, err := ledger.ReadCallers(r.fleet.CallerLedger("probe"))
	if err != nil {
		return err
	}
	period := ledger.Period{
		From: r.began.Add(r.scenario.Warmup).UnixNano(), To: r.began.Add(r.scenario.Duration - realProbeDeadline).UnixNano(),
	}
	var outages []time.Duration
	for _, gap := range ledger.LongestGaps(probes, realProbeInterval, period) {
		if gap.Length > longOutage {
			outages = append(outages, gap.Length)
		}
	}
	slices.Sort(outages)
	r.measures.outage, r.measures.outageCount = quantile(outages, 0.5), len(outages)
	return nil
}

// compareReal runs the scenario in both ways and writes a table.
func compareReal(ctx context.Context, to io.Writer, config Config, rateFactor float64, seeds int) error {
	d, err := reduced(config.Deployment, rateFactor)
	if err != nil {
		return err
	}
	policy := fleet.PlacementPolicy(d.Services[0].Weights)
	config.Deployment, config.Placement = d, &policy
	var emulated []*Result
	for number := range max(1, seeds) {
		config.Seed += uint64(min(number, 1))
		result, err := Emulate(config)
		if err != nil {
			return err
		}
		emulated = append(emulated, result)
	}
	measured, err := runReal(ctx, d, config.Scenario, config.Seed)
	if err != nil {
		return err
	}
	return writeComparison(to, emulated, measured)
}

// writeComparison writes one line per measure: mean and range of the emulated
// runs, the real run, and the real one over the mean.
func writeComparison(to io.Writer, emulated []*Result, measured *realMeasures) error {
	imbalance, _ := measured.imbalance.summary()
	total := measured.summary.Total()
	rows := []struct {
		name  string
		value func(*Result) float64
		real  float64
	}{
		{"imbalance", func(r *Result) float64 { return r.Imbalance }, imbalance},
		{"keys moved", func(r *Result) float64 { return float64(r.ChurnKeys) }, float64(measured.churnKeys)},
		{"outage of a lost key, ms", func(r *Result) float64 { return r.OutageMillis }, millis(measured.outage)},
		{"request p50, ms", func(r *Result) float64 { return r.P50Millis }, millis(total.Percentile(50))},
		{"request p99, ms", func(r *Result) float64 { return r.P99Millis }, millis(total.Percentile(99))},
	}
	fmt.Fprintf(to, "%s, %s, %d emulated runs, 1 real run\n\n", emulated[0].Deployment, emulated[0].Scenario, len(emulated))
	fmt.Fprintln(to, "| measure | emulated | range | real | real / emulated |\n|---|--:|--:|--:|--:|")
	for _, row := range rows {
		var values []float64
		sum := 0.0
		for _, result := range emulated {
			values = append(values, row.value(result))
			sum += row.value(result)
		}
		mean := sum / float64(len(values))
		fmt.Fprintf(to, "| %s | %.2f | %.2f to %.2f | %.2f | %.2f |\n",
			row.name, mean, slices.Min(values), slices.Max(values), row.real, row.real/mean)
	}
	return nil
}
