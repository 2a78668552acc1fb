package simulate

import (
	"fmt"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/deployment"
)

const (
	callers   = 3
	operators = 2
)

// cluster is everything that runs in a simulation.
type cluster struct {
	world      *world
	network    *network
	deployment *deployment.Deployment
	defect     Defect

	controllers []*controller
	backends    []*backend
	agents      []*agent
	routers     []*router
	callers     []*caller
	operators   []*operator
	installer   *operator
	zones       map[*process]int

	committed *committedLog
	owners    *ownerBook
	runs      *runBook
	drains    *drainBook
	revisions *revisionBook

	// full are controllers whose disk is full.
	full map[*controller]bool
	// unsound are controllers whose disk was lost and not yet replaced.
	unsound map[*controller]bool

	requests     uint64
	acknowledged int
	inForce      int
	repairs      int
	outcomes     map[wire.Outcome]int
	quiet        bool
	lateAnswers  int
}

func newCluster(w *world, described *deployment.Deployment, defect Defect) *cluster {
	c := &cluster{
		world: w, deployment: described, defect: defect,
		zones:    make(map[*process]int),
		full:     make(map[*controller]bool),
		unsound:  make(map[*controller]bool),
		outcomes: make(map[wire.Outcome]int),
	}
	c.network = newNetwork(w, c.distance)
	c.committed = newCommittedLog(c)
	c.owners = newOwnerBook(c)
	c.runs = newRunBook(c)
	c.drains = &drainBook{cluster: c, since: make(map[string]time.Duration)}
	c.revisions = &revisionBook{cluster: c, highest: make(map[string]topology.Revision)}
	c.build()
	return c
}

// has reports whether a defect is switched on.
func (c *cluster) has(defect Defect) bool { return c.defect == defect }

// localDistance is the least one-way delay between processes of one zone.
const localDistance = 100 * time.Microsecond

func (c *cluster) distance(from, to *process) time.Duration {
	if c.zones[from] == c.zones[to] {
		return localDistance
	}
	return localDistance + c.deployment.ZoneDistance
}

// place puts a process into a zone, in turn.
func (c *cluster) place(p *process, turn int) { c.zones[p] = turn % max(len(c.deployment.Zones), 1) }

// maximumBackends bounds the back ends of a service, which are enough for
// every interleaving.
const maximumBackends = 4

func (c *cluster) build() {
	for i := range c.deployment.Controllers {
		made := newController(c, fmt.Sprintf("controller-%d", i+1))
		c.place(made.process, i)
		c.controllers = append(c.controllers, made)
	}
	for _, service := range c.keyed() {
		for i := range min(max(service.Backends, 3), maximumBackends) {
			server := newBackend(c, fmt.Sprintf("backend-%s-%d", service.Name, i+1), service.Name)
			beside := newAgent(c, fmt.Sprintf("agent-%s-%d", service.Name, i+1), server)
			beside.address = fmt.Sprintf("10.0.0.%d:7201", len(c.agents)+1)
			c.place(server.process, i)
			c.place(beside.process, i)
			c.backends = append(c.backends, server)
			c.agents = append(c.agents, beside)
		}
	}
	for i := range max(c.deployment.Routers, 2) {
		made := newRouter(c, fmt.Sprintf("router-%d", i+1))
		c.place(made.process, i)
		c.routers = append(c.routers, made)
	}
	var names []string
	for _, service := range c.keyed() {
		names = append(names, service.Name)
	}
	for i := range callers {
		c.callers = append(c.callers, newCaller(c, fmt.Sprintf("caller-%d", i+1), names))
	}
	for i := range operators {
		c.operators = append(c.operators, newOperator(c, fmt.Sprintf("operator-%d", i+1)))
	}
	c.installer = newOperator(c, "installer")
}

// keyed returns the services that are divided by key, which alone have owners.
func (c *cluster) keyed() []deployment.Service {
	var keyed []deployment.Service
	for _, service := range c.deployment.Services {
		if service.DividedByKey {
			keyed = append(keyed, service)
		}
	}
	return keyed
}

// start founds the group, starts all processes and sets the services up.
func (c *cluster) start() {
	c.found()
	for _, controller := range c.controllers {
		controller.boot()
	}
	for i, server := range c.backends {
		server.launch()
		c.agents[i].launch()
	}
	for _, r := range c.routers {
		r.launch()
	}
	c.installer.process.start()
	c.install(c.installation(), func() {
		for _, each := range c.callers {
			each.launch()
		}
		for _, each := range c.operators {
			each.launch()
		}
	})
	c.machineList()
}

// found gives the founding members their identities and the first membership.
func (c *cluster) found() {
	var members []consensus.Member
	for i, controller := range c.controllers {
		controller.disk.durable.identity = topology.ReplicaID(i + 1)
		members = append(members, consensus.Member{
			ID: topology.ReplicaID(i + 1), Incarnation: controller.disk.durable.incarnation, Address: controller.name,
		})
	}
	membership := consensus.NewMembership(members...)
	for _, controller := range c.controllers {
		controller.disk.durable.snapshot.Meta.Membership = membership
	}
}

