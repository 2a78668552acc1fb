package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The simulation runs callers against one back end on virtual time. The back end
// has 20 slots, as the requirements give it; the service times are those of
// look-ups, settlements and map packs.
const (
	simulatedSlots   = 20
	simulatedTime    = 20 * time.Second
	simulatedWarmUp  = 2 * time.Second
	lookupTime       = 5 * time.Millisecond
	writeTime        = 8 * time.Millisecond
	bulkTime         = 400 * time.Millisecond
	lookupDeadline   = 250 * time.Millisecond
	writeDeadline    = time.Second
	bulkDeadline     = 10 * time.Second
	lightCallers     = 20
	floodInstances   = 40
	reportedQuantile = 0.99
)

// stream is a Poisson stream of requests of one caller and class.
type stream struct {
	group  string
	caller string
	class  Class
	// slots is the offered load: the average number of slots it would occupy.
	slots float64
}

// groupResult collects the results of the streams of a group.
type groupResult struct {
	offered, inTime int
	latencies       []time.Duration
	waits           []time.Duration
}

func (r *groupResult) share() float64 { return float64(r.inTime) / float64(max(r.offered, 1)) }

func p99(all []time.Duration) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	slices.Sort(all)
	return float64(all[int(reportedQuantile*float64(len(all)-1))]) / float64(time.Millisecond)
}

// event is a scheduled event of the simulation.
type event struct {
	at  time.Duration
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulation is one run of the discrete-event simulation.
type simulation struct {
	queue      *Queue
	now        time.Duration
	events     eventQueue
	random     *rand.Rand
	groups     map[string]*groupResult
	onDecision map[*Ticket]func(*Refusal)
	usefulTime time.Duration
}

// simulate offers the streams to a queue of the given policy.
func simulate(seed uint64, policy policy, streams []stream) *simulation {
	queue, err := New(Config{Slots: simulatedSlots})
	if err != nil {
		panic(err)
	}
	queue.policy = policy
	sim := &simulation{
		queue: queue, random: rand.New(rand.NewPCG(seed, 1)),
		groups: make(map[string]*groupResult), onDecision: make(map[*Ticket]func(*Refusal)),
	}
	for _, s := range streams {
		if sim.groups[s.group] == nil {
			sim.groups[s.group] = &groupResult{}
		}
		sim.arriveAfter(s, rand.New(rand.NewPCG(seed, uint64(len(sim.events)+2))))
	}
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		if next.at > simulatedTime {
			break
		}
		sim.now = next.at
		next.run()
	}
	return sim
}

func (sim *simulation) schedule(at time.Duration, run func()) { heap.Push(&sim.events, event{at, run}) }

func timesOf(class Class) (service, deadline time.Duration) {
	switch class {
	case ClassBulk:
		return bulkTime, bulkDeadline
	case ClassWrite:
		return writeTime, writeDeadline
	}
	return lookupTime, lookupDeadline
}

// arriveAfter schedules the stream's next request (Poisson arrivals).
func (sim *simulation) arriveAfter(s stream, random *rand.Rand) {
	service, _ := timesOf(s.class)
	gap := time.Duration(random.ExpFloat64() * float64(service) / s.slots)
	sim.schedule(sim.now+gap, func() {
		sim.arrive(s, time.Duration((0.5+random.Float64())*float64(service)))
		sim.arriveAfter(s, random)
	})
}

// arrive offers one request, as gate.Acquire does.
func (sim *simulation) arrive(s stream, service time.Duration) {
	_, timeout := timesOf(s.class)
	arrived := sim.now
	ticket, group := new(Ticket), sim.groups[s.group]
	counts := arrived >= simulatedWarmUp && arrived+timeout < simulatedTime
	if counts {
		group.offered++
	}
	request := Request{Service: 1, Caller: s.caller, Class: s.class, Deadline: arrived + timeout}
	sim.onDecision[ticket] = func(refused *Refusal) {
		if refused != nil {
			return
		}
		started := sim.now
		sim.schedule(started+service, func() {
			sim.queue.Finish(sim.now, ticket)
			if sim.now <= request.Deadline {
				if counts {
					group.inTime++
					group.latencies = append(group.latencies, sim.now-arrived)
					group.waits = append(group.waits, started-arrived)
				}
				if sim.now >= simulatedWarmUp {
					sim.usefulTime += service
				}
			}
			sim.deliverDecisions()
		})
	}
	sim.queue.Offer(sim.now, ticket, request)
	sim.deliverDecisions()
	if _, waits := sim.onDecision[ticket]; waits {
		sim.schedule(sim.queue.LatestStart(&request), func() {
			if sim.queue.Withdraw(ticket) {
				delete(sim.onDecision, ticket)
			}
		})
	}
}

func (sim *simulation) deliverDecisions() {
	for _, decision := range slices.Clone(sim.queue.Decisions()) {
		deliver := sim.onDecision[decision.Ticket]
		delete(sim.onDecision, decision.Ticket)
		deliver(decision.Refusal)
	}
}

// goodput is the fraction of slot time spent on requests answered in time.
func (sim *simulation) goodput() float64 {
	return float64(sim.usefulTime) / float64(simulatedSlots*(simulatedTime-simulatedWarmUp))
}

