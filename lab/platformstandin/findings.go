package platformstandin

import (
	"fmt"
	"slices"
	"time"
)

// rule is one of those that Owners checks.
type rule int

const (
	heldTogether rule = iota
	begunTogether
	workedOn
	fenceTooLow
)

// told is a rule that two holders broke.
type told struct {
	rule          rule
	first, second string
}

// finding is how often, and how badly, two holders broke a rule.
type finding struct {
	keys  map[uint32]bool
	from  time.Time
	worst time.Duration
}

// findings are what broke the rules, one for each rule and each two lives.
type findings struct {
	began time.Time
	order []told
	all   map[told]*finding
}

func newFindings() *findings { return &findings{began: time.Now(), all: map[told]*finding{}} }

func (f *findings) note(rule rule, first, second string, key uint32, at time.Time) *finding {
	of := told{rule, first, second}
	found := f.all[of]
	if found == nil {
		found = &finding{keys: map[uint32]bool{}, from: at}
		f.all[of] = found
		f.order = append(f.order, of)
	}
	found.keys[key] = true
	return found
}

func (f *findings) shared(key uint32, both sharing, from time.Time, lasted time.Duration) {
	found := f.note(heldTogether, both.a.name(), both.b.name(), key, from)
	found.worst = max(found.worst, lasted)
}

func (f *findings) begun(key uint32, both sharing, at time.Time) {
	f.note(begunTogether, both.a.name(), both.b.name(), key, at)
}

func (f *findings) worked(key uint32, both sharing, at time.Time) {
	f.note(workedOn, both.a.name(), both.b.name(), key, at)
}

func (f *findings) fence(key uint32, life *keyLife, holder string, event KeyEvent) {
	f.note(fenceTooLow, life.name(), holder, key, event.At)
}

func (l *keyLife) name() string { return fmt.Sprintf("%s (life %d)", l.holder, l.number) }

// lines tells the findings.
func (f *findings) lines() []string {
	var lines []string
	for _, of := range f.order {
		found := f.all[of]
		lowest := slices.Min(keysOf(found.keys))
		where := fmt.Sprintf("%d keys from %d on, first at %.3fs", len(found.keys), lowest, found.from.Sub(f.began).Seconds())
		switch of.rule {
		case heldTogether:
			lines = append(lines, fmt.Sprintf("owner: %s and %s held the same keys for up to %v: %s", of.first, of.second, found.worst.Round(time.Millisecond), where))
		case begunTogether:
			lines = append(lines, fmt.Sprintf("owner: %s and %s both began requests on keys that both held: %s", of.first, of.second, where))
		case workedOn:
			lines = append(lines, fmt.Sprintf("owner: of %s and %s one received keys that the other still worked on inside its lease: %s", of.first, of.second, where))
		case fenceTooLow:
			lines = append(lines, fmt.Sprintf("owner: %s took keys under fences not above those of %s: %s", of.first, of.second, where))
		}
	}
	return lines
}

func keysOf(set map[uint32]bool) []uint32 {
	keys := make([]uint32, 0, len(set))
	for key := range set {
		keys = append(keys, key)
	}
	return keys
}
