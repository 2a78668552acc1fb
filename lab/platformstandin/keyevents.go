package platformstandin

import (
	"slices"
	"sync"
	"time"
)

// KeyEventKind is what a life of a back end did with keys.
type KeyEventKind int

// Kinds of events.
const (
	// TookKeys: a grant or a renewal was taken, until a time.
	TookKeys KeyEventKind = iota
	// LetKeysGo: no new work begins on the keys; what runs may go on until the lease's end.
	LetKeysGo
	// BeganRun and EndedRun are of a request on one key.
	BeganRun
	EndedRun
	// LifeEnded: the life holds nothing and works on nothing.
	LifeEnded
)

// KeyEvent is one thing that a life of a back end did with keys, as it tells it.
type KeyEvent struct {
	Kind    KeyEventKind
	At      time.Time
	Service string
	// Holder is the back end's id, and Life tells its lives apart where they share one.
	Holder string
	Life   int64
	// First and Last bound the keys, both included; a run has one key.
	First, Last uint32
	// Fence and Until are those of what was taken.
	Fence uint64
	Until time.Time
	// Late says that what was taken was held up on its way.
	Late bool
}

// Owners checks from outside, from the events of all back ends, what the rules say of
// keys: two lives hold a key together for more than half a second; both begin requests
// on keys that both hold; one receives a key that another one still works on before its
// lease's end; one takes a key under a fence that is not above all those of others.
type Owners struct {
	mutex    sync.Mutex
	waiting  []KeyEvent
	settled  time.Time
	services map[string]*keyTable
	findings *findings
}

// NewOwners returns a check that has seen nothing.
func NewOwners() *Owners {
	return &Owners{services: map[string]*keyTable{}, findings: newFindings()}
}

const (
	// outOfOrder bounds by how much events may come in another order than they happened.
	outOfOrder = time.Second
	// settleEvery bounds how long events wait beyond that.
	settleEvery = time.Second
)

// Note takes an event.
func (o *Owners) Note(event KeyEvent) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.waiting = append(o.waiting, event)
	if before := event.At.Add(-outOfOrder); before.Sub(o.settled) >= settleEvery {
		o.settle(before)
	}
}

// Findings settles all events up to a time and tells what broke the rules, a line for
// each kind and each two lives.
func (o *Owners) Findings(until time.Time) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.settle(until)
	return o.findings.lines()
}

// settle takes the events before a time in the order in which they happened.
func (o *Owners) settle(before time.Time) {
	slices.SortStableFunc(o.waiting, func(a, b KeyEvent) int { return a.At.Compare(b.At) })
	count := 0
	for count < len(o.waiting) && !o.waiting[count].At.After(before) {
		o.apply(o.waiting[count])
		count++
	}
	o.waiting = slices.Delete(o.waiting, 0, count)
	for _, table := range o.services {
		table.sweep(before)
	}
	o.settled = before
}

func (o *Owners) apply(event KeyEvent) {
	table := o.services[event.Service]
	if table == nil {
		table = newKeyTable(o.findings)
		o.services[event.Service] = table
	}
	switch life := table.lifeOf(event); event.Kind {
	case TookKeys:
		table.took(life, event)
	case LetKeysGo:
		table.letGo(life, event)
	case BeganRun:
		table.began(life, event)
	case EndedRun:
		table.endedRun(life, event)
	case LifeEnded:
		table.ended(life, event.At)
	}
}
