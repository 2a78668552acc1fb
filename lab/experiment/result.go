package experiment

import (
	"cmp"
	"slices"
	"time"
)

// Result is what one run measured, after the warm-up. docs/GLOSSARY.md
// defines each measure.
type Result struct {
	Deployment string `json:"deployment"`
	Service    string `json:"service"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`

	// Imbalance is the greatest over the mean load per back end, time-weighted
	// mean; ImbalanceP99 its 99th percentile over time.
	Imbalance    float64 `json:"imbalance"`
	ImbalanceP99 float64 `json:"imbalance_p99"`
	// ImbalanceSettled is the greatest imbalance 10 s after a disturbance that
	// no other followed within 10 s.
	ImbalanceSettled float64 `json:"imbalance_settled"`
	// SettleMillis is the longest time from a disturbance until imbalance was
	// at most 1.25, or until the next disturbance.
	SettleMillis float64 `json:"settle_ms"`

	// ChurnKeys counts keys that changed owner, a key as often as it did;
	// ChurnPerHour is that over all keys and hours.
	ChurnKeys    int     `json:"churn_keys"`
	ChurnPerHour float64 `json:"churn"`
	// ChurnBoundKeys is the least number any policy needs, see churnBound.
	ChurnBoundKeys float64 `json:"churn_bound_keys"`
	// OwnerChanges counts shards that changed owner.
	OwnerChanges int `json:"owner_changes"`

	// UnavailableMillis is summed over shards; an event is one time in which
	// one shard could not be served.
	UnavailableMillis    float64 `json:"unavailable_ms"`
	UnavailableEvents    int     `json:"unavailable_events"`
	UnavailableP99Millis float64 `json:"unavailable_p99_ms"`
	// UnavailableKeyMillis is the mean over keys; it does not depend on how
	// finely the keys are divided into shards.
	UnavailableKeyMillis float64 `json:"unavailable_key_ms"`

	// OutageMillis is the median of the times above longOutage in which a shard
	// could not be served: what a loss costs, without planned moves.
	OutageMillis float64 `json:"outage_ms"`

	// Requests offered, and what became of them.
	Requests uint64 `json:"requests"`
	Answered uint64 `json:"answered"`
	Shed     uint64 `json:"shed"`
	NoOwner  uint64 `json:"no_owner"`
	Expired  uint64 `json:"expired"`
	Failed   uint64 `json:"failed"`
	// P50Millis and P99Millis are of answered requests, caller to caller.
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`

	// Shards at the end.
	Shards     int            `json:"shards"`
	Violations map[string]int `json:"violations"`
	Series     []Sample       `json:"series,omitempty"`
}

// Sample is one point of the plots.
type Sample struct {
	// Seconds since the start of the run.
	Seconds           float64 `json:"s"`
	Imbalance         float64 `json:"imbalance"`
	ChurnKeys         int     `json:"churn_keys"`
	UnavailableMillis float64 `json:"unavailable_ms"`
}

// longOutage tells losses from planned moves.
const longOutage = 100 * time.Millisecond

// sample adds a point.
func (m *measures) sample() {
	m.series = append(m.series, Sample{
		Seconds:           m.emulation.queue.now.Seconds(),
		Imbalance:         m.present(),
		ChurnKeys:         m.churnedKeys,
		UnavailableMillis: millis(sum(m.unavailable)),
	})
}

// result closes everything that is open and sums up.
func (m *measures) result() *Result {
	e := m.emulation
	now := e.queue.now
	for id := range m.shards {
		m.close(id)
	}
	m.judge()
	m.bound.close(m)
	m.imbalance.set(1, now)
	hours := (e.config.Scenario.Duration - e.config.Scenario.Warmup).Hours()
	slices.Sort(m.unavailable)
	result := &Result{
		Deployment: e.config.Deployment.Name, Service: e.service.Name,
		Scenario: e.config.Scenario.Name, Policy: e.config.Policy.Name, Seed: e.config.Seed,
		ImbalanceSettled: m.worstSettled,
		ChurnKeys:        m.churnedKeys,
		ChurnPerHour:     float64(m.churnedKeys) / float64(len(m.owners)) / hours,
		ChurnBoundKeys:   m.bound.total,
		OwnerChanges:     m.ownerChanges,

		UnavailableMillis:    millis(sum(m.unavailable)),
		UnavailableEvents:    len(m.unavailable),
		UnavailableP99Millis: millis(quantile(m.unavailable, 0.99)),
		UnavailableKeyMillis: millis(m.unavailableKeys) / float64(len(m.owners)),

		Requests: m.offeredCount,
		Answered: m.ends[endAnswered], Shed: m.ends[endShed], NoOwner: m.ends[endNoOwner],
		Expired: m.ends[endExpired], Failed: m.ends[endFailed],
		P50Millis: float64(m.latency.ValueAtQuantile(50)) / 1000,
		P99Millis: float64(m.latency.ValueAtQuantile(99)) / 1000,

		Shards:     e.leader.state.ShardCount(e.leader.service),
		Violations: make(map[string]int),
		Series:     m.series,
	}
	first, _ := slices.BinarySearch(m.unavailable, longOutage)
	result.OutageMillis = millis(quantile(m.unavailable[first:], 0.5))
	if len(m.settleAfter) > 0 {
		result.SettleMillis = millis(slices.Max(m.settleAfter))
	}
	result.Imbalance, result.ImbalanceP99 = m.imbalance.summary()
	for kind, count := range m.violations {
		result.Violations[string(kind)] = count
	}
	return result
}

// summary returns the time-weighted mean and 99th percentile.
func (t *timeWeighted) summary() (mean, percentile float64) {
	spells := slices.Clone(t.spells)
	slices.SortFunc(spells, func(left, right spell) int { return cmp.Compare(left.value, right.value) })
	var total time.Duration
	for _, spell := range spells {
		total += spell.duration
		mean += spell.value * spell.duration.Seconds()
	}
	if total == 0 {
		return t.value, t.value
	}
	var passed time.Duration
	for _, spell := range spells {
		passed += spell.duration
		percentile = spell.value
		if passed >= total*99/100 {
			break
		}
	}
	return mean / total.Seconds(), percentile
}

func sum(durations []time.Duration) time.Duration {
	var total time.Duration
	for _, duration := range durations {
		total += duration
	}
	return total
}

// quantile of sorted values.
func quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

func millis(duration time.Duration) float64 { return duration.Seconds() * 1000 }
