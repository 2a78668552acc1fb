package admission

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// Config bounds a Queue.
type Config struct {
	// Slots is how many requests run at once.
	Slots int
	// QueueLimit is how many requests wait at once, at most. The default is
	// ten times Slots.
	QueueLimit int
	// Reserved is how many slots are kept for each class, indexed by Class.
	// The zero value reserves DefaultReserved.
	Reserved [classCount]int
}

// Defaults.
const (
	defaultQueuePerSlot = 10
	// initialCost is the slot time expected of a class before any was seen.
	initialCost = 5 * time.Millisecond
	// costSmoothing is the weight of a new sample in the moving average.
	costSmoothing = 0.1
	// cautiousDeviations is how many deviations are allowed for.
	cautiousDeviations = 2
	// minimumRetryAfter is the least time after which asking again is worth it.
	minimumRetryAfter = 100 * time.Millisecond
	// sweepInterval is after how many offers the queues of callers that are
	// gone are dropped; it bounds their memory.
	sweepInterval = 4096
	// lookupHeadroom times the slots that look-ups used of late are kept for
	// them, but never more than maximumLookupShare percent of all, together
	// with those for writes.
	lookupHeadroom     = 1.5
	maximumLookupShare = 80
	// usedWindow is the time over which used slots are averaged.
	usedWindow = time.Second
)

// DefaultReserved keeps a quarter of the slots for look-ups and a tenth each
// for writes and bulk, as far as there are slots for it.
func DefaultReserved(slots int) [classCount]int {
	var reserved [classCount]int
	reserved[ClassLookup] = slots / 4
	reserved[ClassWrite] = slots / 10
	reserved[ClassBulk] = slots / 10
	return reserved
}

// withDefaults fills what is not set.
func (c Config) withDefaults() Config {
	if c.QueueLimit == 0 {
		c.QueueLimit = defaultQueuePerSlot * c.Slots
	}
	if c.Reserved == ([classCount]int{}) {
		c.Reserved = DefaultReserved(c.Slots)
	}
	return c
}

func (c Config) validate() error {
	var findings []error
	if c.Slots < 1 {
		findings = append(findings, fmt.Errorf("slots: %d, need at least 1", c.Slots))
	}
	if c.QueueLimit < 0 {
		findings = append(findings, fmt.Errorf("queue limit: %d is negative", c.QueueLimit))
	}
	total := 0
	for class, count := range c.Reserved {
		if count < 0 {
			findings = append(findings, fmt.Errorf("reserved slots of class %s: %d is negative", Class(class), count))
		}
		total += count
	}
	if total > c.Slots {
		findings = append(findings, fmt.Errorf("reserved slots: %d in all, there are %d slots", total, c.Slots))
	}
	return errors.Join(findings...)
}

// ticketState is where a ticket stands.
type ticketState uint8

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketRunning
	ticketOver
)

// Ticket is one request's place in a Queue. Its zero value may be offered;
// after Finish, Withdraw or a refusal it may be offered again.
type Ticket struct {
	request       Request
	state         ticketState
	queue         *node
	before, after *Ticket
	startedAt     time.Duration
	charged       time.Duration
}

// Running says that the request holds a slot.
func (t *Ticket) Running() bool { return t.state == ticketRunning }

// Decision is the fate of a ticket that was offered: it runs now, or it is
// refused.
type Decision struct {
	Ticket *Ticket
	// Refusal is nil where the request runs.
	Refusal *Refusal
}

// Queue holds the slots and the waiting requests. It is not safe for use by
// several goroutines at once; see subpackage gate.
type Queue struct {
	config Config
	// order divides the waiting requests; tests compare others.
	order   policy
	root    node
	running [classCount]int
	cost    [classCount]time.Duration
	// deviation is the moving average of how far slot times lie from cost.
	deviation [classCount]time.Duration
	// learned says that a class's slot time was seen.
	learned [classCount]bool
	// used are moving averages of running, as of observedAt.
	used       [classCount]float64
	observedAt time.Duration
	// offers since the last sweep.
	offers    int
	decisions []Decision
}

// New makes a Queue. All findings on the configuration are joined in the
// error.
func New(config Config) (*Queue, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	q := &Queue{config: config, order: nested}
	for class := range q.cost {
		q.cost[class] = initialCost
	}
	return q, nil
}

// Offer asks for a slot. What becomes of the ticket, and of others, is in
// Decisions, now or after a later call.
func (q *Queue) Offer(now time.Duration, t *Ticket, request Request) {
	*t = Ticket{request: request}
	q.sweep()
	if refusal := q.refusalOnArrival(now, &request); refusal != nil {
		q.refuse(t, refusal)
		return
	}
	t.state = ticketWaiting
	q.queueOf(&request).append(t)
	q.start(now)
	q.dropExcess()
}

// Finish returns a running ticket's slot.
func (q *Queue) Finish(now time.Duration, t *Ticket) {
	if t.state != ticketRunning {
		return
	}
	t.state = ticketOver
	class := t.request.Class
	used := max(now-t.startedAt, 0)
	q.observe(now)
	q.running[class]--
	q.learn(class, used)
	t.queue.settle(used - t.charged)
	q.start(now)
}

// learn takes a sample of a class's slot time. The first one stands for all, as
// in RFC 6298, since the initial cost is a guess.
func (q *Queue) learn(class Class, used time.Duration) {
	if !q.learned[class] {
		q.learned[class] = true
		q.cost[class], q.deviation[class] = used, used/2
		return
	}
	off := used - q.cost[class]
	q.cost[class] += time.Duration(costSmoothing * float64(off))
	q.deviation[class] += time.Duration(costSmoothing * float64(off.Abs()-q.deviation[class]))
}