// baseLoad is the ordinary traffic, scaled to a multiple of the capacity: look-ups
// of many callers, the settlements of one and the exports of another.
func baseLoad(load float64, bulk bool) []stream {
	lookups := 0.75 * load * simulatedSlots
	var streams []stream
	for i := range lightCallers {
		streams = append(streams, stream{"lookups", fmt.Sprintf("app/%d", i), ClassLookup, lookups / lightCallers})
	}
	streams = append(streams, stream{"writes", "desk/1", ClassWrite, 0.05 * load * simulatedSlots})
	if bulk {
		streams = append(streams, stream{"bulk", "exports/1", ClassBulk, 0.20 * load * simulatedSlots})
	}
	return streams
}

// withFloodByCaller adds one caller that alone offers several times the capacity.
func withFloodByCaller(load float64) []stream {
	return append(baseLoad(0.5, true), stream{"flood", "batch/1", ClassLookup, load * simulatedSlots})
}

// withFloodByTeam adds one caller whose many instances together offer several
// times the capacity.
func withFloodByTeam(load float64) []stream {
	streams := baseLoad(0.5, true)
	for i := range floodInstances {
		streams = append(streams, stream{"flood", fmt.Sprintf("batch/%d", i), ClassLookup, load * simulatedSlots / floodInstances})
	}
	return streams
}

// withLookupsOfBulkCaller adds look-ups of the caller that also runs the exports.
func withLookupsOfBulkCaller(load float64) []stream {
	return append(baseLoad(load, true), stream{"own", "exports/1", ClassLookup, 0.05 * simulatedSlots})
}

func TestOverloadKeepsGoodput(t *testing.T) {
	peak := simulate(1, defaultPolicy, baseLoad(1, true)).goodput()
	for _, load := range []float64{2, 10} {
		goodput := simulate(1, defaultPolicy, baseLoad(load, true)).goodput()
		assert.Assert(t, goodput > 0.95*peak, "%.0fx: %.3f of the slot time against %.3f at 1x", load, goodput, peak)
	}
}

// Settlements offer a twentieth of the capacity, less than is reserved for writes,
// so other requests at ten times the capacity must not starve them.
func TestOverloadDoesNotStarveWrites(t *testing.T) {
	for name, streams := range map[string][]stream{"flood": withFloodByCaller(10), "crowd": withFloodByTeam(10)} {
		writes := simulate(1, defaultPolicy, streams).groups["writes"]
		assert.Assert(t, writes.share() > 0.99, "%s: %.3f of the settlements were answered in time", name, writes.share())
	}
}

func TestFloodByOneCallerDoesNotStarveOthers(t *testing.T) {
	others := simulate(1, defaultPolicy, withFloodByCaller(10)).groups["lookups"]
	assert.Assert(t, others.share() > 0.99, "%.3f of the others' look-ups were answered in time", others.share())
}

func TestBulkDoesNotSlowLookups(t *testing.T) {
	without := p99(simulate(1, defaultPolicy, baseLoad(0.8, false)).groups["lookups"].latencies)
	with := p99(simulate(1, defaultPolicy, baseLoad(0.8, true)).groups["lookups"].latencies)
	assert.Assert(t, with < 3*without, "p99 is %.1f ms with bulk and %.1f ms without", with, without)
}

// Bulk must use the slots reserved for it, which no other class may take, even
// while look-ups overload the back end: at ten times the capacity, two slots in
// twenty are a twentieth of the load that bulk offers.
func TestBulkUsesItsReservedSlotsUnderOverload(t *testing.T) {
	overloaded := simulate(1, defaultPolicy, baseLoad(10, true))
	bulk := overloaded.groups["bulk"]
	assert.Assert(t, bulk.share() > 0.03, "%.3f of the bulk requests were answered in time", bulk.share())
	assert.Assert(t, overloaded.goodput() > 0.97, "%.3f of the slot time went into answers in time", overloaded.goodput())
}

// BenchmarkFairness compares policies on equal seeds: go test -bench Fairness
// -benchtime 3x ./internal/admission.
func BenchmarkFairness(b *testing.B) {
	scenarios := []struct {
		name    string
		streams []stream
	}{
		{"mix 0.8x without bulk", baseLoad(0.8, false)}, {"mix 0.8x", baseLoad(0.8, true)}, {"mix 1x", baseLoad(1, true)},
		{"mix 2x", baseLoad(2, true)}, {"mix 10x", baseLoad(10, true)},
		{"one caller floods 2x", withFloodByCaller(2)}, {"one caller floods 10x", withFloodByCaller(10)},
		{"a crowd of one team 10x", withFloodByTeam(10)}, {"own bulk 2x", withLookupsOfBulkCaller(2)},
	}
	for _, scenario := range scenarios {
		for _, candidate := range policies {
			b.Run(scenario.name+"/"+candidate.name, func(b *testing.B) {
				var goodputs []float64
				groups := make(map[string]*groupResult)
				for seed := uint64(1); b.Loop(); seed++ {
					sim := simulate(seed, candidate.policy, scenario.streams)
					goodputs = append(goodputs, sim.goodput())
					for name, group := range sim.groups {
						if groups[name] == nil {
							groups[name] = &groupResult{}
						}
						sum := groups[name]
						sum.offered, sum.inTime = sum.offered+group.offered, sum.inTime+group.inTime
						sum.latencies = append(sum.latencies, group.latencies...)
						sum.waits = append(sum.waits, group.waits...)
					}
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(100*mean(goodputs), "goodput-%")
				for name, group := range groups {
					b.ReportMetric(100*group.share(), name+"-in-time-%")
				}
				b.ReportMetric(p99(groups["lookups"].latencies), "lookups-p99-ms")
				b.ReportMetric(p99(groups["writes"].waits), "writes-wait-p99-ms")
			})
		}
	}
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}
