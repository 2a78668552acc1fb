package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/admission"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const ms = time.Millisecond

func mustQueue(t testing.TB, config admission.Config) *admission.Queue {
	t.Helper()
	queue, err := admission.New(config)
	assert.NilError(t, err)
	return queue
}

func offer(q *admission.Queue, now time.Duration, request admission.Request) *admission.Ticket {
	ticket := new(admission.Ticket)
	q.Offer(now, ticket, request)
	return ticket
}

func lookup(caller string) admission.Request {
	return admission.Request{Caller: caller, Class: admission.ClassLookup}
}

// started drains the decisions and returns the tickets that run.
func started(q *admission.Queue) []*admission.Ticket {
	var result []*admission.Ticket
	for _, decision := range q.Decisions() {
		if decision.Refusal == nil {
			result = append(result, decision.Ticket)
		}
	}
	return result
}

func TestSlotsAndQueueAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, limit = 6, 9
		queue, err := admission.New(admission.Config{Slots: slots, QueueLimit: limit})
		assert.NilError(t, err)
		decisionCounts := make(map[*admission.Ticket]int)
		var running, all []*admission.Ticket
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now := time.Duration(step) * ms
			if len(running) > 0 && rapid.Bool().Draw(t, "finish") {
				queue.Finish(now, running[0])
				running = running[1:]
			} else {
				request := admission.Request{
					Caller: rapid.SampledFrom([]string{"a", "b/1", "b/2"}).Draw(t, "caller"),
					Class:  admission.Class(rapid.IntRange(0, 2).Draw(t, "class")),
				}
				if rapid.Bool().Draw(t, "with deadline") {
					request.Deadline = now + time.Duration(rapid.IntRange(0, 50).Draw(t, "left"))*ms
				}
				all = append(all, offer(queue, now, request))
			}
			for _, decision := range queue.Decisions() {
				decisionCounts[decision.Ticket]++
				if decision.Refusal == nil {
					running = append(running, decision.Ticket)
				}
			}
			assert.Equal(t, queue.Running(), len(running))
			assert.Assert(t, len(running) <= slots)
			assert.Assert(t, queue.Waiting() <= limit)
		}
		for _, ticket := range all {
			if decisionCounts[ticket] == 0 {
				assert.Assert(t, queue.Withdraw(ticket), "an undecided ticket must still wait")
			}
			assert.Assert(t, decisionCounts[ticket] <= 1, "a ticket is decided once")
		}
		assert.Equal(t, queue.Waiting(), 0)
	})
}

func TestBulkLeavesTheReservedSlotsToLookups(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 20})
	for range 40 {
		offer(queue, 0, admission.Request{Caller: "packs", Class: admission.ClassBulk})
	}
	assert.Equal(t, queue.Running(), 20-5-2, "5 slots are kept for look-ups and 2 for writes")
	for range 5 {
		assert.Assert(t, offer(queue, 0, lookup("app")).Running())
	}
	for range 2 {
		assert.Assert(t, offer(queue, 0, admission.Request{Caller: "desk", Class: admission.ClassWrite}).Running())
	}
}

func TestLookupsLeaveTheReservedSlotsToWrites(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 20, QueueLimit: 100})
	for range 100 {
		offer(queue, 0, lookup("app"))
	}
	assert.Assert(t, offer(queue, 0, admission.Request{Caller: "desk", Class: admission.ClassWrite}).Running())
}

// Requests of a caller that floods the queue wait behind each other, not ahead of
// other callers.
func TestCallersShareSlotTimeEvenly(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 1, QueueLimit: 100, Reserved: [3]int{1, 0, 0}})
	running := offer(queue, 0, lookup("flood"))
	for range 50 {
		offer(queue, 0, lookup("flood"))
	}
	quiet := []*admission.Ticket{offer(queue, 0, lookup("quiet")), offer(queue, 0, lookup("quiet"))}
	started(queue)
	now := time.Duration(0)
	for range 4 {
		now += 5 * ms
		queue.Finish(now, running)
		running = started(queue)[0]
	}
	for _, ticket := range quiet {
		assert.Assert(t, !queue.Withdraw(ticket), "both must have started among the first four")
	}
}

// Several instances of one calling service together get the share of one service.
func TestSlotTimeIsSharedByServiceBeforeInstance(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 1, QueueLimit: 300, Reserved: [3]int{1, 0, 0}})
	running := offer(queue, 0, lookup("warm-up"))
	callers := make(map[*admission.Ticket]string)
	for range 40 {
		for _, caller := range []string{"tiles/1", "tiles/2", "tiles/3", "desk/1"} {
			callers[offer(queue, 0, lookup(caller))] = caller
		}
	}
	started(queue)
	served := make(map[string]int)
	now := time.Duration(0)
	for range 60 {
		now += 5 * ms
		queue.Finish(now, running)
		running = started(queue)[0]
		served[callers[running]]++
	}
	assert.Equal(t, served["desk/1"], 30)
	assert.Equal(t, served["tiles/1"], 10)
	assert.Equal(t, served["tiles/2"], 10)
	assert.Equal(t, served["tiles/3"], 10)
}

