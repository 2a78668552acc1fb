package quarantine

import (
	"cmp"
	"fmt"
	"time"
)

// Terms are the leader's time limits for suspects.
type Terms struct {
	// TrialLimit is how long after its grant a trial counts as lost unless its end is reported:
	// its gateway process may have ended.
	TrialLimit time.Duration
	// FurtherAfter is how long a request is quarantined before it gets one more trial.
	FurtherAfter time.Duration
}

// Defaults of Terms.
const (
	DefaultTrialLimit   = 10 * time.Second
	DefaultFurtherAfter = 10 * time.Minute
)

// WithDefaults returns the terms with defaults in place of zeros.
func (t Terms) WithDefaults() Terms {
	t.TrialLimit = cmp.Or(t.TrialLimit, DefaultTrialLimit)
	t.FurtherAfter = cmp.Or(t.FurtherAfter, DefaultFurtherAfter)
	return t
}

// Check returns an error if a limit is negative.
func (t Terms) Check() error {
	if t.TrialLimit < 0 || t.FurtherAfter < 0 {
		return fmt.Errorf("trial limit %v, further trial after %v: neither may be below zero", t.TrialLimit, t.FurtherAfter)
	}
	return nil
}

// Timers tracks since when trials are granted and requests are quarantined, for one term of
// leadership. A new leader starts from zero. The zero value is ready to use. It is not safe for
// concurrent use.
type Timers struct {
	trials      map[trialKey]time.Duration
	quarantined map[Digest]time.Duration
}

// trialKey identifies a trial.
type trialKey struct {
	request Digest
	number  uint64
}

// Due returns the changes that are due at now, by the leader's clock: trials that count as
// lost, and quarantined requests that get one more trial.
func (t *Timers) Due(set *Set, terms Terms, now time.Duration) Change {
	var due Change
	trials, quarantined := map[trialKey]time.Duration{}, map[Digest]time.Duration{}
	for i := range set.Suspects {
		suspect := &set.Suspects[i]
		if trial := suspect.Trial; trial != nil {
			of := trialKey{suspect.Request, trial.Number}
			trials[of] = firstSeen(t.trials, of, now)
			if now-trials[of] >= terms.TrialLimit {
				due.Over = append(due.Over, Over{Request: suspect.Request, Number: trial.Number, Lost: true})
			}
		}
		if suspect.Quarantined() && !suspect.Exhausted() {
			quarantined[suspect.Request] = firstSeen(t.quarantined, suspect.Request, now)
			if now-quarantined[suspect.Request] >= terms.FurtherAfter {
				due.Further = append(due.Further, suspect.Request)
			}
		}
	}
	t.trials, t.quarantined = trials, quarantined
	return due
}

// firstSeen returns when a state was seen first, or now if it is new.
func firstSeen[Of comparable](seen map[Of]time.Duration, of Of, now time.Duration) time.Duration {
	if at, ok := seen[of]; ok {
		return at
	}
	return now
}
