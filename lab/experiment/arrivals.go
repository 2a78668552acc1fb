package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// request is one request of a caller.
type request struct {
	key       int
	position  topology.KeyHash
	operation int
	// sent is when the caller sent it.
	sent     time.Duration
	deadline time.Duration
	// work is the slot time that it needs.
	work   time.Duration
	router *router
	class  admission.Class
	// shard and epoch as last routed.
	shard topology.ShardID
	epoch topology.Epoch
	// ticket at the agent's limit, with the time at which the run began and up
	// to which its slot time was reported.
	ticket   admission.Ticket
	began    time.Duration
	reported time.Duration
	// running counts the run, so that a completion after a crash is ignored.
	running bool
	// holds counts the times that the router held the request; held is set while
	// it does, until holdUntil at most.
	holds     int
	held      bool
	holdUntil time.Duration
	// probe marks a health probe, which counts for no measure.
	probe bool
}

// arrivals offers requests as a Poisson process whose rate follows the
// scenario.
type arrivals struct {
	emulation *emulation
	random    *rand.Rand
	// factors of the operations' rates.
	factors []float64
}

func newArrivals(e *emulation) *arrivals {
	made := &arrivals{
		emulation: e,
		random:    rand.New(rand.NewPCG(e.config.Seed, 1)),
		factors:   make([]float64, len(e.service.Operations)),
	}
	for index := range made.factors {
		made.factors[index] = 1
	}
	return made
}

// scale multiplies the rate of all operations, or of bulk operations.
func (a *arrivals) scale(event Event, factor float64) {
	for index, operation := range a.emulation.service.Operations {
		if operation.Bulk || !event.Bulk {
			a.factors[index] *= factor
		}
	}
}

// rate of an operation at a time, in requests per second.
func (a *arrivals) rate(operation int, now time.Duration) float64 {
	rate := a.emulation.service.Operations[operation].Rate * a.factors[operation]
	daily := a.emulation.config.Scenario.Daily
	if daily.Amplitude == 0 {
		return rate
	}
	phase := 2 * math.Pi * now.Seconds() / daily.Period.Seconds()
	return rate * (1 + daily.Amplitude*math.Sin(phase))
}

func (a *arrivals) totalRate(now time.Duration) float64 {
	total := 0.0
	for index := range a.factors {
		total += a.rate(index, now)
	}
	return total
}

// next schedules the next request.
func (a *arrivals) next() {
	now := a.emulation.queue.now
	gap := exponential(a.random, time.Duration(float64(time.Second)/a.totalRate(now)))
	a.emulation.queue.after(gap, func() {
		a.emit()
		a.next()
	})
}

// emit makes a request as it reaches its router.
func (a *arrivals) emit() {
	e := a.emulation
	now := e.queue.now
	number := a.drawOperation(now)
	operation := e.service.Operations[number]
	key := e.keys.sample(a.random)
	made := &request{
		key:       key,
		position:  e.keys.positions[key],
		operation: number,
		sent:      now - e.config.Deployment.ClientDistance,
		work:      exponential(a.random, operation.Work),
		router:    e.routers[a.random.IntN(len(e.routers))],
		class:     classOf(operation.Bulk, operation.NonRepeatable),
	}
	made.deadline = made.sent + operation.Deadline
	e.measures.offered()
	made.router.route(made)
}

func classOf(bulk, nonRepeatable bool) admission.Class {
	class := topology.ClassLookup
	if bulk {
		class = topology.ClassBulk
	}
	return admission.ClassOf(class, nonRepeatable)
}

func (a *arrivals) drawOperation(now time.Duration) int {
	drawn := a.random.Float64() * a.totalRate(now)
	for index := range a.factors {
		drawn -= a.rate(index, now)
		if drawn < 0 {
			return index
		}
	}
	return len(a.factors) - 1
}
