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

// Gap is the longest time between two answers to the probes of a key.
type Gap struct {
	ProbedKey
	// From is when the last answer before the gap came, in Unix nanoseconds.
	From int64
	// Length of the gap, without the interval of the probes.
	Length time.Duration
}

// Period is a time span in Unix nanoseconds, From included.
type Period struct{ From, To int64 }

// LongestGaps returns for each probed key its longest gap that reaches into
// the period, longest first. An answer counts when it was whole, with status
// 200. A probe that was held back and answered late lengthens a gap just as a
// refused one does. Where no answer came any more, the gap ends with the period
// or with the last probe, whichever is first.
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

// OwnersAt returns which back end last ran a request of each key before an
// instant.
func OwnersAt(backends []BackendEntry, instant int64) map[ProbedKey]string {
	last := make(map[ProbedKey]BackendEntry)
	for _, entry := range backends {
		key := ProbedKey{Service: entry.Service, Key: entry.Key}
		if entry.Kind == KindRun && entry.Time < instant && entry.Time >= last[key].Time {
			last[key] = entry
		}
	}
	owners := make(map[ProbedKey]string, len(last))
	for key, entry := range last {
		owners[key] = entry.Backend
	}
	return owners
}
