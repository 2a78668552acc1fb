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

// The emulation plays callers against one back end on virtual time. Its slots
// are the brief's; the service times are of look-ups, settlements and map packs.
const (
	emulatedSlots   = 20
	emulatedTime    = 20 * time.Second
	emulatedWarmUp  = 2 * time.Second
	lookupTime      = 5 * time.Millisecond
	writeTime       = 8 * time.Millisecond
	bulkTime        = 400 * time.Millisecond
	lookupDeadline  = 250 * time.Millisecond
	writeDeadline   = time.Second
	bulkDeadline    = 10 * time.Second
	modestCallers   = 20
	crowdInstances  = 40
	tailOfLatencies = 0.99
)

// stream is the requests of one caller and class.
type stream struct {
	group  string
	caller string
	class  Class
	// slots is the slot time that it asks for, in slots.
	slots float64
}

// measured is what came of the streams of a group.
type measured struct {
	offered, inTime int
	latencies       []time.Duration
	waits           []time.Duration
}

func (m *measured) share() float64 { return float64(m.inTime) / float64(max(m.offered, 1)) }

func tail(all []time.Duration) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	slices.Sort(all)
	return float64(all[int(tailOfLatencies*float64(len(all)-1))]) / float64(time.Millisecond)
}

// happening is an event of the emulation.
type happening struct {
	at  time.Duration
	act func()
}

type timeline []happening

func (t timeline) Len() int           { return len(t) }
func (t timeline) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timeline) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timeline) Push(x any)        { *t = append(*t, x.(happening)) }
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// emulation is one run.
type emulation struct {
	queue  *Queue
	now    time.Duration
	events timeline
	random *rand.Rand
	groups map[string]*measured
	fates  map[*Ticket]func(*Refusal)
	useful time.Duration
}

// emulate offers the streams to a queue of the given order.
func emulate(seed uint64, order policy, streams []stream) *emulation {
	queue, err := New(Config{Slots: emulatedSlots})
	if err != nil {
		panic(err)
	}
	queue.order = order
	e := &emulation{
		queue: queue, random: rand.New(rand.NewPCG(seed, 1)),
		groups: make(map[string]*measured), fates: make(map[*Ticket]func(*Refusal)),
	}
	for _, s := range streams {
		if e.groups[s.group] == nil {
			e.groups[s.group] = &measured{}
		}
		e.arriveAfter(s, rand.New(rand.NewPCG(seed, uint64(len(e.events)+2))))
	}
	for len(e.events) > 0 {
		next := heap.Pop(&e.events).(happening)
		if next.at > emulatedTime {
			break
		}
		e.now = next.at
		next.act()
	}
	return e
}

func (e *emulation) at(at time.Duration, act func()) { heap.Push(&e.events, happening{at, act}) }

func timesOf(class Class) (service, deadline time.Duration) {
	switch class {
	case ClassBulk:
		return bulkTime, bulkDeadline
	case ClassWrite:
		return writeTime, writeDeadline
	}
	return lookupTime, lookupDeadline
}

// arriveAfter draws when the stream's next request comes (Poisson).
func (e *emulation) arriveAfter(s stream, random *rand.Rand) {
	service, _ := timesOf(s.class)
	gap := time.Duration(random.ExpFloat64() * float64(service) / s.slots)
	e.at(e.now+gap, func() {
		e.arrive(s, time.Duration((0.5+random.Float64())*float64(service)))
		e.arriveAfter(s, random)
	})
}

// arrive offers one request, as gate.Acquire does.
func (e *emulation) arrive(s stream, service time.Duration) {
	_, patience := timesOf(s.class)
	arrived := e.now
	ticket, group := new(Ticket), e.groups[s.group]
	counts := arrived >= emulatedWarmUp && arrived+patience < emulatedTime
	if counts {
		group.offered++
	}
	request := Request{Service: 1, Caller: s.caller, Class: s.class, Deadline: arrived + patience}
	e.fates[ticket] = func(refused *Refusal) {
		if refused != nil {
			return
		}
		started := e.now
		e.at(started+service, func() {
			e.queue.Finish(e.now, ticket)
			if e.now <= request.Deadline {
				if counts {
					group.inTime++
					group.latencies = append(group.latencies, e.now-arrived)
					group.waits = append(group.waits, started-arrived)
				}
				if e.now >= emulatedWarmUp {
					e.useful += service
				}
			}
			e.decide()
		})
	}
	e.queue.Offer(e.now, ticket, request)
	e.decide()
	if _, waits := e.fates[ticket]; waits {
		e.at(e.queue.LatestStart(&request), func() {
			if e.queue.Withdraw(ticket) {
				delete(e.fates, ticket)
			}
		})
	}
}

func (e *emulation) decide() {
	for _, decision := range slices.Clone(e.queue.Decisions()) {
		fate := e.fates[decision.Ticket]
		delete(e.fates, decision.Ticket)
		fate(decision.Refusal)
	}
}

// goodput is the part of the slot time that went into answers in time.
func (e *emulation) goodput() float64 {
	return float64(e.useful) / float64(emulatedSlots*(emulatedTime-emulatedWarmUp))
}

