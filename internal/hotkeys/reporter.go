package hotkeys

import "github.com/quartzdock/quartzdock/internal/topology"

const (
	// reportEvery is every how many reports hot keys are named.
	reportEvery = 2
	// reporterCapacity is the number of keys kept per shard.
	reporterCapacity = 16
	// reporterShare is the least share of a key that is named.
	reporterShare = 0.08
	// reporterMinimum is how many requests a report of hot keys needs, and
	// reporterLimit after how many the count starts anew.
	reporterMinimum = 60
	reporterLimit   = 400
)

// Reporter decides what an agent tells the controller of the keys of one shard.
// It is not safe for concurrent use.
type Reporter struct {
	sketch  *Sketch
	reports uint64
}

// NewReporter returns a reporter that has seen nothing.
func NewReporter() *Reporter { return &Reporter{sketch: New(reporterCapacity)} }

// Add counts one request for key.
func (r *Reporter) Add(key topology.KeyHash) { r.sketch.Add(key) }

// Report returns the hot keys to name in the present report, at most limit;
// most reports name none.
func (r *Reporter) Report(limit int) []Frequency {
	r.reports++
	if r.reports%reportEvery != 0 || r.sketch.Total() < reporterMinimum {
		return nil
	}
	found := r.sketch.Top(limit, reporterShare)
	if r.sketch.Total() >= reporterLimit {
		r.sketch.Reset()
	}
	return found
}
