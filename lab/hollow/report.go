package hollow

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Value is one measured figure.
type Value struct {
	Name string
	// Unit of Number; empty counts.
	Unit   string
	Number float64
}

// Row is what was measured at one size.
type Row struct {
	Size   float64
	Values []Value
}

// Result is what a ladder measured.
type Result struct {
	Ladder, SizeName string
	Plan             Plan
	Rows             []Row
}

// values lists what a steady measurement found.
func (steady Steady) values() []Value {
	values := []Value{
		{"leader processor", "% core", 100 * steady.Leader},
		{"follower processor", "% core", 100 * steady.Follower},
		{"leader memory", "MB", float64(steady.LeaderResident) / 1e6},
		{"follower memory", "MB", float64(steady.FollowerResident) / 1e6},
		{"leader written", "KB/s", steady.LeaderWritten / 1e3},
	}
	values = append(values, steady.Agent.values("agent")...)
	values = append(values, steady.Router.values("router")...)
	return append(values,
		Value{"single router processor", "% core", 100 * steady.Single.Processor},
		Value{"single router collector", "% core", 100 * steady.SingleCollector},
		Value{"single router memory", "MB", float64(steady.SingleMemory) / 1e6},
		Value{"single router heap", "MB", float64(steady.SingleHeap) / 1e6},
		Value{"sessions reopened", "", float64(steady.Reconnects)},
	)
}

func (cost NodeCost) values(role string) []Value {
	return []Value{
		{role + " processor", "% core", 100 * cost.Processor},
		{role + " in", "B/s", cost.BytesIn},
		{role + " out", "B/s", cost.BytesOut},
		{role + " frames", "1/s", cost.FramesIn + cost.FramesOut},
		{role + " packets", "1/s", cost.Packets},
		{role + " on the wire", "B/s", cost.OnWire()},
	}
}

// propagationValues averages several changes.
func propagationValues(all []Propagation) []Value {
	mean := func(name string, of func(Propagation) time.Duration) Value {
		var sum time.Duration
		for _, one := range all {
			sum += of(one)
		}
		return Value{name, "ms", milliseconds(sum) / float64(len(all))}
	}
	if len(all) == 0 {
		return nil
	}
	return []Value{
		mean("change accepted", func(p Propagation) time.Duration { return p.Accepted }),
		mean("change at half of the nodes", func(p Propagation) time.Duration { return p.InForce.Median }),
		mean("change at all nodes", func(p Propagation) time.Duration { return p.InForce.Last }),
		mean("change known to be in force", func(p Propagation) time.Duration { return p.Known }),
	}
}

// write prints the rows and, for each value, the fitted line.
func (result Result) write(out io.Writer) {
	if len(result.Rows) == 0 {
		return
	}
	fmt.Fprintf(out, "ladder %q: %d controllers, %d agents, %d routers, %d services, %d shards, unless the size says otherwise\n\n",
		result.Ladder, result.Plan.Controllers, result.Plan.Agents, result.Plan.Routers, result.Plan.Services, result.Plan.Shards)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(table, "%s\t", result.SizeName)
	for _, row := range result.Rows {
		fmt.Fprintf(table, "%.0f\t", row.Size)
	}
	fmt.Fprint(table, "slope\t± error\tconstant\tR2\t\n")
	for i, value := range result.Rows[0].Values {
		fmt.Fprintf(table, "%s\t", strings.TrimSpace(value.Name+" "+value.Unit))
		for _, row := range result.Rows {
			fmt.Fprintf(table, "%.4g\t", row.Values[i].Number)
		}
		fmt.Fprintf(table, "%s\t\n", result.fit(i))
	}
	_ = table.Flush()
}

// fit returns the cells of a value's line.
func (result Result) fit(value int) string {
	var points []Point
	for _, row := range result.Rows {
		points = append(points, Point{row.Size, row.Values[value].Number})
	}
	line, err := FitLine(points)
	if err != nil {
		return "-\t-\t-\t-"
	}
	return fmt.Sprintf("%.3g\t%.2g\t%.3g\t%.3f", line.Slope, line.SlopeError, line.Constant, line.RSquared)
}
