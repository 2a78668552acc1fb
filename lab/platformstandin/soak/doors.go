package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
	"github.com/quartzdock/quartzdock/lab/platformstandin"
)

// Kinds in which an address refuses connections, or another life answers there, while
// a back end lives and holds keys.
const (
	// ListenerClosed closes a back end's listener for a time; it serves on over the
	// connections that it has and sends heartbeats.
	ListenerClosed Kind = "listener-closed"
	// DrainListenerClosed drains a back end that closes its listener first and serves
	// on over the connections that it has.
	DrainListenerClosed Kind = "drain-listener-closed"
	// ListenLate crashes a back end whose next life sends heartbeats before it listens.
	ListenLate Kind = "listen-late"
	// NextLifeBeside drains a back end and starts its next life, of another id, at the
	// same address while the former one works on.
	NextLifeBeside Kind = "next-life-beside"
	// RestartAtOnce ends a back end, which is back under its id within a moment.
	RestartAtOnce Kind = "restart-at-once"
)

// doorKinds are drawn from a stream of their own.
var doorKinds = []Kind{ListenerClosed, DrainListenerClosed, ListenLate, NextLifeBeside, RestartAtOnce}

const (
	// doorStream keeps the draw of these kinds apart from that of other strikes, so
	// that a seed's other strikes are the same with and without them.
	doorStream = 0xd005
	// listensAfter is the time from a back end's first heartbeat until it listens.
	listensAfter = 600 * time.Millisecond
	// closesAfter is the time from a back end's word that it leaves to the end of its
	// listener, and saysWithin bounds the wait for that word.
	closesAfter = 100 * time.Millisecond
	saysWithin  = 2 * time.Second
	// worksOn is the least time for which a back end works on beside its next life.
	worksOn = time.Second
	// atOnce bounds the time between two lives under one id.
	atOnce = 50 * time.Millisecond
)

func isDoor(kind Kind) bool { return slices.Contains(doorKinds, kind) }

// drawDoors returns the strikes of a seed of these kinds.
func drawDoors(seed uint64, duration, mean time.Duration, only []Kind) []Strike {
	random := rand.New(rand.NewPCG(seed, doorStream))
	return drawStrikes(random, firstStrike, duration, mean, func(at time.Duration) Strike {
		return Strike{Kind: only[random.IntN(len(only))], At: at, Target: random.IntN(1 << 16), For: drawLength(random, shortest, longest)}
	})
}

// strikeDoor does one strike of these kinds. The caller has the place.
func (f *fleet) strikeDoor(struck *place, strike Strike) error {
	instance := struck.instance
	switch strike.Kind {
	case ListenerClosed:
		instance.CloseListener()
		_ = pause.For(f.ctx, strike.For)
		return instance.Listen()
	case DrainListenerClosed:
		f.drainBehindClosedDoor(instance)
		_ = pause.For(f.ctx, drainTime)
	case NextLifeBeside:
		return f.nextLifeBeside(struck, strike)
	case RestartAtOnce:
		instance.Stop()
		_ = pause.For(f.ctx, strike.For%atOnce)
		return f.startLife(struck, 0)
	default:
	}
	instance.Stop()
	_ = pause.For(f.ctx, strike.For)
	if strike.Kind == ListenLate {
		return f.startNext(struck, listensAfter)
	}
	return f.startNext(struck, 0)
}

// drainBehindClosedDoor makes a back end say that it leaves, and close its listener
// a moment later.
func (f *fleet) drainBehindClosedDoor(instance *platformstandin.Instance) {
	instance.Drain()
	instance.AwaitSaid(f.ctx, saysWithin)
	_ = pause.For(f.ctx, closesAfter)
	instance.CloseListener()
}

// nextLifeBeside starts a back end's next life at the address of the one that leaves,
// which works on for a time.
func (f *fleet) nextLifeBeside(struck *place, strike Strike) error {
	former := struck.instance
	f.drainBehindClosedDoor(former)
	defer former.Stop()
	struck.id++
	if err := f.startLife(struck, 0); err != nil {
		return err
	}
	_ = pause.For(f.ctx, worksOn+strike.For)
	return nil
}
