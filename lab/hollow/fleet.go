package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	quartzdockv1 "github.com/quartzdock/quartzdock/api/quartzdock/v1"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// groupID of the controllers that the tool starts.
	groupID topology.GroupID = 1
	// settleLimit bounds the wait until a fleet, or a part of it, is as it
	// should be.
	settleLimit = 3 * time.Minute
	// pollPause is the wait between two looks at the fleet.
	pollPause = 50 * time.Millisecond
	// startPace is the time over which the starts of a thousand nodes spread.
	startPace = 5 * time.Second
)

// hollowFleet is a running group of controllers with hollow agents and routers.
type hollowFleet struct {
	plan        Plan
	settings    Settings
	folder      string
	progress    io.Writer
	controllers []*controllerProcess
	agents      *workerProcess
	routers     *workerProcess
	// single holds one router with a table of its own.
	single   *workerProcess
	operator *operator
	backends []topology.BackendID // by agent
	// losses counts those that were caused.
	losses int
}

// startFleet starts all processes, configures the services and waits until
// every shard has an owner.
func startFleet(ctx context.Context, plan Plan, settings Settings, progress io.Writer) (*hollowFleet, error) {
	if err := errors.Join(plan.validate()...); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp(settings.Folder, "quartzdock-fleet-")
	if err != nil {
		return nil, err
	}
	f := &hollowFleet{plan: plan, settings: settings, folder: folder, progress: progress}
	if err := f.start(ctx); err != nil {
		f.stop(false)
		return nil, fmt.Errorf("start fleet (logs in %s): %w", folder, err)
	}
	return f, nil
}

func (f *hollowFleet) start(ctx context.Context) (err error) {
	f.controllers, err = startControllers(f.folder, f.settings.Binaries.Product, f.plan.Controllers)
	if err != nil {
		return err
	}
	if err := f.startWorkers(ctx); err != nil {
		return err
	}
	var rpc []string
	for _, controller := range f.controllers {
		rpc = append(rpc, controller.rpc)
	}
	f.operator = newOperator(rpc)
	if err := f.configure(ctx); err != nil {
		return err
	}
	if err := f.startNodes(); err != nil {
		return err
	}
	return f.settle(ctx)
}

func (f *hollowFleet) startWorkers(ctx context.Context) (err error) {
	for name, worker := range map[string]**workerProcess{
		"agents": &f.agents, "routers": &f.routers, "single": &f.single,
	} {
		if *worker, err = startWorker(ctx, f.folder, name, f.settings.Binaries.Lab); err != nil {
			return err
		}
	}
	return nil
}

// configure creates services and back ends and prepares the workers.
func (f *hollowFleet) configure(ctx context.Context) error {
	for service := range f.plan.Services {
		if err := f.operator.createService(ctx, f.service(service)); err != nil {
			return err
		}
	}
	for agent := range f.plan.Agents {
		spec := agentSpec(agent)
		id, err := f.operator.createBackend(ctx, serviceName(f.plan.serviceOf(agent)), spec)
		if err != nil {
			return err
		}
		f.backends = append(f.backends, id)
	}
	order := order{Configure: &configureOrder{
		Group: groupID, LoadEvery: f.settings.LoadEvery, Requests: uint32(f.settings.Requests),
	}}
	for _, controller := range f.controllers {
		order.Configure.Controllers = append(order.Configure.Controllers, controller.session)
	}
	for _, worker := range f.workers() {
		order.Configure.OwnTables = worker == f.single
		if _, err := worker.ask(order); err != nil {
			return err
		}
	}
	return nil
}

// service is the configuration of one service.
func (f *hollowFleet) service(service int) *quartzdockv1.Service {
	return &quartzdockv1.Service{
		Name:          serviceName(service),
		InitialShards: uint32(f.plan.shardsOf(service)),
		Rules: []*quartzdockv1.RequestRule{{
			Key:     &quartzdockv1.KeySource{Kind: quartzdockv1.KeySourceKind_KEY_SOURCE_KIND_PATH_SEGMENT},
			Timeout: durationpb.New(time.Second),
		}},
		Placement: &quartzdockv1.PlacementPolicy{
			ImbalanceWeight: 1, ChurnWeight: 1, UnavailableWeight: 1,
			MinimumResidence: durationpb.New(10 * time.Second), MovesPerMinute: 60, MovesAtOnce: 2,
		},
		DrainLimit: durationpb.New(time.Second),
	}
}

func (f *hollowFleet) startNodes() error {
	var agents, routers []NodeSpec
	for agent := range f.plan.Agents {
		agents = append(agents, agentSpec(agent))
	}
	for router := range f.plan.Routers {
		routers = append(routers, routerSpec(router))
	}
	if _, err := f.routers.ask(startOf(routers)); err != nil {
		return err
	}
	if _, err := f.single.ask(startOf([]NodeSpec{routerSpec(f.plan.Routers)})); err != nil {
		return err
	}
	_, err := f.agents.ask(startOf(agents))
	return err
}

// startOf spreads starts at the usual pace.
func startOf(nodes []NodeSpec) order {
	return order{Start: &startOrder{Nodes: nodes, Spread: startPace * time.Duration(len(nodes)) / 1000}}
}

// settle waits until every shard has a live owner and all nodes have the
// newest revision.
func (f *hollowFleet) settle(ctx context.Context) error {
	return f.wait(ctx, "all shards owned and all nodes at the last revision", func() (bool, string, error) {
		return f.settled(ctx)
	})
}

func (f *hollowFleet) settled(ctx context.Context) (bool, string, error) {
	committed, err := f.operator.committed(ctx)
	if err != nil {
		return false, "", err
	}
	samples, err := f.sampleWorkers()
	if err != nil {
		return false, "", err
	}
	agents, routers := samples.agents, samples.routers
	lowest := min(agents.Lowest, routers.Lowest, samples.single.Lowest)
	state := fmt.Sprintf("%d of %d shards owned, %d of %d agents leased, revisions %d to %d of %d, %d routers",
		agents.Owned, routers.Shards, agents.Leased, agents.Nodes, lowest, agents.Highest, committed, routers.WithTable)
	done := routers.Shards > 0 && agents.Owned == routers.Shards && agents.Leased == agents.Nodes &&
		lowest >= committed
	return done, state, nil
}

// wait polls a condition and tells what it waits for each few seconds.
func (f *hollowFleet) wait(ctx context.Context, what string, condition func() (done bool, state string, err error)) error {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	const tellEach = 5 * time.Second
	told := time.Now()
	for {
		done, state, err := condition()
		if done || err != nil {
			return err
		}
		if time.Since(told) > tellEach {
			told = time.Now()
			f.tell("waiting for %s: %s", what, state)
		}
		select {
		case <-time.After(pollPause):
		case <-ctx.Done():
			return fmt.Errorf("%s: not within %v: %s", what, settleLimit, state)
		}
	}
}

func (f *hollowFleet) tell(format string, arguments ...any) {
	fmt.Fprintf(f.progress, format+"\n", arguments...)
}

// workers are those that have started.
func (f *hollowFleet) workers() []*workerProcess {
	return []*workerProcess{f.agents, f.routers, f.single}
}

// stop ends all processes and, if asked, removes their files.
func (f *hollowFleet) stop(removeFiles bool) {
	for _, worker := range f.workers() {
		if worker != nil {
			worker.stop()
		}
	}
	for _, controller := range f.controllers {
		controller.Stop()
	}
	if removeFiles {
		_ = os.RemoveAll(filepath.Clean(f.folder))
	}
}