func TestFullQueueShedsNewestRequestOfLongestQueue(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 1, QueueLimit: 3})
	offer(queue, 0, lookup("flood"))
	offer(queue, 0, lookup("flood"))
	offer(queue, 0, lookup("flood"))
	newest := offer(queue, 0, lookup("flood"))
	queue.Decisions()
	offer(queue, 0, lookup("quiet"))
	decisions := queue.Decisions()
	assert.Equal(t, len(decisions), 1)
	assert.Assert(t, decisions[0].Ticket == newest)
	assert.Equal(t, decisions[0].Refusal.Reason, wire.ReasonShed)
	assert.Assert(t, decisions[0].Refusal.RetryAfter > 0)
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedAtOnce(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 1, QueueLimit: 100})
	for range 11 {
		offer(queue, 0, lookup("app"))
	}
	queue.Decisions()
	late := lookup("app")
	late.Deadline = 50 * ms // ten requests of 5 ms are before it and it needs 5 ms itself
	offer(queue, 0, late)
	decisions := queue.Decisions()
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Refusal.Reason, wire.ReasonShed)

	inTime := lookup("app")
	inTime.Deadline = 60 * ms
	assert.Assert(t, queue.Withdraw(offer(queue, 0, inTime)), "it waits")
}

// After a slow period the estimates are far too high. They must not refuse every
// request from then on, since without new samples they would never recover.
func TestWrongEstimateDoesNotRefuseWhileSlotIsFree(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 1})
	now := time.Duration(0)
	for range 50 {
		slow := offer(queue, now, lookup("app"))
		now += 10 * time.Second
		queue.Finish(now, slow)
	}
	request := lookup("app")
	request.Deadline = now + 100*ms
	assert.Assert(t, offer(queue, now, request).Running())
}

func TestExpiredRequestIsNotStarted(t *testing.T) {
	queue := mustQueue(t, admission.Config{Slots: 1})
	first := offer(queue, 0, lookup("app"))
	request := lookup("app")
	request.Deadline = 20 * ms
	waiting := offer(queue, 0, request)
	queue.Decisions()
	queue.Finish(30*ms, first)
	decisions := queue.Decisions()
	assert.Assert(t, decisions[0].Ticket == waiting)
	assert.Equal(t, decisions[0].Refusal.Reason, wire.ReasonExpired)
	assert.Equal(t, queue.Running(), 0)
}

func TestConfigErrorsAreJoined(t *testing.T) {
	_, err := admission.New(admission.Config{Slots: 0, QueueLimit: -1, Reserved: [3]int{1, -1, 1}})
	assert.ErrorContains(t, err, "slots: 0, need at least 1")
	assert.ErrorContains(t, err, "queue limit: -1 is negative")
	assert.ErrorContains(t, err, "reserved slots of class write: -1 is negative")
}

func TestRetryBudgetBoundsRetriesToShareOfTraffic(t *testing.T) {
	budget := admission.NewRetryBudget(0.1, 5)
	granted := 0
	for range 1000 {
		budget.Earn()
		if budget.Spend() {
			granted++
		}
	}
	assert.Assert(t, granted <= 105, "%d retries for 1000 requests", granted)
	assert.Assert(t, granted >= 100, "%d retries for 1000 requests", granted)
}

func TestClassOf(t *testing.T) {
	assert.Equal(t, admission.ClassOf(topology.ClassLookup, true), admission.ClassWrite)
	assert.Equal(t, admission.ClassOf(topology.ClassBulk, true), admission.ClassBulk)
	assert.Equal(t, admission.ClassOf(0, false), admission.ClassLookup)
}

func BenchmarkOfferAndFinish(b *testing.B) {
	for _, waiting := range []int{0, 200} {
		b.Run(map[int]string{0: "idle", 200: "200 waiting"}[waiting], func(b *testing.B) {
			queue := mustQueue(b, admission.Config{Slots: 20, QueueLimit: 400})
			running := make([]*admission.Ticket, 0, 20)
			if waiting > 0 {
				for len(running) < 20 {
					running = append(running, offer(queue, 0, lookup("app/1")))
				}
			}
			for i := range waiting {
				offer(queue, 0, lookup("app/"+string(rune('a'+i%26))))
			}
			queue.Decisions()
			tickets := make([]admission.Ticket, 1024)
			b.ReportAllocs()
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now += ms / 20
				queue.Offer(now, &tickets[i%len(tickets)], lookup("app/1"))
				for _, decision := range queue.Decisions() {
					running = append(running, decision.Ticket)
				}
				if len(running) == 0 {
					continue
				}
				queue.Finish(now, running[0])
				running = append(running[:0], running[1:]...)
				for _, decision := range queue.Decisions() {
					running = append(running, decision.Ticket)
				}
			}
		})
	}
}
