package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// Config of a soak.
type Config struct {
	Seed     uint64
	Duration time.Duration
	// Program is the binary of the users' platform; empty builds it.
	Program string
	// Kinds to draw from; none is all.
	Kinds []string
	// Grants is how keyed back ends get their keys, in the platform's words; empty
	// is ByCall.
	Grants Grants
	// Size of the fleet, and MeanPause between two strikes; zeros are the usual ones.
	Size      Size
	MeanPause time.Duration
	// Ending is how many distinct requests end each back end that begins them.
	Ending int
	// JSON writes the report as JSON.
	JSON bool
	// KeepIn is the folder in which the logs of a failing seed are kept.
	KeepIn string
	Output io.Writer
}

// Grants is how keyed back ends get their keys, in the platform's words.
type Grants string

// Ways of granting keys.
const (
	ByCall      Grants = "call"
	ByHeartbeat Grants = "heartbeat"
)

// check refuses other words.
func (g Grants) check() error {
	if g != ByCall && g != ByHeartbeat {
		return fmt.Errorf("keys are granted by %q or %q, not by %q", ByCall, ByHeartbeat, g)
	}
	return nil
}

// Report is what a soak has found.
type Report struct {
	Seed       uint64   `json:"seed"`
	Grants     Grants   `json:"grants"`
	DurationMS int64    `json:"duration_ms"`
	Strikes    []Strike `json:"strikes"`
	Sent       int64    `json:"requests_sent"`
	// LookUps are calls that back ends made while at work; the counts below have
	// them too.
	LookUps  int64 `json:"calls_of_back_ends"`
	Answered int64 `json:"answered"`
	NotRun   int64 `json:"not_run"`
	Unknown  int64 `json:"unknown"`
	Lost     int64 `json:"connections_lost"`
	// Lines are those of requests sent ahead of which at least one was answered.
	Lines    int64 `json:"lines"`
	Repeats  int   `json:"runs_repeated"`
	Versions int   `json:"configurations_accepted"`
	// Stops are planned stops, AtOnce how many of them were under way together at
	// most, and LongestStopMS how long the longest lasted.
	Stops         int   `json:"planned_stops"`
	AtOnce        int   `json:"planned_stops_at_once"`
	LongestStopMS int64 `json:"longest_stop_ms"`
	// Cuts are runs whose connection went away while the back end was at work, for
	// whatever cause; Excused are requests that planned stops had to do with and the
	// rules let go without an answer of their back end.
	Cuts    int `json:"runs_cut"`
	Excused int `json:"stops_excused"`
	// EndedUnder are the ends of back ends under requests that end each that begins them,
	// and MostEndedUnder those under one of them at most.
	EndedUnder     int `json:"ended_under_requests"`
	MostEndedUnder int `json:"ended_under_one_request_at_most"`
	// Gateways and Controllers are the fleet's processes; PeakMemoryBytes is the sum of
	// the machines' peaks of resident memory, ProcessorMS the processor time of all.
	Gateways        int   `json:"gateways"`
	Controllers     int   `json:"controllers"`
	PeakMemoryBytes int64 `json:"peak_memory_bytes"`
	ProcessorMS     int64 `json:"processor_ms"`
	// Stalls are when the soak itself stood still, which excuses nothing.
	Stalls         []Stall `json:"stalls_of_the_soak"`
	LongestStallMS int64   `json:"longest_stall_ms"`
	// Violations are the broken promises.
	Violations []string `json:"violations"`
	// Logs is where the processes' logs are, for a failing seed.
	Logs string `json:"logs,omitempty"`
}

// ErrBroken says that a promise was broken.
var ErrBroken = errors.New("promises were broken")

// Run soaks a fleet and reports.
func Run(ctx context.Context, config Config) error {
	report, err := Soak(ctx, config)
	if err != nil {
		return err
	}
	if err := report.write(config.Output, config.JSON); err != nil {
		return err
	}
	if len(report.Violations) > 0 {
		return fmt.Errorf("seed %d: %w", config.Seed, ErrBroken)
	}
	return nil
}

// Soak runs a fleet under the strikes of a seed.
func Soak(ctx context.Context, config Config) (*Report, error) {
	config.Grants = cmp.Or(config.Grants, ByCall)
	if err := config.Grants.check(); err != nil {
		return nil, err
	}
	if err := config.Size.check(); err != nil {
		return nil, err
	}
	config.Size, config.MeanPause = config.Size.orDefault(), cmp.Or(config.MeanPause, meanPause)
	if config.MeanPause < 0 {
		return nil, fmt.Errorf("a pause of %v between two strikes", config.MeanPause)
	}
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(folder)
	if config.Program == "" {
		config.Program = filepath.Join(folder, "quartzdock-node")
		build := exec.CommandContext(ctx, "go", "build", "-o", config.Program, "./platform/cmd/quartzdock-node")
		if output, err := build.CombinedOutput(); err != nil {
			return nil, fmt.Errorf("build: %w: %s", err, output)
		}
	}
	report, err := soak(ctx, config, folder)
	if err == nil && len(report.Violations) > 0 && config.KeepIn != "" {
		report.Logs, err = keepLogs(folder, filepath.Join(config.KeepIn, fmt.Sprintf("seed-%d", config.Seed)))
	}
	return report, err
}

