package quarantine

import (
	"cmp"
	"fmt"
	"time"
)

// Terms are the leader's times about suspects.
type Terms struct {
	// TrialLimit is how long a granted trial may go without a word of its end: its gateway
	// may have ended.
	TrialLimit time.Duration
	// FurtherAfter is how long a held request waits for one more trial.
	FurtherAfter time.Duration
}

// Defaults of Terms.
const (
	DefaultTrialLimit   = 10 * time.Second
	DefaultFurtherAfter = 10 * time.Minute
)

// WithDefaults returns the terms with defaults where nothing is set.
func (t Terms) WithDefaults() Terms {
	t.TrialLimit = cmp.Or(t.TrialLimit, DefaultTrialLimit)
	t.FurtherAfter = cmp.Or(t.FurtherAfter, DefaultFurtherAfter)
	return t
}

// Check refuses terms that can't be kept.
func (t Terms) Check() error {
	if t.TrialLimit < 0 || t.FurtherAfter < 0 {
		return fmt.Errorf("trial limit %v, further trial after %v: neither may be below zero", t.TrialLimit, t.FurtherAfter)
	}
	return nil
}

// Desk is the leader's knowledge of when suspects came into their states, for one term of
// leadership. A new leader counts anew. The zero value is ready. It is not safe for concurrent
// use.
type Desk struct {
	trials map[trialOf]time.Duration
	held   map[Digest]time.Duration
}

// trialOf names a trial.
type trialOf struct {
	request Digest
	number  uint64
}

// Review returns what is due at a time of the leader's clock: trials whose end nobody tells,
// and held requests that may be tried once more.
func (d *Desk) Review(set *Set, terms Terms, now time.Duration) Change {
	var due Change
	trials, held := map[trialOf]time.Duration{}, map[Digest]time.Duration{}
	for i := range set.Suspects {
		suspect := &set.Suspects[i]
		if trial := suspect.Trial; trial != nil {
			of := trialOf{suspect.Request, trial.Number}
			trials[of] = since(d.trials, of, now)
			if now-trials[of] >= terms.TrialLimit {
				due.Over = append(due.Over, Over{Request: suspect.Request, Number: trial.Number, Lost: true})
			}
		}
		if suspect.Held() && !suspect.Spent() {
			held[suspect.Request] = since(d.held, suspect.Request, now)
			if now-held[suspect.Request] >= terms.FurtherAfter {
				due.Further = append(due.Further, suspect.Request)
			}
		}
	}
	d.trials, d.held = trials, held
	return due
}

// since returns when a state was seen first.
func since[Of comparable](seen map[Of]time.Duration, of Of, now time.Duration) time.Duration {
	if at, ok := seen[of]; ok {
		return at
	}
	return now
}
