package experiment

import "time"

// eventQueue runs actions in the order of their virtual time; actions of equal
// time run in the order in which they were added. It is a binary heap of
// values, because a run handles a few hundred thousand events.
type eventQueue struct {
	now      time.Duration
	sequence uint64
	events   []event
}

type event struct {
	at       time.Duration
	sequence uint64
	action   func()
}

func (e *event) before(other *event) bool {
	return e.at < other.at || e.at == other.at && e.sequence < other.sequence
}

// at adds an action for a time, which must not be past.
func (q *eventQueue) at(at time.Duration, action func()) {
	q.sequence++
	q.events = append(q.events, event{at: max(at, q.now), sequence: q.sequence, action: action})
	q.up(len(q.events) - 1)
}

// after adds an action for a time from now.
func (q *eventQueue) after(delay time.Duration, action func()) { q.at(q.now+delay, action) }

// every repeats an action from a time on, until the run ends.
func (q *eventQueue) every(first, interval time.Duration, action func()) {
	q.at(first, func() {
		action()
		q.every(q.now+interval, interval, action)
	})
}

// run runs all actions up to the end.
func (q *eventQueue) run(end time.Duration) {
	for len(q.events) > 0 && q.events[0].at <= end {
		next := q.events[0]
		last := len(q.events) - 1
		q.events[0] = q.events[last]
		q.events[last] = event{}
		q.events = q.events[:last]
		q.down(0)
		q.now = next.at
		next.action()
	}
	q.now = end
}

func (q *eventQueue) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !q.events[index].before(&q.events[parent]) {
			return
		}
		q.events[index], q.events[parent] = q.events[parent], q.events[index]
		index = parent
	}
}

func (q *eventQueue) down(index int) {
	for {
		least := index
		for child := 2*index + 1; child <= 2*index+2 && child < len(q.events); child++ {
			if q.events[child].before(&q.events[least]) {
				least = child
			}
		}
		if least == index {
			return
		}
		q.events[index], q.events[least] = q.events[least], q.events[index]
		index = least
	}
}
