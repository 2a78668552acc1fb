package platformstandin

import (
	"cmp"
	"slices"
	"time"
)

// mostShared is how long two lives may hold a key together.
const mostShared = 500 * time.Millisecond

// lastShardKey is the highest key of a service.
const lastShardKey = 65535

// keyLife is one life of a back end.
type keyLife struct {
	holder string
	number int64
}

// tenure is what one life has of one key, until the end of its lease.
type tenure struct {
	life  *keyLife
	since time.Time
	until time.Time
	// countedFrom and countedUntil leave out what was held up on its way.
	countedFrom, countedUntil time.Time
	// gone is when it was let go; zero while it is held.
	gone    time.Time
	running int
}

func (t *tenure) holds() bool { return t.gone.IsZero() }

// takenFence is a fence under which a back end had a key.
type takenFence struct {
	holder string
	fence  uint64
}

// keyState is what the lives of a service have of one key, with the highest fence and
// the highest one of any other holder.
type keyState struct {
	tenures         []tenure
	highest, second takenFence
}

// sharing are two lives, the lesser number first.
type sharing struct{ a, b *keyLife }

func newSharing(a, b *keyLife) sharing {
	if a.number > b.number {
		a, b = b, a
	}
	return sharing{a, b}
}

// begun is a request that a life began on a key that another one held too.
type begun struct {
	at  time.Time
	key uint32
}

// keyTable has the keys of a service.
type keyTable struct {
	keys     []keyState
	lives    map[int64]*keyLife
	begun    map[sharing]map[*keyLife]begun
	findings *findings
}

func newKeyTable(findings *findings) *keyTable {
	return &keyTable{keys: make([]keyState, lastShardKey+1), lives: map[int64]*keyLife{}, begun: map[sharing]map[*keyLife]begun{}, findings: findings}
}

func (t *keyTable) lifeOf(event KeyEvent) *keyLife {
	life := t.lives[event.Life]
	if life == nil {
		life = &keyLife{event.Holder, event.Life}
		t.lives[event.Life] = life
	}
	return life
}

// took notes a grant or a renewal.
func (t *keyTable) took(life *keyLife, event KeyEvent) {
	for key := event.First; key <= min(event.Last, lastShardKey); key++ {
		state := &t.keys[key]
		t.runOut(key, event.At)
		t.checkFence(key, life, event)
		mine := state.of(life)
		if mine == nil {
			state.tenures = append(state.tenures, tenure{life: life, gone: event.At})
			mine = &state.tenures[len(state.tenures)-1]
		}
		if !mine.holds() {
			if !event.Late {
				t.checkWork(key, life, event.At)
			}
			mine.since, mine.gone = event.At, time.Time{}
			mine.countedFrom, mine.countedUntil = event.At, event.At
		}
		mine.until = event.Until
		if !event.Late {
			if mine.countedUntil.Before(event.At) {
				mine.countedFrom = event.At
			}
			mine.countedUntil = event.Until
		}
	}
}

// checkFence compares a fence with all those under which others had the key.
func (t *keyTable) checkFence(key uint32, life *keyLife, event KeyEvent) {
	state, before := &t.keys[key], takenFence{}
	if state.highest.holder == life.holder {
		before = state.second
	} else {
		before = state.highest
	}
	if before.holder != "" && event.Fence <= before.fence {
		t.findings.fence(key, life, before.holder, event)
	}
	taken := takenFence{life.holder, event.Fence}
	switch {
	case state.highest.holder == life.holder:
		state.highest.fence = max(state.highest.fence, taken.fence)
	case taken.fence > state.highest.fence || state.highest.holder == "":
		state.highest, state.second = taken, state.highest
	case taken.fence > state.second.fence || state.second.holder == "":
		state.second = taken
	}
}

// checkWork looks for others that work on a key which they let go, inside their lease.
func (t *keyTable) checkWork(key uint32, life *keyLife, at time.Time) {
	for _, other := range t.keys[key].tenures {
		if other.life != life && !other.holds() && other.running > 0 && at.Before(other.until) {
			t.findings.worked(key, newSharing(life, other.life), at)
		}
	}
}