// mix is the ordinary load at a multiple of what the back end can do: modest
// callers' look-ups, a desk's settlements and exports.
func mix(load float64, bulk bool) []stream {
	lookups := 0.75 * load * emulatedSlots
	var streams []stream
	for i := range modestCallers {
		streams = append(streams, stream{"lookups", fmt.Sprintf("app/%d", i), ClassLookup, lookups / modestCallers})
	}
	streams = append(streams, stream{"writes", "desk/1", ClassWrite, 0.05 * load * emulatedSlots})
	if bulk {
		streams = append(streams, stream{"bulk", "exports/1", ClassBulk, 0.20 * load * emulatedSlots})
	}
	return streams
}

// withFlood adds one caller that alone asks for several times the capacity.
func withFlood(load float64) []stream {
	return append(mix(0.5, true), stream{"flood", "batch/1", ClassLookup, load * emulatedSlots})
}

// withCrowd adds one team whose many instances together ask for several times
// the capacity.
func withCrowd(load float64) []stream {
	streams := mix(0.5, true)
	for i := range crowdInstances {
		streams = append(streams, stream{"flood", fmt.Sprintf("batch/%d", i), ClassLookup, load * emulatedSlots / crowdInstances})
	}
	return streams
}

// withOwnBulk adds look-ups of the team that also runs the exports.
func withOwnBulk(load float64) []stream {
	return append(mix(load, true), stream{"own", "exports/1", ClassLookup, 0.05 * emulatedSlots})
}

func TestOverloadKeepsGoodput(t *testing.T) {
	peak := emulate(1, chosen, mix(1, true)).goodput()
	for _, load := range []float64{2, 10} {
		goodput := emulate(1, chosen, mix(load, true)).goodput()
		assert.Assert(t, goodput > 0.95*peak, "%.0fx: %.3f of the slot time against %.3f at 1x", load, goodput, peak)
	}
}

// Settlements ask for a twentieth of the slot time, less than is reserved for
// them, so that ten times the capacity in other work must not keep them out.
func TestOverloadDoesNotStarveSettlements(t *testing.T) {
	for name, streams := range map[string][]stream{"flood": withFlood(10), "crowd": withCrowd(10)} {
		writes := emulate(1, chosen, streams).groups["writes"]
		assert.Assert(t, writes.share() > 0.99, "%s: %.3f of the settlements were answered in time", name, writes.share())
	}
}

func TestFloodOfOneCallerLeavesTheOthersTheirShare(t *testing.T) {
	others := emulate(1, chosen, withFlood(10)).groups["lookups"]
	assert.Assert(t, others.share() > 0.99, "%.3f of the others' look-ups were answered in time", others.share())
}

func TestBulkDoesNotSlowLookups(t *testing.T) {
	without := tail(emulate(1, chosen, mix(0.8, false)).groups["lookups"].latencies)
	with := tail(emulate(1, chosen, mix(0.8, true)).groups["lookups"].latencies)
	assert.Assert(t, with < 3*without, "p99 is %.1f ms with bulk and %.1f ms without", with, without)
}

// The slots that nobody else may use must not stand idle because look-ups want
// room as well: at ten times the capacity two slots in twenty are a twentieth of
// what bulk asks for.
func TestBulkUsesItsOwnSlotsUnderOverload(t *testing.T) {
	overloaded := emulate(1, chosen, mix(10, true))
	bulk := overloaded.groups["bulk"]
	assert.Assert(t, bulk.share() > 0.03, "%.3f of the bulk requests were answered in time", bulk.share())
	assert.Assert(t, overloaded.goodput() > 0.97, "%.3f of the slot time was of use", overloaded.goodput())
}

// BenchmarkFairness compares orders on equal seeds: go test -bench Fairness
// -benchtime 3x ./internal/admission.
func BenchmarkFairness(b *testing.B) {
	situations := []struct {
		name    string
		streams []stream
	}{
		{"mix 0.8x without bulk", mix(0.8, false)}, {"mix 0.8x", mix(0.8, true)}, {"mix 1x", mix(1, true)},
		{"mix 2x", mix(2, true)}, {"mix 10x", mix(10, true)},
		{"one caller floods 2x", withFlood(2)}, {"one caller floods 10x", withFlood(10)},
		{"a crowd of one team 10x", withCrowd(10)}, {"own bulk 2x", withOwnBulk(2)},
	}
	for _, situation := range situations {
		for _, order := range orders {
			b.Run(situation.name+"/"+order.name, func(b *testing.B) {
				var goodputs []float64
				groups := make(map[string]*measured)
				for seed := uint64(1); b.Loop(); seed++ {
					e := emulate(seed, order.policy, situation.streams)
					goodputs = append(goodputs, e.goodput())
					for name, group := range e.groups {
						if groups[name] == nil {
							groups[name] = &measured{}
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
				b.ReportMetric(tail(groups["lookups"].latencies), "lookups-p99-ms")
				b.ReportMetric(tail(groups["writes"].waits), "writes-wait-p99-ms")
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