func soak(ctx context.Context, config Config, folder string) (*Report, error) {
	still := newStalls(time.Now())
	watching, watched := context.WithCancel(ctx)
	defer watched()
	go still.watch(watching)
	strikes := draw(config.Seed, config.Duration, config.MeanPause, kindsOf(config.Kinds))
	f, err := startFleet(ctx, config, folder, config.Size.services(strikes))
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return nil, err
	}
	go f.WatchUsage(watching)
	operators := &operator{fleet: f}
	if err := operators.first(ctx); err != nil {
		return nil, err
	}
	clients := f.callers
	if err := f.awaitServed(ctx, clients.next); err != nil {
		return nil, err
	}
	running, end := context.WithTimeout(ctx, config.Duration)
	defer end()
	var work sync.WaitGroup
	work.Go(func() { clients.run(running, config.Seed) })
	work.Go(func() { clients.runLines(running, config.Seed) })
	work.Go(func() { operators.run(running) })
	work.Go(func() { f.ending.run(running, config.Seed) })
	for _, gateway := range f.gateways {
		work.Go(func() { gateway.machine.WatchReadiness(running) })
	}
	struck := f.strikeAllOf(running, strikes)
	work.Wait()
	if struck != nil {
		return nil, struck
	}
	// What was struck comes back, and what was acknowledged is still there.
	if err := f.awaitServed(ctx, clients.next); err != nil && ctx.Err() == nil {
		f.Ledger.Broken("after the strikes: %v", err)
	}
	operators.verify(ctx)
	f.checkMemory()
	report := f.report(config, strikes, clients, operators)
	var longest time.Duration
	report.Stalls, longest = still.told()
	report.LongestStallMS = longest.Milliseconds()
	return report, ctx.Err()
}

// strikeAllOf does each strike at its time, and returns when all have ended.
func (f *fleet) strikeAllOf(ctx context.Context, strikes []Strike) error {
	began := time.Now()
	var all sync.WaitGroup
	failed := make(chan error, len(strikes))
	for _, strike := range strikes {
		if pause.For(ctx, strike.At-time.Since(began)) != nil {
			break
		}
		all.Go(func() {
			if err := f.strike(strike); err != nil {
				failed <- fmt.Errorf("%v: %w", strike, err)
			}
		})
	}
	all.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

func kindsOf(names []string) []Kind {
	var only []Kind
	for _, name := range names {
		only = append(only, Kind(name))
	}
	return only
}

func (f *fleet) report(config Config, strikes []Strike, clients *callers, operators *operator) *Report {
	_, repeats := f.Ledger.Totals()
	excused := clients.checkStops()
	used := f.Usage()
	endedUnder, mostEndedUnder := f.ending.check()
	return &Report{
		EndedUnder: endedUnder, MostEndedUnder: mostEndedUnder,
		Seed: config.Seed, Grants: config.Grants, DurationMS: config.Duration.Milliseconds(), Strikes: strikes,
		Sent: clients.counts.sent.Load(), LookUps: clients.counts.lookUps.Load(), Answered: clients.counts.answered.Load(), NotRun: clients.counts.notRun.Load(),
		Unknown: clients.counts.unknown.Load(), Lost: clients.counts.lost.Load(), Lines: clients.counts.lines.Load(),
		Repeats: repeats, Versions: operators.accepted, Stops: len(f.Timeline.Stops()), AtOnce: f.Timeline.StopsAtOnce(), LongestStopMS: f.Timeline.LongestStop().Milliseconds(),
		Cuts: f.Ledger.Cuts(), Excused: excused,
		Gateways: len(f.gateways), Controllers: len(f.controllers), PeakMemoryBytes: used.PeakMemory, ProcessorMS: used.Processor.Milliseconds(),
		Violations: f.Ledger.Violations(),
	}
}

func (r *Report) write(out io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	_, err := fmt.Fprintf(out, "seed %d, keys by %s: %d strikes, %d requests and %d calls of back ends (%d answered, %d not run, %d unknown, %d without an answer), %d lines of requests sent ahead, %d runs repeated, %d planned stops (%d at once, %d ms at most), %d runs cut, %d excused in planned stops, %d ended under requests (%d under one at most), %d configurations, %d gateways and %d controllers (%d MB at peak, %.1f processor seconds), the soak itself stood still %d times (%d ms at most), %d promises broken\n",
		r.Seed, r.Grants, len(r.Strikes), r.Sent, r.LookUps, r.Answered, r.NotRun, r.Unknown, r.Lost, r.Lines, r.Repeats, r.Stops, r.AtOnce, r.LongestStopMS, r.Cuts, r.Excused, r.EndedUnder, r.MostEndedUnder, r.Versions,
		r.Gateways, r.Controllers, r.PeakMemoryBytes>>20, (time.Duration(r.ProcessorMS) * time.Millisecond).Seconds(), len(r.Stalls), r.LongestStallMS, len(r.Violations))
	for _, stall := range r.Stalls {
		if err == nil {
			_, err = fmt.Fprintf(out, "  stood still: from %v for %v\n", stall.From.Round(time.Millisecond), stall.For.Round(time.Millisecond))
		}
	}
	for _, violation := range r.Violations {
		if err == nil {
			_, err = fmt.Fprintln(out, "  broken:", violation)
		}
	}
	return err
}

// keepLogs copies the processes' logs.
func keepLogs(from, to string) (string, error) {
	if err := os.MkdirAll(to, 0o755); err != nil {
		return "", err
	}
	logs, err := filepath.Glob(filepath.Join(from, "*.log"))
	if err != nil {
		return "", err
	}
	for _, path := range logs {
		content, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		if err := os.WriteFile(filepath.Join(to, filepath.Base(path)), content, 0o644); err != nil {
			return "", err
		}
	}
	return to, nil
}