// letGo notes that a life stops new work on keys.
func (t *keyTable) letGo(life *keyLife, event KeyEvent) {
	for key := event.First; key <= min(event.Last, lastShardKey); key++ {
		t.runOut(key, event.At)
		if mine := t.keys[key].of(life); mine != nil && mine.holds() {
			t.checkShared(key, mine, event.At)
			mine.gone = event.At
		}
	}
}

// began notes a request on a key, and whether two lives have begun some while both
// held the same keys.
func (t *keyTable) began(life *keyLife, event KeyEvent) {
	key, at := event.First, event.At
	t.runOut(key, at)
	mine := t.keys[key].of(life)
	if mine == nil {
		return
	}
	mine.running++
	if !mine.holds() {
		return
	}
	for _, other := range t.keys[key].tenures {
		if other.life == life || !other.holds() {
			continue
		}
		both := newSharing(life, other.life)
		if t.begun[both] == nil {
			t.begun[both] = map[*keyLife]begun{}
		}
		t.begun[both][life] = begun{at, key}
		if theirs, ok := t.begun[both][other.life]; ok && (t.sharedSince(key, both, theirs.at) || t.sharedSince(theirs.key, both, theirs.at)) {
			t.findings.begun(key, both, at)
		}
	}
}

// sharedSince says that two lives hold a key and both did at a time.
func (t *keyTable) sharedSince(key uint32, both sharing, at time.Time) bool {
	a, b := t.keys[key].of(both.a), t.keys[key].of(both.b)
	return a != nil && b != nil && a.holds() && b.holds() && !a.since.After(at) && !b.since.After(at)
}

func (t *keyTable) endedRun(life *keyLife, event KeyEvent) {
	if mine := t.keys[event.First].of(life); mine != nil && mine.running > 0 {
		mine.running--
	}
}

// ended notes the end of a life.
func (t *keyTable) ended(life *keyLife, at time.Time) {
	for key := range t.keys {
		t.runOut(uint32(key), at)
		if mine := t.keys[key].of(life); mine != nil {
			t.checkShared(uint32(key), mine, at)
			t.keys[key].drop(life)
		}
	}
}

// runOut drops what has run out by a time, in the order in which it did.
func (t *keyTable) runOut(key uint32, at time.Time) {
	state := &t.keys[key]
	for {
		var first *tenure
		for i := range state.tenures {
			if each := &state.tenures[i]; !each.until.After(at) && (first == nil || each.until.Before(first.until)) {
				first = each
			}
		}
		if first == nil {
			return
		}
		t.checkShared(key, first, first.until)
		state.drop(first.life)
	}
}

// sweep looks at what is held at a time.
func (t *keyTable) sweep(at time.Time) {
	for key := range t.keys {
		t.runOut(uint32(key), at)
		for i := range t.keys[key].tenures {
			t.checkShared(uint32(key), &t.keys[key].tenures[i], at)
		}
	}
}

// checkShared looks for how long others held a key together with a life, until a time.
func (t *keyTable) checkShared(key uint32, mine *tenure, at time.Time) {
	if !mine.holds() {
		return
	}
	for i := range t.keys[key].tenures {
		other := &t.keys[key].tenures[i]
		if other.life == mine.life || !other.holds() {
			continue
		}
		from := later(mine.countedFrom, other.countedFrom)
		until := earlier(at, earlier(mine.countedUntil, other.countedUntil))
		if shared := until.Sub(from); shared > mostShared {
			t.findings.shared(key, newSharing(mine.life, other.life), from, shared)
		}
	}
}

func (s *keyState) of(life *keyLife) *tenure {
	at := slices.IndexFunc(s.tenures, func(each tenure) bool { return each.life == life })
	if at < 0 {
		return nil
	}
	return &s.tenures[at]
}

func (s *keyState) drop(life *keyLife) {
	s.tenures = slices.DeleteFunc(s.tenures, func(each tenure) bool { return each.life == life })
}

func later(a, b time.Time) time.Time   { return slices.MaxFunc([]time.Time{a, b}, compareTimes) }
func earlier(a, b time.Time) time.Time { return slices.MinFunc([]time.Time{a, b}, compareTimes) }

func compareTimes(a, b time.Time) int { return cmp.Compare(a.Sub(b), 0) }