// cautiousCost is the slot time that most requests of a class stay below: the
// mean and some deviations, as in TCP's timeout (RFC 6298).
func (q *Queue) cautiousCost(class Class) time.Duration {
	return q.cost[class] + cautiousDeviations*q.deviation[class]
}

// Withdraw takes back a waiting ticket, because its caller is gone or its
// latest start has passed. It says whether the ticket still waited.
func (q *Queue) Withdraw(t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	t.queue.remove(t)
	t.state = ticketOver
	return true
}

// LatestStart is the last moment at which a request can start and be expected
// to meet its deadline; zero means any.
func (q *Queue) LatestStart(request *Request) time.Duration {
	if request.Deadline == 0 {
		return 0
	}
	return request.Deadline - q.cautiousCost(request.Class)
}

// SetSlots changes the number of slots. Running requests keep theirs.
func (q *Queue) SetSlots(now time.Duration, slots int) {
	if slots < 1 || slots == q.config.Slots {
		return
	}
	q.config.Slots = slots
	q.config.Reserved = DefaultReserved(slots)
	q.start(now)
}

// Decisions returns and forgets what was decided since the last call. The
// slice is valid until the next call of any method.
func (q *Queue) Decisions() []Decision {
	decided := q.decisions
	q.decisions = q.decisions[:0]
	return decided
}

// RetryAfter is the time in which what waits now will have been served.
func (q *Queue) RetryAfter() time.Duration {
	return max(q.overSlots(q.queuedWork(&q.root)), minimumRetryAfter)
}

// Waiting is how many requests wait.
func (q *Queue) Waiting() int { return q.root.waiting }

// Running is how many requests hold a slot.
func (q *Queue) Running() int { return q.root.running }

// Cost is the present estimate of the slot time of a class.
func (q *Queue) Cost(class Class) time.Duration { return q.cost[class] }

// queueOf finds or makes the queue that a request belongs to.
func (q *Queue) queueOf(request *Request) *node {
	way := q.order(request)
	at := &q.root
	for _, k := range way.keys[:way.count] {
		at = at.child(k)
	}
	return at
}

// start gives free slots to waiting requests. A request that can no longer
// meet its deadline is refused in place of being started.
func (q *Queue) start(now time.Duration) {
	for q.root.waiting > 0 && q.root.running < q.config.Slots {
		t := q.root.next(q.eligible())
		if t == nil {
			return
		}
		t.queue.remove(t)
		if t.request.Deadline != 0 && now >= t.request.Deadline {
			q.refuse(t, &Refusal{Reason: wire.ReasonExpired})
			continue
		}
		q.run(now, t)
	}
}

func (q *Queue) run(now time.Duration, t *Ticket) {
	class := t.request.Class
	q.observe(now)
	t.state = ticketRunning
	t.startedAt = now
	t.charged = q.cost[class]
	t.queue.charge(t.charged)
	q.running[class]++
	q.decisions = append(q.decisions, Decision{Ticket: t})
}

func (q *Queue) refuse(t *Ticket, refusal *Refusal) {
	t.state = ticketOver
	q.decisions = append(q.decisions, Decision{Ticket: t, Refusal: refusal})
}

// eligible says for each class whether it may take a free slot: the slots
// that other classes have reserved and do not use must stay free.
func (q *Queue) eligible() [classCount]bool {
	free := q.config.Slots - q.root.running
	reserved := q.config.Reserved
	unusedLookups := max(reserved[ClassLookup]-q.running[ClassLookup], 0)
	unusedWrites := max(reserved[ClassWrite]-q.running[ClassWrite], 0)
	unusedBulk := max(reserved[ClassBulk]-q.running[ClassBulk], 0)
	var result [classCount]bool
	result[ClassLookup] = free > unusedWrites+unusedBulk
	result[ClassWrite] = free > unusedLookups+unusedBulk
	result[ClassBulk] = free > unusedWrites+unusedLookups
	if unusedBulk == 0 {
		// Beyond its own slots, which nobody else can use.
		result[ClassBulk] = free > unusedWrites+max(q.lookupsAgainstBulk()-q.running[ClassLookup], 0)
	}
	return result
}

// lookupsAgainstBulk is how many slots bulk leaves to look-ups: what those used
// of late and some more, because a slot that bulk took is not free again within
// a look-up's time.
func (q *Queue) lookupsAgainstBulk() int {
	recent := int(math.Ceil(lookupHeadroom * q.used[ClassLookup]))
	most := q.config.Slots*maximumLookupShare/100 - q.config.Reserved[ClassWrite]
	return max(q.config.Reserved[ClassLookup], min(recent, most))
}

// observe brings the averages of used slots up to now. It is called before the
// number of running requests changes.
func (q *Queue) observe(now time.Duration) {
	weight := 1 - math.Exp(-(now-q.observedAt).Seconds()/usedWindow.Seconds())
	for class, running := range q.running {
		q.used[class] += weight * (float64(running) - q.used[class])
	}
	q.observedAt = now
}

// dropExcess refuses the newest request of the longest queue while more wait
// than allowed.
func (q *Queue) dropExcess() {
	for q.root.waiting > q.config.QueueLimit {
		t := q.root.longest().last
		t.queue.remove(t)
		q.refuse(t, &Refusal{Reason: wire.ReasonShed, RetryAfter: q.RetryAfter()})
	}
}

// sweep drops the queues of callers that are gone, now and then.
func (q *Queue) sweep() {
	q.offers++
	if q.offers < sweepInterval {
		return
	}
	q.offers = 0
	q.root.forgetIdle(q.root.idle())
}
