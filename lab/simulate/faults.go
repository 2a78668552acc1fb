package simulate

import (
	"embed"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
)

// FaultKind names a kind of fault.
type FaultKind string

// Kinds of faults.
const (
	KillController   FaultKind = "kill_controller"
	FreezeController FaultKind = "freeze_controller"
	LoseDisk         FaultKind = "lose_disk"
	RollBackDisk     FaultKind = "roll_back_disk"
	FullDisk         FaultKind = "full_disk"
	SlowDisk         FaultKind = "slow_disk"
	PowerLoss        FaultKind = "power_loss"
	CutController    FaultKind = "cut_controller"
	CutPeers         FaultKind = "cut_peers"

	KillAgent    FaultKind = "kill_agent"
	FreezeAgent  FaultKind = "freeze_agent"
	LoseJournal  FaultKind = "lose_journal"
	StopAgent    FaultKind = "stop_agent"
	CutAgent     FaultKind = "cut_agent"
	SlowAgent    FaultKind = "slow_agent"
	KillBackend  FaultKind = "kill_backend"
	FreezeServer FaultKind = "freeze_server"
	Swallow      FaultKind = "swallow"
	LieAboutLoad FaultKind = "lie_about_load"

	KillRouter   FaultKind = "kill_router"
	FreezeRouter FaultKind = "freeze_router"
	StopRouter   FaultKind = "stop_router"
	CutRouter    FaultKind = "cut_router"

	CutZone  FaultKind = "cut_zone"
	CutOne   FaultKind = "cut_one_direction"
	SlowLink FaultKind = "slow_link"
)

// Fault is one kind of fault in a plan.
type Fault struct {
	Kind FaultKind `yaml:"kind"`
	// Every is the mean time between two of them.
	Every time.Duration `yaml:"every"`
	// Least and Most bound how long one lasts. A restarted process is down for
	// that long.
	Least time.Duration `yaml:"least"`
	Most  time.Duration `yaml:"most"`
}

// FaultPlan says which faults a simulation injects.
type FaultPlan struct {
	// Quiet is the time without faults at the end, after which everything must
	// work again.
	Quiet time.Duration `yaml:"quiet"`
	// Together is the chance that another fault begins at the same moment.
	Together float64 `yaml:"together"`
	// Twice is the chance that the same fault comes again right after its end.
	Twice  float64 `yaml:"twice"`
	Faults []Fault `yaml:"faults"`
}

// Built-in plans.
const (
	// PlanAll has every kind of fault.
	PlanAll = "all"
	// PlanElections has faults of controllers alone, at a high rate.
	PlanElections = "elections"
)

//go:embed all.yaml elections.yaml
var builtInPlans embed.FS

// LoadFaults reads a plan: the built-in one of that name, or a file.
func LoadFaults(path string) (*FaultPlan, error) {
	read := os.ReadFile
	file := path
	if path == PlanAll || path == PlanElections {
		read = builtInPlans.ReadFile
		file += ".yaml"
	}
	text, err := read(file)
	if err != nil {
		return nil, fmt.Errorf("fault plan: %w", err)
	}
	var plan FaultPlan
	if err := yaml.UnmarshalWithOptions(text, &plan, yaml.Strict()); err != nil {
		return nil, fmt.Errorf("fault plan %s: %w", path, err)
	}
	if err := plan.validate(); err != nil {
		return nil, fmt.Errorf("fault plan %s: %w", path, err)
	}
	return &plan, nil
}

func (p *FaultPlan) validate() error {
	var findings []error
	for i, fault := range p.Faults {
		if _, known := faultActions[fault.Kind]; !known {
			findings = append(findings, fmt.Errorf("faults[%d].kind: unknown %q", i, fault.Kind))
		}
		if fault.Every <= 0 {
			findings = append(findings, fmt.Errorf("faults[%d].every: must be positive", i))
		}
		if fault.Most < fault.Least || fault.Least < 0 {
			findings = append(findings, fmt.Errorf("faults[%d]: least %v, most %v", i, fault.Least, fault.Most))
		}
	}
	return errors.Join(findings...)
}

// faultAction injects one fault; it reports false where the fault is not
// possible now, for example because more would be lost than is tolerated.
type faultAction func(i *injector, length time.Duration) bool

var faultActions map[FaultKind]faultAction

