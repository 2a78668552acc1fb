package ledger

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// ProbedKey names a key of a service.
type ProbedKey struct {
	Service string
	Key     string
}

// Gap is the longest time without an answer to the probes of a key.
type Gap struct {
	ProbedKey
	// From is the time of the last answer before the gap, in Unix nanoseconds.
	From int64
	// Length is the duration of the gap less the interval between probes.
	Length time.Duration
}

// Period is a time span in Unix nanoseconds, From included.
type Period struct{ From, To int64 }

// LongestGaps returns for each probed key its longest gap that overlaps the
// period, longest first. Only complete answers with status 200 end a gap, so a
// probe that is queued and answered late lengthens it just as a refused one
// does. If no further answer came, the gap ends with the period or with the last
// probe, whichever is first.
func LongestGaps(probes []CallerEntry, interval time.Duration, period Period) []Gap {
	answered := make(map[ProbedKey][]int64)
	last := int64(0)
	for _, probe := range probes {
		key := ProbedKey{Service: probe.Service, Key: probe.Key}
		last = max(last, probe.Done)
		if probe.Outcome == wire.OutcomeAnswered && probe.Status == http.StatusOK && probe.Damage == "" {
			answered[key] = append(answered[key], probe.Done)
		} else if answered[key] == nil {
			answered[key] = []int64{}
		}
	}
	period.To = min(period.To, last)
	gaps := make([]Gap, 0, len(answered))
	for key, times := range answered {
		gaps = append(gaps, longestGap(key, times, interval, period))
	}
	slices.SortFunc(gaps, func(a, b Gap) int {
		return cmp.Or(cmp.Compare(b.Length, a.Length), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Key, b.Key))
	})
	return gaps
}

func longestGap(key ProbedKey, times []int64, interval time.Duration, period Period) Gap {
	slices.Sort(times)
	longest := Gap{ProbedKey: key}
	previous := period.From
	consider := func(next int64) {
		length := time.Duration(next-previous) - interval
		if next > period.From && previous < period.To && length > longest.Length {
			longest.Length, longest.From = length, previous
		}
		previous = next
	}
	for index, answer := range times {
		if index == 0 && answer <= period.From {
			previous = answer
			continue
		}
		consider(answer)
	}
	if previous < period.To {
		consider(period.To)
	}
	return longest
}

// OwnersAt returns for each key the back end that last ran a request before the
// given time, in Unix nanoseconds.
func OwnersAt(backends []BackendEntry, before int64) map[ProbedKey]string {
	last := make(map[ProbedKey]BackendEntry)
	for _, entry := range backends {
		key := ProbedKey{Service: entry.Service, Key: entry.Key}
		if entry.Kind == KindRun && entry.Time < before && entry.Time >= last[key].Time {
			last[key] = entry
		}
	}
	owners := make(map[ProbedKey]string, len(last))
	for key, entry := range last {
		owners[key] = entry.Backend
	}
	return owners
}
