package faults

import (
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// result is what one kind of fault caused.
type result struct {
	kind    kind
	strikes int
	// gaps are the times for which concerned keys were not served, one for each
	// key and strike.
	gaps []time.Duration
	// notRun and unknown count attempts of callers during the strikes;
	// abandoned counts runs that back ends did not finish.
	notRun, unknown, abandoned int
	report                     ledger.Report
}

func (r *result) countOutcomes(callers []ledger.CallerEntry, backends []ledger.BackendEntry, strikes []strike) {
	for _, attempt := range callers {
		if !during(strikes, attempt.Done) {
			continue
		}
		switch attempt.Outcome {
		case wire.OutcomeNotRun:
			r.notRun++
		case wire.OutcomeUnknown:
			r.unknown++
		}
	}
	for _, entry := range backends {
		if entry.Kind == ledger.KindAbandoned && during(strikes, entry.Time) {
			r.abandoned++
		}
	}
}

func during(strikes []strike, instant int64) bool {
	return slices.ContainsFunc(strikes, func(s strike) bool { return instant >= s.from && instant < s.to })
}

// percentile returns a percentile by the nearest rank.
func (r *result) percentile(percent int) time.Duration {
	if len(r.gaps) == 0 {
		return 0
	}
	slices.Sort(r.gaps)
	rank := (len(r.gaps)*percent + 99) / 100
	return r.gaps[max(rank, 1)-1]
}

func printHeader(output io.Writer) {
	fmt.Fprintln(output, "| fault | strikes | samples | p50 ms | p99 ms | max ms | not run | unknown | abandoned | twice run | promises broken |")
	fmt.Fprintln(output, "|---|---|---|---|---|---|---|---|---|---|---|")
}

func (r *result) print(output io.Writer) {
	fmt.Fprintf(output, "| %s: %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d |\n",
		r.kind.name, r.kind.about, r.strikes, len(r.gaps),
		r.percentile(50).Milliseconds(), r.percentile(99).Milliseconds(), r.percentile(100).Milliseconds(),
		r.notRun, r.unknown, r.abandoned,
		r.report.Broken(ledger.PromiseAtMostOnce), len(r.report.Violations))
	const shown = 5
	for _, violation := range r.report.Violations[:min(shown, len(r.report.Violations))] {
		fmt.Fprintln(output, "<!--", violation, "-->")
	}
}
