package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

// Bounds and precision of latencies, in microseconds.
const (
	lowestLatency  = 1
	highestLatency = 120_000_000
	latencyDigits  = 3
)

// Summary counts what came of the offered load. All methods may be called by
// many goroutines.
type Summary struct {
	mutex sync.Mutex
	rows  map[rowKey]*Row
}

type rowKey struct{ service, operation string }

// Row is the part of a summary for one operation.
type Row struct {
	Service   string
	Operation string
	// Attempts counts every attempt; Requests counts requests by the outcome
	// of their last attempt.
	Attempts int
	Requests int
	Answered int
	NotRun   int
	Unknown  int
	Damaged  int
	// AnsweredBadly counts answered requests with a status other than 200.
	AnsweredBadly int
	latency       *hdrhistogram.Histogram
}

// Percentile returns a percentile (0 to 100) of the latency of answered
// requests, from when they were due.
func (r *Row) Percentile(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtPercentile(percentile)) * time.Microsecond
}

func newSummary() *Summary { return &Summary{rows: make(map[rowKey]*Row)} }

func (s *Summary) row(entry ledger.CallerEntry) *Row {
	key := rowKey{service: entry.Service, operation: entry.Operation}
	row := s.rows[key]
	if row == nil {
		row = &Row{
			Service:   entry.Service,
			Operation: entry.Operation,
			latency:   hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
		}
		s.rows[key] = row
	}
	return row
}

func (s *Summary) attempt(entry ledger.CallerEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.row(entry).Attempts++
	if entry.Damage != "" {
		s.row(entry).Damaged++
	}
}

// finish counts a request by its last attempt.
func (s *Summary) finish(entry ledger.CallerEntry) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	row := s.row(entry)
	row.Requests++
	switch entry.Outcome {
	case wire.OutcomeAnswered:
		row.Answered++
		if entry.Status != 200 {
			row.AnsweredBadly++
		}
		row.latency.RecordValue(max(lowestLatency, (entry.Done-entry.Due)/int64(time.Microsecond)))
	case wire.OutcomeNotRun:
		row.NotRun++
	default:
		row.Unknown++
	}
}

// Rows returns the rows ordered by service and operation.
func (s *Summary) Rows() []*Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	rows := make([]*Row, 0, len(s.rows))
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b *Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Operation, b.Operation))
	})
	return rows
}

// Total adds up all rows.
func (s *Summary) Total() *Row {
	total := &Row{Service: "all", latency: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)}
	for _, row := range s.Rows() {
		total.Attempts += row.Attempts
		total.Requests += row.Requests
		total.Answered += row.Answered
		total.NotRun += row.NotRun
		total.Unknown += row.Unknown
		total.Damaged += row.Damaged
		total.AnsweredBadly += row.AnsweredBadly
		total.latency.Merge(row.latency)
	}
	return total
}

// Print writes the summary as a table; latencies are in milliseconds.
func (s *Summary) Print(output io.Writer) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "operation\trequests\tanswered\tnot run\tunknown\tresent\tp50 ms\tp99 ms\t")
	for _, row := range append(s.Rows(), s.Total()) {
		fmt.Fprintf(table, "%s %s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n", row.Service, row.Operation,
			row.Requests, row.Answered, row.NotRun, row.Unknown, row.Attempts-row.Requests,
			milliseconds(row.Percentile(50)), milliseconds(row.Percentile(99)))
	}
	return table.Flush()
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
