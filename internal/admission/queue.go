package admission

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// Config sets the limits of a Queue.
type Config struct {
	// Slots is the number of requests that run at once.
	Slots int
	// QueueLimit is the maximum number of waiting requests. The default is ten
	// times Slots.
	QueueLimit int
	// Reserved is the number of slots reserved for each class, indexed by Class.
	// The zero value means DefaultReserved.
	Reserved [classCount]int
}

// Defaults and limits.
const (
	defaultQueuePerSlot = 10
	// initialCost is the slot time expected of a class before one is measured.
	initialCost = 5 * time.Millisecond
	// costSmoothing is the weight of a new sample in the moving average.
	costSmoothing = 0.1
	// deviationFactor is the number of mean deviations that conservativeCost adds.
	deviationFactor = 2
	// minRetryAfter is the shortest wait that a refusal suggests before a retry.
	minRetryAfter = 100 * time.Millisecond
	// idleRemovalInterval is the number of offers between removals of idle
	// queues, which bound the memory that former callers take.
	idleRemovalInterval = 4096
	// Bulk leaves to look-ups lookupHeadroom times the slots that they used
	// recently, but not so many that the slots for look-ups and the reserved
	// slots for writes exceed maxLookupPercent percent of all.
	lookupHeadroom   = 1.5
	maxLookupPercent = 80
	// averagingWindow is the time constant of the average number of used slots.
	averagingWindow = time.Second
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

// withDefaults replaces zero values by the defaults.
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
	var errs []error
	if c.Slots < 1 {
		errs = append(errs, fmt.Errorf("slots: %d, need at least 1", c.Slots))
	}
	if c.QueueLimit < 0 {
		errs = append(errs, fmt.Errorf("queue limit: %d is negative", c.QueueLimit))
	}
	total := 0
	for class, count := range c.Reserved {
		if count < 0 {
			errs = append(errs, fmt.Errorf("reserved slots of class %s: %d is negative", Class(class), count))
		}
		total += count
	}
	if total > c.Slots {
		errs = append(errs, fmt.Errorf("reserved slots: %d in all, there are %d slots", total, c.Slots))
	}
	return errors.Join(errs...)
}

// ticketState is the state of a ticket in its queue.
type ticketState uint8

const (
	ticketNew ticketState = iota
	ticketWaiting
	ticketRunning
	ticketDone
)

// Ticket is one request's place in a Queue. Its zero value may be offered;
// after Finish, Withdraw or a refusal it may be offered again.
type Ticket struct {
	request                Request
	state                  ticketState
	queue                  *node
	prevTicket, nextTicket *Ticket
	startedAt              time.Duration
	charged                time.Duration
}

// Running reports whether the request holds a slot.
func (t *Ticket) Running() bool { return t.state == ticketRunning }

// Decision is the outcome for a ticket that was offered: it runs now, or it is
// refused.
type Decision struct {
	Ticket *Ticket
	// Refusal is nil where the request runs.
	Refusal *Refusal
}

// Queue holds the slots and the waiting requests. It is not safe for concurrent
// use; see subpackage gate.
type Queue struct {
	config Config
	// policy divides the waiting requests into queues; benchmarks replace it.
	policy  policy
	root    node
	running [classCount]int
	cost    [classCount]time.Duration
	// deviation is the moving average of the distance of slot times from cost.
	deviation [classCount]time.Duration
	// costMeasured is set for classes whose slot time was measured at least once.
	costMeasured [classCount]bool
	// averageRunning holds moving averages of running, as of averagedAt.
	averageRunning [classCount]float64
	averagedAt     time.Duration
	// offers counts the offers since idle queues were last removed.
	offers    int
	decisions []Decision
}

// New creates a Queue. The error joins all problems of the configuration.
func New(config Config) (*Queue, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("admission: %w", err)
	}
	q := &Queue{config: config, policy: nested}
	for class := range q.cost {
		q.cost[class] = initialCost
	}
	return q, nil
}

// Offer asks for a slot. Decisions returns the outcome for the ticket, and for
// others, after this call or a later one.
func (q *Queue) Offer(now time.Duration, t *Ticket, request Request) {
	*t = Ticket{request: request}
	q.removeIdleQueues()
	if refusal := q.refusalOnArrival(now, &request); refusal != nil {
		q.refuse(t, refusal)
		return
	}
	t.state = ticketWaiting
	q.queueOf(&request).append(t)
	q.dispatch(now)
	q.shedExcess()
}

// Finish frees the slot of a running ticket.
func (q *Queue) Finish(now time.Duration, t *Ticket) {
	if t.state != ticketRunning {
		return
	}
	t.state = ticketDone
	class := t.request.Class
	used := max(now-t.startedAt, 0)
	q.updateAverages(now)
	q.running[class]--
	q.updateCost(class, used)
	t.queue.correctCharge(used - t.charged)
	q.dispatch(now)
}

