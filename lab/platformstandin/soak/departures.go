package soak

import (
	"errors"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// Kinds in which a back end deregisters without having said that it drains, serves on and ends.
// Its heartbeats go on saying that it is ready.
const (
	// BackendDeregister leaves its gateway alone.
	BackendDeregister Kind = "back-end-deregister"
	// DeregisterInStop stops the gateway as planned meanwhile, and starts it again.
	DeregisterInStop Kind = "deregister-in-stop"
	// DeregisterAndKill kills the gateway once the deregistration is acknowledged.
	DeregisterAndKill Kind = "deregister-and-kill"
	// DeregisterAtStart sends the deregistration to a gateway that has just started.
	DeregisterAtStart Kind = "deregister-at-start"
)

// DeregisterInElection deregisters a back end while controllers are killed, most of whose leaders are among
// them, and kills the gateway once the deregistration is acknowledged. It is drawn from a stream of its own.
const DeregisterInElection Kind = "deregister-in-election"

// departureKinds are drawn from a stream of their own.
var departureKinds = []Kind{BackendDeregister, DeregisterInStop, DeregisterAndKill, DeregisterAtStart}

const (
	// departureStream keeps the draw of these kinds apart from that of other strikes.
	departureStream = 0xde9a
	// departurePause is the mean pause between two of them.
	departurePause = 3 * time.Second
	// deregisterPause is between two deregistrations of a back end, and deregistersFor bounds the
	// time for which it sends them.
	deregisterPause = 100 * time.Millisecond
	deregistersFor  = 5 * time.Second
	// latestInStop is the latest time after the beginning of a planned stop at which the first
	// deregistration is sent.
	latestInStop = 5 * time.Second
	// electionStream keeps the draw of DeregisterInElection apart from that of other strikes, and
	// electionPause is the mean pause between two. latestElection is the latest time after the first
	// deregistration at which the controllers are killed: a record takes some milliseconds.
	electionStream = 0xe1ec
	electionPause  = 4 * time.Second
	latestElection = 25 * time.Millisecond
)

func isDeparture(kind Kind) bool { return slices.Contains(departureKinds, kind) }

// drawElections returns the strikes of a seed of the kind DeregisterInElection.
func drawElections(seed uint64, duration time.Duration) []Strike {
	random := rand.New(rand.NewPCG(seed, electionStream))
	return drawStrikes(random, firstStrike, duration, electionPause, func(at time.Duration) Strike {
		return Strike{Kind: DeregisterInElection, At: at, Target: random.IntN(1 << 16), For: time.Duration(random.Int64N(int64(latestElection)))}
	})
}

// drawDepartures returns the strikes of a seed of these kinds.
func drawDepartures(seed uint64, duration time.Duration, only []Kind) []Strike {
	random := rand.New(rand.NewPCG(seed, departureStream))
	return drawStrikes(random, firstStrike, duration, departurePause, func(at time.Duration) Strike {
		return Strike{Kind: only[random.IntN(len(only))], At: at, Target: random.IntN(1 << 16), For: time.Duration(random.Int64N(int64(latestInStop)))}
	})
}

// strikeDeparture does one strike of these kinds. The caller has the back end's place, and gateway
// is that of the machine.
func (f *fleet) strikeDeparture(struck, gateway *place, strike Strike) error {
	var err error
	switch strike.Kind {
	case DeregisterInStop:
		stopped := make(chan error, 1)
		go func() { stopped <- f.strikeProcess(gateway, Strike{Kind: GatewayStop}) }()
		_ = pause.For(f.ctx, strike.For)
		f.deregister(struck.instance)
		err = <-stopped
	case DeregisterAndKill:
		f.deregister(struck.instance)
		err = f.strikeProcess(gateway, Strike{Kind: GatewayKill})
	case DeregisterAtStart:
		err = f.killAndDeregister(struck.instance, gateway)
	case DeregisterInElection:
		elected := make(chan error, 1)
		go func() { elected <- f.killMinority(strike) }()
		f.deregister(struck.instance)
		err = errors.Join(f.strikeProcess(gateway, Strike{Kind: GatewayKill}), <-elected)
	default:
		f.deregister(struck.instance)
	}
	if err != nil {
		return err
	}
	_ = pause.For(f.ctx, drainTime)
	struck.instance.Stop()
	return f.startBackend(struck)
}

// deregister sends deregistrations until one is acknowledged or the back end gives up.
func (f *fleet) deregister(instance *platformstandin.Instance) {
	for end := time.Now().Add(deregistersFor); time.Now().Before(end) && f.ctx.Err() == nil; {
		if instance.Deregister(f.ctx) {
			return
		}
		_ = pause.For(f.ctx, deregisterPause)
	}
}

// killAndDeregister kills a gateway, starts it again and deregisters its back end at once.
func (f *fleet) killAndDeregister(instance *platformstandin.Instance, gateway *place) error {
	gateway.mutex.Lock()
	defer gateway.mutex.Unlock()
	gateway.machine.Signal(syscall.SIGKILL)
	if err := f.start(gateway.machine); err != nil {
		return err
	}
	f.deregister(instance)
	return nil
}

// killMinority kills as many controllers as leave a majority, a time after the strike has begun, and
// starts them again.
func (f *fleet) killMinority(strike Strike) error {
	_ = pause.For(f.ctx, strike.For)
	var numbers []int
	for number := range (len(f.controllers) - 1) / 2 {
		numbers = append(numbers, (strike.Target+number)%len(f.controllers))
	}
	slices.Sort(numbers) // places are taken in one order, so that two strikes don't wait for each other
	var struck []*place
	for _, number := range numbers {
		struck = append(struck, f.controllers[number])
	}
	return f.strikeAll(struck, Strike{For: shortest})
}