func init() {
	faultActions = map[FaultKind]faultAction{
		KillController:   (*injector).killController,
		FreezeController: (*injector).freezeController,
		LoseDisk:         (*injector).loseDisk,
		RollBackDisk:     (*injector).rollBackDisk,
		FullDisk:         (*injector).fullDisk,
		SlowDisk:         (*injector).slowDisk,
		PowerLoss:        (*injector).powerLoss,
		CutController:    (*injector).cutController,
		CutPeers:         (*injector).cutPeers,
		KillAgent:        (*injector).killAgent,
		FreezeAgent:      (*injector).freezeAgent,
		LoseJournal:      (*injector).loseJournal,
		StopAgent:        (*injector).stopAgent,
		CutAgent:         (*injector).cutAgent,
		SlowAgent:        (*injector).slowAgent,
		KillBackend:      (*injector).killBackend,
		FreezeServer:     (*injector).freezeBackend,
		Swallow:          (*injector).swallow,
		LieAboutLoad:     (*injector).lieAboutLoad,
		KillRouter:       (*injector).killRouter,
		FreezeRouter:     (*injector).freezeRouter,
		StopRouter:       (*injector).stopRouter,
		CutRouter:        (*injector).cutRouter,
		CutZone:          (*injector).cutZone,
		CutOne:           (*injector).cutOneDirection,
		SlowLink:         (*injector).slowLink,
	}
}

// injector plays a plan.
type injector struct {
	cluster *cluster
	world   *world
	plan    *FaultPlan
	counts  map[FaultKind]int
	ended   bool
}

func newInjector(c *cluster, plan *FaultPlan) *injector {
	return &injector{cluster: c, world: c.world, plan: plan, counts: make(map[FaultKind]int)}
}

// start plays faults until a true time.
func (i *injector) start(until time.Duration) {
	for _, fault := range i.plan.Faults {
		i.schedule(fault)
	}
	i.world.after(until-i.world.now, i.end)
}

func (i *injector) schedule(fault Fault) {
	i.world.after(time.Duration(i.world.random.ExpFloat64()*float64(fault.Every)), func() {
		if i.ended {
			return
		}
		i.inject(fault, true)
		if i.world.chance(i.plan.Together) {
			i.inject(pick(i.world, i.plan.Faults), true)
		}
		i.schedule(fault)
	})
}

func (i *injector) inject(fault Fault, mayRepeat bool) {
	length := i.world.between(fault.Least, fault.Most)
	if i.ended || !faultActions[fault.Kind](i, length) {
		return
	}
	i.counts[fault.Kind]++
	i.world.note(string(fault.Kind), uint64(length))
	if mayRepeat && i.world.chance(i.plan.Twice) {
		i.world.after(length+time.Millisecond, func() { i.inject(fault, false) })
	}
}

// end mends everything.
func (i *injector) end() {
	i.ended = true
	c := i.cluster
	c.quiet = true
	for _, direction := range sortedLinks(c.network) {
		over := c.network.links[direction]
		over.slow = 0
		if over.cut != notCut {
			c.network.mend(over)
		}
	}
	clear(c.full)
	for _, controller := range c.controllers {
		controller.disk.slow = 0
		if controller.frozen {
			controller.thaw()
		}
	}
	for _, p := range c.processes() {
		if p.frozen {
			p.thaw()
		}
	}
	for _, server := range c.backends {
		server.swallowing = false
	}
	for _, a := range c.agents {
		a.lying = 0
	}
}

// sortedLinks lists the links in a fixed order.
func sortedLinks(n *network) []direction {
	links := make([]direction, 0, len(n.links))
	for key := range n.links {
		links = append(links, key)
	}
	slices.SortFunc(links, func(a, b direction) int {
		if a.from.name != b.from.name {
			return strings.Compare(a.from.name, b.from.name)
		}
		return strings.Compare(a.to.name, b.to.name)
	})
	return links
}

// processes lists all processes but callers and operators.
func (c *cluster) processes() []*process {
	var all []*process
	for _, each := range c.controllers {
		all = append(all, each.process)
	}
	for _, each := range c.backends {
		all = append(all, each.process)
	}
	for _, each := range c.agents {
		all = append(all, each.process)
	}
	for _, each := range c.routers {
		all = append(all, each.process)
	}
	return all
}

// kinds lists all kinds of faults in a fixed order.
func kinds() []FaultKind {
	all := make([]FaultKind, 0, len(faultActions))
	for kind := range faultActions {
		all = append(all, kind)
	}
	slices.Sort(all)
	return all
}
