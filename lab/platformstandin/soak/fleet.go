package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

const (
	// controllers of the fleet, and the services of its gateways.
	controllers    = 5
	keyedService   = "keyed"
	plainService   = "plain"
	slotsOfBackend = 12
	// readyWithin bounds the fleet's start.
	readyWithin = 30 * time.Second
)

// services of the gateways' back ends, and those where series of stops are drawn:
// so many that some gateways still take requests while the others stop.
var (
	services       = []string{keyedService, keyedService, keyedService, plainService, plainService}
	seriesServices = slices.Repeat([]string{keyedService, plainService, keyedService}, 4)
)

// servicesFor returns the services of a fleet that is to bear strikes.
func servicesFor(strikes []Strike) []string {
	if slices.ContainsFunc(strikes, func(strike Strike) bool { return strike.Kind == RollingStops }) {
		return seriesServices
	}
	return services
}

// place is a machine, or the back end beside a gateway, that one strike at a
// time may have.
type place struct {
	mutex    sync.Mutex
	machine  *platformstandin.Machine
	instance *platformstandin.Instance
	// live is the instance, for strikes that do not have the place.
	live  atomic.Pointer[platformstandin.Instance]
	lives int
	// id is the number in the id of the present life.
	id int
}

// fleet is the fleet under soak.
type fleet struct {
	*platformstandin.Fleet
	ctx         context.Context
	grants      Grants
	size        Size
	callers     *callers
	ending      *ending
	controllers []*place
	gateways    []*place
	backends    []*place
	// diskLosses is held while a disk is lost and until it counts as replaced.
	diskLosses sync.Mutex
}

func startFleet(ctx context.Context, config Config, folder string, services []string) (*fleet, error) {
	laid, err := platformstandin.NewFleet(config.Program, folder, config.Size.Controllers, services)
	if err != nil {
		return nil, err
	}
	f := &fleet{Fleet: laid, ctx: ctx, grants: config.Grants, size: config.Size}
	f.callers, f.ending = &callers{fleet: f}, newEnding(f, config.Ending)
	for _, machine := range laid.Cores {
		f.controllers = append(f.controllers, &place{machine: machine})
	}
	for _, machine := range laid.Sides {
		f.gateways = append(f.gateways, &place{machine: machine})
		f.backends = append(f.backends, &place{machine: machine})
	}
	for _, machine := range append(append([]*platformstandin.Machine{}, laid.Cores...), laid.Sides...) {
		if err := machine.Start(); err != nil {
			return f, err
		}
	}
	for _, backend := range f.backends {
		if err := f.startBackend(backend); err != nil {
			return f, err
		}
	}
	return f, nil
}

const (
	// livesOfID is how many lives of a back end have one id.
	livesOfID = 3
	// clockStep is by how much a back end's clock has jumped back at each start: more than
	// a life lasts.
	clockStep = time.Minute
)

// startBackend starts the next life of a back end. The caller has the place.
func (f *fleet) startBackend(backend *place) error { return f.startNext(backend, 0) }

// startNext starts the next life of a back end, where an id lasts for livesOfID of
// them. The caller has the place.
func (f *fleet) startNext(backend *place, listenLate time.Duration) error {
	if (backend.lives+1)%livesOfID == 0 {
		backend.id++
	}
	return f.startLife(backend, listenLate)
}

// startLife starts a life of a back end under the place's id, which begins to listen
// some time after its first heartbeat. The caller has the place.
func (f *fleet) startLife(backend *place, listenLate time.Duration) error {
	if f.ctx.Err() != nil {
		return nil
	}
	backend.lives++
	side := backend.machine
	// The clock of each life is further behind.
	born := time.Now().Add(-time.Duration(backend.lives) * clockStep)
	backend.instance = &platformstandin.Instance{
		ID: fmt.Sprintf("%s-%d", side.Name, backend.id), Born: born.UnixMilli(), Service: side.Service, Machine: side.Name, Keyed: side.Service == keyedService,
		ByHeartbeat: f.grants == ByHeartbeat, Control: side.Control(), Slots: slotsOfBackend, ListenLate: listenLate, Ends: f.ending.endsBackEnd,
		Calls: func(ctx context.Context, call platformstandin.LookUp) { f.callers.lookUp(ctx, side, call) },
	}
	backend.live.Store(backend.instance)
	return platformstandin.StartInstance(f.ctx, f.Ledger, side.App(), backend.instance)
}

// stop ends what still runs.
func (f *fleet) stop() {
	f.Fleet.Stop()
	for _, backend := range f.backends {
		if backend.instance != nil {
			backend.instance.Stop()
		}
	}
}