const (
	simulatedShards = 8
	restartGrace    = time.Second
)

// installation returns the commands that set the services up.
func (c *cluster) installation() []controlstate.Command {
	var commands []controlstate.Command
	for _, service := range c.keyed() {
		commands = append(commands, controlstate.Command{CreateService: &controlstate.CreateService{Service: topology.Service{
			Name:          service.Name,
			InitialShards: simulatedShards,
			DrainLimit:    drainLimit,
			Placement: topology.PlacementPolicy{
				Weights: topology.PlacementWeights{
					Imbalance: service.Weights.Imbalance, Churn: service.Weights.Churn, Unavailable: service.Weights.Unavailable,
				},
				MinimumResidence: time.Second, MovesPerMinute: 60, MovesAtOnce: 4, RestartGrace: restartGrace,
			},
		}}})
	}
	for _, a := range c.agents {
		commands = append(commands, controlstate.Command{CreateBackend: &controlstate.CreateBackend{
			Service: a.backend.service,
			Backend: topology.Backend{
				Name:         a.backend.name,
				AgentAddress: a.address,
				Location:     c.location(a.process),
				Slots:        slots,
				Connections:  100,
			},
		}})
	}
	return commands
}

func (c *cluster) location(p *process) topology.Location {
	location := topology.Location{Region: c.deployment.Region}
	if len(c.deployment.Zones) > 0 {
		location.Zone = c.deployment.Zones[c.zones[p]]
	}
	return location
}

// install makes changes one after the other, each until it is accepted.
func (c *cluster) install(commands []controlstate.Command, done func()) {
	if len(commands) == 0 {
		done()
		return
	}
	next := commands[0]
	c.installer.serial++
	next.RequestID = fmt.Sprintf("installer-%d", c.installer.serial)
	next.Author = "installer"
	next.ExpectedRevision, _ = c.committed.reference.Configuration()
	c.installer.submit(next, func(result controlstate.Result, answered bool) {
		_, accepted := c.committed.accepted[next.RequestID]
		if answered && !accepted && len(result.Violations) > 0 {
			c.world.violate(Recovers, "the installation is refused: %v", result.Err())
			return
		}
		if accepted {
			commands = commands[1:]
		}
		c.installer.after(0, func() { c.install(commands, done) })
	})
}

// controllerNamed returns the controller of that address, or nil.
func (c *cluster) controllerNamed(name string) *controller {
	for _, known := range c.controllers {
		if known.name == name {
			return known
		}
	}
	return nil
}

// agentAt returns the agent of that address, or nil.
func (c *cluster) agentAt(address string) *agent {
	for _, known := range c.agents {
		if known.address == address {
			return known
		}
	}
	return nil
}

// agentOf returns the agent beside a back end, by a routing table.
func (c *cluster) agentOf(id topology.BackendID, table *routing.Table) *agent {
	if table == nil {
		return nil
	}
	known, ok := table.Backend(id)
	if !ok {
		return nil
	}
	return c.agentAt(known.AgentAddress)
}

// subscribers lists the clients of controller sessions.
func (c *cluster) subscribers() []*subscriber {
	var all []*subscriber
	for _, a := range c.agents {
		all = append(all, a.subscriber)
	}
	for _, r := range c.routers {
		all = append(all, r.subscriber)
	}
	return all
}

// leader returns a controller that may act as the leader, or nil.
func (c *cluster) leader() *controller {
	for _, known := range c.controllers {
		if known.up && known.core != nil && known.leads() {
			return known
		}
	}
	return nil
}

// anyLeader returns whom an operator asks: mostly the leader.
func (c *cluster) anyLeader(w *world) *controller {
	const asksTheLeader = 0.8
	if leader := c.leader(); leader != nil && w.chance(asksTheLeader) {
		return leader
	}
	return pick(w, c.controllers)
}

// viewOfOperator is the state that an operator sees: that of any controller.
func (c *cluster) viewOfOperator(o *operator) *controlstate.State {
	seen := pick(o.world, c.controllers)
	if !seen.up || seen.core == nil {
		return nil
	}
	return seen.state
}

func (c *cluster) diskFull(of *controller) bool { return c.full[of] }

// machineListInterval and machineListLag: the list of leaving machines is old.
const (
	machineListInterval = 2 * time.Second
	machineListLag      = 5 * time.Second
)

// machineList tells the leader again and again which machines the platform
// lists as leaving: an old and sometimes wrong list.
func (c *cluster) machineList() {
	var leaving []topology.BackendID
	if c.world.chance(0.03) && !c.quiet {
		leaving = append(leaving, topology.BackendID(1+c.world.random.IntN(len(c.agents))))
	}
	c.world.after(machineListLag, func() {
		if leader := c.leader(); leader != nil && !leader.frozen {
			leader.coordinator.SetLeavingMachines(leaving, leader.clock())
		}
	})
	c.world.after(machineListInterval, c.machineList)
}

func sortedBackends[T any](of map[topology.BackendID]T) []topology.BackendID {
	ids := make([]topology.BackendID, 0, len(of))
	for id := range of {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
