package experiment

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/lab/deployment"
)

// Config says what one run does.
type Config struct {
	Deployment *deployment.Deployment
	Scenario   *Scenario
	Policy     Policy
	Seed       uint64
	// Weights replace those of the deployment if not nil.
	Weights *deployment.Weights
	// Placement replaces the product's default policy, with its weights, if not
	// nil.
	Placement *topology.PlacementPolicy
	// Trace takes a line for each move begun; nil is none.
	Trace io.Writer
}

// Times that the deployment file does not give.
const (
	// syncCost is one synced write to the log.
	syncCost = 2 * time.Millisecond
	// tickInterval is how often the leader looks for work.
	tickInterval = 10 * time.Millisecond
	// sampleInterval is the distance of points in the report's plots.
	sampleInterval = time.Second
	// leaseCheckInterval is how often the measures notice an ended lease.
	leaseCheckInterval = 5 * time.Millisecond
	// drainLimit bounds how long a planned move or stop waits for requests.
	drainLimit = 10 * time.Second
	// markLead is how long before a marked shift it is announced.
	markLead = 5 * time.Second
)

// emulation is one run: the cluster on virtual time.
type emulation struct {
	config   Config
	queue    eventQueue
	service  deployment.Service
	leader   *leader
	servers  []*server
	routers  []*router
	arrivals *arrivals
	keys     *popularity
	measures *measures
	// draws is the random source of events, apart from that of arrivals, so
	// that every policy meets the same requests.
	draws *rand.Rand
}

// Emulate runs a scenario once. Equal configurations give equal results.
func Emulate(config Config) (*Result, error) {
	e, err := prepare(config)
	if err != nil {
		return nil, err
	}
	e.queue.run(config.Scenario.Duration)
	return e.measures.result(), nil
}

// prepare builds the cluster and schedules the scenario.
func prepare(config Config) (*emulation, error) {
	service, found := dividedService(config.Deployment)
	if !found {
		return nil, fmt.Errorf("deployment %s: no service is divided by key", config.Deployment.Name)
	}
	if config.Weights != nil {
		service.Weights = *config.Weights
	}
	e := &emulation{
		config:  config,
		service: service,
		keys:    newPopularity(service.Keys),
		draws:   rand.New(rand.NewPCG(config.Seed, 2)),
	}
	if err := e.build(); err != nil {
		return nil, err
	}
	e.schedule()
	return e, nil
}

// dividedService is the first service that is divided by key.
func dividedService(d *deployment.Deployment) (deployment.Service, bool) {
	for _, service := range d.Services {
		if service.DividedByKey {
			return service, true
		}
	}
	return deployment.Service{}, false
}

func (e *emulation) build() error {
	e.measures = newMeasures(e)
	leader, err := newLeader(e)
	if err != nil {
		return err
	}
	e.leader = leader
	if err := leader.createService(); err != nil {
		return fmt.Errorf("create service %s: %w", e.service.Name, err)
	}
	for range e.service.Backends {
		e.addServer()
	}
	for number := range e.config.Deployment.Routers {
		e.routers = append(e.routers, newRouter(e, number, number%len(e.config.Deployment.Zones)))
	}
	e.arrivals = newArrivals(e)
	return nil
}

func (e *emulation) schedule() {
	e.arrivals.next()
	e.queue.every(0, tickInterval, e.leader.tick)
	e.queue.every(leaseCheckInterval, leaseCheckInterval, e.measures.observeShards)
	e.queue.every(e.config.Scenario.Warmup, sampleInterval, e.measures.sample)
	e.queue.at(e.config.Scenario.Warmup, e.measures.begin)
	for _, event := range e.config.Scenario.Events {
		e.scheduleEvent(event)
	}
}

// addServer adds a back end in the next zone in turn.
func (e *emulation) addServer() *server {
	zone := len(e.servers) % len(e.config.Deployment.Zones)
	id := e.leader.createBackend(len(e.servers), topology.Location{
		Region: e.config.Deployment.Region,
		Zone:   e.config.Deployment.Zones[zone],
		Rack:   topology.RackName(fmt.Sprintf("rack-%d", len(e.servers)+1)),
	})
	added := newServer(e, id, zone)
	e.servers = append(e.servers, added)
	added.start()
	return added
}

// server finds a back end by identity.
func (e *emulation) server(id topology.BackendID) *server {
	if id == 0 || int(id) > len(e.servers) {
		return nil
	}
	return e.servers[id-1]
}

// distance is the one-way delay between zones.
func (e *emulation) distance(from, to int) time.Duration {
	if from == to {
		return 0
	}
	return e.config.Deployment.ZoneDistance
}

