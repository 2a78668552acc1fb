package hotkeys

import "github.com/quartzdock/quartzdock/internal/topology"

const (
	// Every reportInterval-th report includes hot keys.
	reportInterval = 2
	// reporterCapacity is the number of keys kept per shard.
	reporterCapacity = 16
	// minReportedShare is the least share of requests at which a key counts as hot.
	minReportedShare = 0.08
	// minReportedRequests is the least number of counted requests for a report of hot
	// keys. A report with at least resetAfterRequests resets the counts, so that keys
	// that are no longer hot are forgotten.
	minReportedRequests = 60
	resetAfterRequests  = 400
)

// Reporter selects the hot keys of one shard that an agent reports to the
// controller. It is not safe for concurrent use.
type Reporter struct {
	sketch  *Sketch
	reports uint64
}

// NewReporter returns a reporter that has counted no requests.
func NewReporter() *Reporter { return &Reporter{sketch: New(reporterCapacity)} }

// Add counts one request for key.
func (r *Reporter) Add(key topology.KeyHash) { r.sketch.Add(key) }

// Report is called once for each report and returns the hot keys to include, at
// most limit. Many reports include none; see reportInterval.
func (r *Reporter) Report(limit int) []Frequency {
	r.reports++
	if r.reports%reportInterval != 0 || r.sketch.Total() < minReportedRequests {
		return nil
	}
	found := r.sketch.Top(limit, minReportedShare)
	if r.sketch.Total() >= resetAfterRequests {
		r.sketch.Reset()
	}
	return found
}
