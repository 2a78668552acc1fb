package demo

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quartzdock/quartzdock/lab/ledger"
)

// leastAnswered is the share of requests that must be answered in the end for
// the demonstration to pass; callers send a request at most three times.
const leastAnswered = 0.99

// findings are what the run showed besides the ledgers.
type findings struct {
	ownerChanges uint64
	// ownedAgain is nil where every shard had an owner at the end.
	ownedAgain error
}

// report prints what happened and returns ErrBroken if anything broke.
func (d *demonstration) report(found findings) error {
	callers, probes, backends, err := d.ledgers()
	if err != nil {
		return err
	}
	checked := ledger.Check(callers, backends)
	out := tabwriter.NewWriter(d.config.Output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(d.config.Output)
	if err := d.summary.Print(d.config.Output); err != nil {
		return err
	}
	d.printLatency(out)
	out.Flush()
	left := tabwriter.NewWriter(d.config.Output, 0, 0, 2, ' ', 0)
	d.printFaults(left, probes, backends)
	fmt.Fprintf(left, "\nshards that changed owner\t%d\n", found.ownerChanges)
	printPromises(left, checked)
	left.Flush()
	return d.verdict(checked, found)
}

func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.2f", float64(duration)/float64(time.Millisecond))
}

func (d *demonstration) printLatency(out io.Writer) {
	fmt.Fprintln(out, "\nlook-up without work\tp50 ms\tp99 ms\t")
	for _, way := range []struct {
		name      string
		histogram *hdrhistogram.Histogram
	}{{"routed", d.latency.routed}, {"direct", d.latency.direct}} {
		fmt.Fprintf(out, "%s\t%s\t%s\t\n", way.name,
			milliseconds(time.Duration(way.histogram.ValueAtQuantile(50))*time.Microsecond),
			milliseconds(time.Duration(way.histogram.ValueAtQuantile(99))*time.Microsecond))
	}
}

// printFaults prints for each fault the longest time without an answer, of the
// keys that it concerns and of all others, until the next fault.
func (d *demonstration) printFaults(out io.Writer, probes []ledger.CallerEntry, backends []ledger.BackendEntry) {
	fmt.Fprintln(out, "\nfault\tunavailable, keys concerned\tunavailable, other keys")
	for number, fault := range d.faults {
		from, to := fault.at.UnixNano(), int64(math.MaxInt64)
		if number+1 < len(d.faults) {
			to = d.faults[number+1].at.UnixNano()
		}
		owners := ledger.OwnersAt(backends, from)
		var concerned, others time.Duration
		for _, gap := range ledger.LongestGaps(probes, probeInterval, ledger.Period{From: from, To: to}) {
			if fault.member == "" || owners[gap.ProbedKey] == fault.member {
				concerned = max(concerned, gap.Length)
			} else {
				others = max(others, gap.Length)
			}
		}
		fmt.Fprintf(out, "%s\t%s ms\t%s ms\n", fault.what, milliseconds(concerned), milliseconds(others))
	}
}

func printPromises(out io.Writer, checked ledger.Report) {
	fmt.Fprintln(out, "\npromise\tchecked\tbroken")
	for _, promise := range ledger.Promises {
		fmt.Fprintf(out, "%s\t%d\t%d\n", promise, checked.Checked[promise], checked.Broken(promise))
	}
}

// verdict lists everything that broke.
func (d *demonstration) verdict(checked ledger.Report, found findings) error {
	var broken []string
	for _, violation := range checked.Violations {
		broken = append(broken, violation.String())
	}
	for _, promise := range ledger.Promises {
		if checked.Checked[promise] == 0 {
			broken = append(broken, fmt.Sprintf("%s: nothing to check", promise))
		}
	}
	if found.ownedAgain != nil {
		broken = append(broken, "a shard has no owner: "+found.ownedAgain.Error())
	}
	total := d.summary.Total()
	if share := float64(total.Answered) / float64(total.Requests); share < leastAnswered {
		broken = append(broken, fmt.Sprintf("%.2f%% of the requests were answered, want %.0f%%", 100*share, 100*leastAnswered))
	}
	for _, name := range d.fleet.Panics() {
		broken = append(broken, name+" panicked")
	}
	if len(broken) == 0 {
		fmt.Fprintln(d.config.Output, "\nnothing broke")
		return nil
	}
	const shown = 20
	for _, line := range broken[:min(shown, len(broken))] {
		fmt.Fprintln(d.config.Output, "BROKEN", line)
	}
	return fmt.Errorf("%w: %d findings", ErrBroken, len(broken))
}