// updateCost adds a sample to the averages of a class's slot time. The first
// sample replaces the initial cost, which is a guess, as in RFC 6298.
func (q *Queue) updateCost(class Class, used time.Duration) {
	if !q.costMeasured[class] {
		q.costMeasured[class] = true
		q.cost[class], q.deviation[class] = used, used/2
		return
	}
	difference := used - q.cost[class]
	q.cost[class] += time.Duration(costSmoothing * float64(difference))
	q.deviation[class] += time.Duration(costSmoothing * float64(difference.Abs()-q.deviation[class]))
}

// conservativeCost is the slot time that most requests of a class stay below:
// the mean plus deviationFactor mean deviations, as in TCP's retransmission
// timeout (RFC 6298).
func (q *Queue) conservativeCost(class Class) time.Duration {
	return q.cost[class] + deviationFactor*q.deviation[class]
}

// Withdraw removes a waiting ticket, because its caller is gone or its latest
// start time has passed. It reports whether the ticket was still waiting.
func (q *Queue) Withdraw(t *Ticket) bool {
	if t.state != ticketWaiting {
		return false
	}
	t.queue.remove(t)
	t.state = ticketDone
	return true
}

// LatestStart returns the latest time at which a request can start and is still
// expected to meet its deadline; zero means that it has no deadline.
func (q *Queue) LatestStart(request *Request) time.Duration {
	if request.Deadline == 0 {
		return 0
	}
	return request.Deadline - q.conservativeCost(request.Class)
}

// SetSlots changes the number of slots and reserves DefaultReserved of them.
// Running requests keep their slots.
func (q *Queue) SetSlots(now time.Duration, slots int) {
	if slots < 1 || slots == q.config.Slots {
		return
	}
	q.config.Slots = slots
	q.config.Reserved = DefaultReserved(slots)
	q.dispatch(now)
}

// Decisions returns the decisions made since its last call. The slice is valid
// until the next call of any method.
func (q *Queue) Decisions() []Decision {
	decided := q.decisions
	q.decisions = q.decisions[:0]
	return decided
}

// RetryAfter returns the estimated time until all requests that wait now are
// served, but at least minRetryAfter.
func (q *Queue) RetryAfter() time.Duration {
	return max(q.dividedBySlots(q.queuedWork(&q.root)), minRetryAfter)
}

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return q.root.waiting }

// Running returns the number of requests that hold a slot.
func (q *Queue) Running() int { return q.root.running }

// Cost returns the estimated slot time of a class.
func (q *Queue) Cost(class Class) time.Duration { return q.cost[class] }

// queueOf returns the queue of a request and creates it where there is none.
func (q *Queue) queueOf(request *Request) *node {
	path := q.policy(request)
	at := &q.root
	for _, k := range path.keys[:path.count] {
		at = at.child(k)
	}
	return at
}

// dispatch gives free slots to waiting requests. A request whose deadline has
// passed is refused instead of being started.
func (q *Queue) dispatch(now time.Duration) {
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
	q.updateAverages(now)
	t.state = ticketRunning
	t.startedAt = now
	t.charged = q.cost[class]
	t.queue.charge(t.charged)
	q.running[class]++
	q.decisions = append(q.decisions, Decision{Ticket: t})
}

func (q *Queue) refuse(t *Ticket, refusal *Refusal) {
	t.state = ticketDone
	q.decisions = append(q.decisions, Decision{Ticket: t, Refusal: refusal})
}

// eligible returns for each class whether it may take a free slot: the unused
// reserved slots of the other classes must stay free.
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
		// Bulk has filled the slots reserved for it, which no other class may
		// use, and asks for more.
		result[ClassBulk] = free > unusedWrites+max(q.slotsKeptFromBulk()-q.running[ClassLookup], 0)
	}
	return result
}

// slotsKeptFromBulk returns the number of slots that bulk leaves to look-ups:
// their recent use and some headroom, because a slot taken by bulk does not
// become free again within the time of a look-up.
func (q *Queue) slotsKeptFromBulk() int {
	recent := int(math.Ceil(lookupHeadroom * q.averageRunning[ClassLookup]))
	limit := q.config.Slots*maxLookupPercent/100 - q.config.Reserved[ClassWrite]
	return max(q.config.Reserved[ClassLookup], min(recent, limit))
}

// updateAverages advances the averages of used slots to now. It is called before
// the number of running requests changes.
func (q *Queue) updateAverages(now time.Duration) {
	weight := 1 - math.Exp(-(now-q.averagedAt).Seconds()/averagingWindow.Seconds())
	for class, running := range q.running {
		q.averageRunning[class] += weight * (float64(running) - q.averageRunning[class])
	}
	q.averagedAt = now
}

// shedExcess refuses the newest request of the longest queue until no more than
// QueueLimit requests wait.
func (q *Queue) shedExcess() {
	for q.root.waiting > q.config.QueueLimit {
		t := q.root.longest().last
		t.queue.remove(t)
		q.refuse(t, &Refusal{Reason: wire.ReasonShed, RetryAfter: q.RetryAfter()})
	}
}

// removeIdleQueues removes idle queues once every idleRemovalInterval offers.
func (q *Queue) removeIdleQueues() {
	q.offers++
	if q.offers < idleRemovalInterval {
		return
	}
	q.offers = 0
	q.root.removeIdle(q.root.idle())
}