// awaitServed waits until every gateway serves every service.
func (f *fleet) awaitServed(ctx context.Context, next func() string) error {
	ctx, cancel := context.WithTimeout(ctx, readyWithin)
	defer cancel()
	const again = 50 * time.Millisecond
	for _, gateway := range f.gateways {
		for !f.serves(ctx, gateway.machine, next) {
			if err := pause.For(ctx, again); err != nil {
				return fmt.Errorf("%s does not serve: %w", gateway.machine.Name, err)
			}
		}
	}
	return nil
}

func (f *fleet) serves(ctx context.Context, gateway *platformstandin.Machine, next func() string) bool {
	for _, key := range []string{"1", "22000", "44000", "65535"} {
		answer, err := gateway.Call(ctx, http.MethodGet, host, keyedPath, next(), key, "")
		if err != nil || answer.Status != http.StatusOK {
			return false
		}
	}
	answer, err := gateway.Call(ctx, http.MethodPost, host, plainPath, next(), "", "body")
	return err == nil && answer.Status == http.StatusOK
}

// strike does one fault to its end.
func (f *fleet) strike(strike Strike) error {
	switch strike.Kind {
	case GatewayKill, GatewayStop, GatewayFreeze:
		return f.strikeProcess(f.gateways[strike.Target%len(f.gateways)], strike)
	case ControllerWipe:
		f.diskLosses.Lock()
		defer f.diskLosses.Unlock()
		defer func() { _ = pause.For(f.ctx, platformstandin.CountsAgain) }()
		return f.strikeProcess(f.controllers[strike.Target%len(f.controllers)], strike)
	case ControllerKill, ControllerStop, ControllerPause:
		return f.strikeProcess(f.controllers[strike.Target%len(f.controllers)], strike)
	case ControllersKill:
		return f.strikeAll(f.controllers, strike)
	case RollingStops:
		return f.rollingStops(strike)
	case ControllersReplaced:
		return f.replaceControllers(strike)
	case LargeBodies:
		f.sendUploads(strike)
		return nil
	case SurplusAnswers:
		f.strikeSurplus(f.backends[strike.Target%len(f.backends)].live.Load(), strike)
		return nil
	default:
		number := strike.Target % len(f.backends)
		return f.strikeBackend(f.backends[number], f.gateways[number], strike)
	}
}

func (f *fleet) strikeProcess(struck *place, strike Strike) error {
	struck.mutex.Lock()
	defer struck.mutex.Unlock()
	switch strike.Kind {
	case GatewayFreeze, ControllerPause:
		struck.machine.Freeze()
		_ = pause.For(f.ctx, strike.For)
		struck.machine.Thaw()
		return nil
	default:
		f.end(struck.machine, strike.Kind)
	}
	if strike.Kind == ControllerWipe {
		if err := os.RemoveAll(struck.machine.DataDir()); err != nil {
			return err
		}
	}
	_ = pause.For(f.ctx, strike.For)
	return f.start(struck.machine)
}

// strikeAll kills all of some machines at once.
func (f *fleet) strikeAll(struck []*place, strike Strike) error {
	for _, each := range struck {
		each.mutex.Lock()
		defer each.mutex.Unlock()
	}
	for _, each := range struck {
		each.machine.Signal(syscall.SIGKILL)
	}
	_ = pause.For(f.ctx, strike.For)
	for _, each := range struck {
		if err := f.start(each.machine); err != nil {
			return err
		}
	}
	return nil
}

// drainTime is how long a back end serves on after its announcement.
const drainTime = 3 * time.Second

// strikeBackend does one strike of a back end, which is beside a gateway.
func (f *fleet) strikeBackend(struck, gateway *place, strike Strike) error {
	struck.mutex.Lock()
	defer struck.mutex.Unlock()
	if isDeparture(strike.Kind) || strike.Kind == DeregisterInElection {
		return f.strikeDeparture(struck, gateway, strike)
	}
	if isDoor(strike.Kind) {
		return f.strikeDoor(struck, strike)
	}
	switch strike.Kind {
	case BackendLimit:
		f.limitBackend(struck.instance, strike)
		return nil
	case LateGrants:
		random := rand.New(rand.NewPCG(uint64(strike.At), uint64(strike.Target)))
		struck.instance.SetLate(lateGrants(random))
		_ = pause.For(f.ctx, strike.For)
		struck.instance.SetLate(nil)
		return nil
	case BackendDrain:
		struck.instance.Drain()
		_ = pause.For(f.ctx, drainTime)
	default:
	}
	struck.instance.Stop()
	_ = pause.For(f.ctx, strike.For)
	return f.startBackend(struck)
}

// lateGrants draws for how long grants are held up: half of them not at all.
func lateGrants(random *rand.Rand) func() time.Duration {
	const most = 6 * time.Second
	var mutex sync.Mutex
	return func() time.Duration {
		mutex.Lock()
		defer mutex.Unlock()
		if random.IntN(2) == 0 {
			return 0
		}
		return time.Second + time.Duration(random.Int64N(int64(most-time.Second)))
	}
}