// weights returns the service's weights for the product.
func (e *emulation) weights() topology.PlacementWeights {
	weights := e.service.Weights
	return topology.PlacementWeights{
		Imbalance: weights.Imbalance, Churn: weights.Churn, Unavailable: weights.Unavailable,
	}
}

// scheduleEvent lets an event of the scenario happen.
func (e *emulation) scheduleEvent(event Event) {
	switch event.Kind {
	case EventHot:
		e.scheduleHot(event)
	case EventRate:
		e.queue.at(event.At, func() { e.arrivals.scale(event, event.Factor) })
		e.queue.at(event.At+event.For, func() { e.arrivals.scale(event, 1/event.Factor) })
	case EventJoin:
		e.queue.at(event.At, func() {
			e.measures.disturbed(nil)
			for range event.Count {
				e.addServer()
			}
		})
	case EventLeave:
		e.queue.at(event.At, func() { e.leave(e.existing(event.Backend)) })
	case EventRestart:
		e.queue.at(event.At, func() { e.existing(event.Backend).restart(event.Down) })
	case EventLose:
		e.queue.at(event.At, func() { e.lose(e.existing(event.Backend), event.Down) })
	case EventLoseZone:
		e.queue.at(event.At, func() { e.loseZone(event.Zone-1, event.Down) })
	case EventFreeze:
		e.queue.at(event.At, func() { e.existing(event.Backend).freeze(event.Down) })
	case EventLie:
		e.queue.at(event.At, func() { e.existing(event.Backend).claimFactor = event.Factor })
		e.queue.at(event.At+event.For, func() { e.existing(event.Backend).claimFactor = 1 })
	}
}

// existing maps the number of a back end in a scenario to one that exists.
func (e *emulation) existing(number int) *server { return e.servers[(number-1)%len(e.servers)] }

func (e *emulation) scheduleHot(event Event) {
	group := &hotGroup{keys: e.keys.draw(e.draws, event.Keys), share: event.Share}
	if event.Marked {
		e.queue.at(event.At-markLead, func() { e.leader.mark(group, event) })
	}
	e.queue.at(event.At, func() {
		e.measures.disturbed(nil)
		e.keys.add(group)
	})
	e.queue.at(event.At+event.For, func() {
		e.measures.disturbed(nil)
		e.keys.remove(group)
	})
}

func (e *emulation) leave(leaving *server) {
	e.measures.disturbed([]*server{leaving})
	e.leader.drainBackend(leaving.id)
}

func (e *emulation) lose(lost *server, down time.Duration) {
	e.measures.disturbed([]*server{lost})
	e.crash(lost, down)
}

func (e *emulation) crash(lost *server, down time.Duration) {
	lost.crash()
	if down > 0 {
		e.queue.after(down, lost.start)
	}
}

func (e *emulation) loseZone(zone int, down time.Duration) {
	var lost []*server
	for _, candidate := range e.servers {
		if candidate.zone == zone {
			lost = append(lost, candidate)
		}
	}
	e.measures.disturbed(lost)
	for _, candidate := range lost {
		e.crash(candidate, down)
	}
}

// commitDelay is the time from a proposal to its application: a synced write
// and a round trip to a quorum.
func (e *emulation) commitDelay() time.Duration {
	return 2*e.config.Deployment.ZoneDistance + syncCost
}

// serviceConfiguration is the service as an operator creates it.
func (e *emulation) serviceConfiguration() topology.Service {
	rules := make([]topology.RequestRule, 0, len(e.service.Operations))
	for _, operation := range e.service.Operations {
		rules = append(rules, topology.RequestRule{
			PathPrefix:    "/" + operation.Name,
			Key:           topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1},
			NonRepeatable: operation.NonRepeatable,
		})
	}
	policy := topology.PlacementPolicy{Weights: e.weights()}
	if e.config.Placement != nil {
		policy = *e.config.Placement
	}
	return topology.Service{
		Name:          e.service.Name,
		Rules:         rules,
		InitialShards: e.service.Shards,
		Placement:     policy,
		DrainLimit:    drainLimit,
	}
}

// offeredSlots is the load that callers offer now, in slots.
func (e *emulation) offeredSlots() float64 {
	total := 0.0
	for index, operation := range e.service.Operations {
		total += e.arrivals.rate(index, e.queue.now) * operation.Work.Seconds()
	}
	return total
}

// exponential draws from an exponential distribution.
func exponential(random *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(-math.Log(1-random.Float64()) * float64(mean))
}
