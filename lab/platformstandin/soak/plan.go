package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind of a strike.
type Kind string

// Kinds. Those of back ends and grants strike no machine's process.
const (
	GatewayKill     Kind = "gateway-kill"
	GatewayStop     Kind = "gateway-stop"
	GatewayFreeze   Kind = "gateway-freeze"
	ControllerKill  Kind = "controller-kill"
	ControllerStop  Kind = "controller-stop"
	ControllerPause Kind = "controller-freeze"
	// ControllersKill ends all controllers at the same moment.
	ControllersKill Kind = "controllers-kill"
	// ControllerWipe ends one and empties its disk.
	ControllerWipe Kind = "controller-wipe"
	BackendCrash   Kind = "back-end-crash"
	BackendDrain   Kind = "back-end-drain"
	// LateGrants holds grants to a back end up, which then takes them without an
	// answer.
	LateGrants Kind = "late-grants"
	// RollingStops stops the gateways as planned, one after the other with a gap
	// that is shorter than the stops, and starts each again.
	RollingStops Kind = "rolling-stops"
)

// Kinds that are drawn one at a time, in a fixed order. Series are drawn apart.
var kinds = []Kind{
	GatewayKill, GatewayStop, GatewayFreeze, ControllerKill, ControllerStop, ControllerPause,
	ControllersKill, ControllerWipe, BackendCrash, BackendDrain, LateGrants,
}

const (
	// shortest and longest bound how long a strike lasts.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
	// meanPause between two strikes, where nothing else is said.
	meanPause = 1200 * time.Millisecond
	// wipePause is the least time between two lost disks: the fleet bears one at
	// a time, and a replacement counts as whole after some seconds.
	wipePause = 12 * time.Second
	// firstStrike lets the fleet serve before.
	firstStrike = time.Second
)

// Strike is one fault.
type Strike struct {
	Kind Kind          `json:"kind"`
	At   time.Duration `json:"at"`
	For  time.Duration `json:"for"`
	// Target numbers the machine among those of its kind.
	Target int `json:"target"`
	// Gap is the time between two stops of a series, and Rounds is how often it
	// goes over all machines, or how many machines are replaced or bodies sent.
	Gap    time.Duration `json:"gap,omitempty"`
	Rounds int           `json:"rounds,omitempty"`
}

// String implements fmt.Stringer.
func (s Strike) String() string {
	switch s.Kind {
	case ControllersReplaced, LargeBodies:
		return fmt.Sprintf("%v %s from %d, %d of them", s.At.Round(time.Millisecond), s.Kind, s.Target, s.Rounds)
	case RollingStops:
		return fmt.Sprintf("%v %s from %d each %v, %d rounds", s.At.Round(time.Millisecond), s.Kind, s.Target, s.Gap.Round(time.Millisecond), s.Rounds)
	default:
		return fmt.Sprintf("%v %s %d for %v", s.At.Round(time.Millisecond), s.Kind, s.Target, s.For.Round(time.Millisecond))
	}
}

// ownStreams are the kinds that are drawn each from a stream of its own.
var ownStreams = []struct {
	kind Kind
	draw func(seed uint64, duration time.Duration) []Strike
}{{BackendLimit, drawLimits}, {SurplusAnswers, drawSurplus}, {ControllersReplaced, drawReplacements}, {LargeBodies, drawUploads}, {DeregisterInElection, drawElections}}

// Draw returns the strikes of a seed, in the order of their times. Only is the
// kinds to draw from; none is all.
func Draw(seed uint64, duration time.Duration, only []Kind) []Strike {
	return draw(seed, duration, meanPause, only)
}

// draw is Draw with a mean pause between two strikes.
func draw(seed uint64, duration, mean time.Duration, only []Kind) []Strike {
	if len(only) == 0 {
		only = slices.Concat(kinds, []Kind{RollingStops}, doorKinds, departureKinds)
		for _, drawn := range ownStreams {
			only = append(only, drawn.kind)
		}
	}
	ofFamily := func(belongs func(Kind) bool) []Kind {
		return slices.DeleteFunc(slices.Clone(only), func(kind Kind) bool { return !belongs(kind) })
	}
	var strikes []Strike
	if single := ofFamily(isSingle); len(single) > 0 {
		strikes = drawSingle(seed, duration, mean, single)
	}
	if doors := ofFamily(isDoor); len(doors) > 0 {
		strikes = append(strikes, drawDoors(seed, duration, mean, doors)...)
	}
	if departures := ofFamily(isDeparture); len(departures) > 0 {
		strikes = append(strikes, drawDepartures(seed, duration, departures)...)
	}
	for _, drawn := range ownStreams {
		if slices.Contains(only, drawn.kind) {
			strikes = append(strikes, drawn.draw(seed, duration)...)
		}
	}
	if slices.Contains(only, RollingStops) {
		first := firstSeries
		if len(strikes) == 0 {
			first = firstStrike
		}
		strikes = append(strikes, drawSeries(seed, first, duration)...)
	}
	slices.SortStableFunc(strikes, func(a, b Strike) int { return cmp.Compare(a.At, b.At) })
	return strikes
}

// drawStrikes returns the strikes that a function draws, one after the other from a time on, with a mean pause
// between two.
func drawStrikes(random *rand.Rand, first, duration, mean time.Duration, one func(at time.Duration) Strike) []Strike {
	var strikes []Strike
	for at := first; at < duration; at += time.Duration(random.ExpFloat64() * float64(mean)) {
		strikes = append(strikes, one(at))
	}
	return strikes
}

// drawLength draws how long a strike lasts.
func drawLength(random *rand.Rand, shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(random.Int64N(int64(longest-shortest)))
}

func isSingle(kind Kind) bool { return slices.Contains(kinds, kind) }

// drawSingle returns the strikes of a seed that are no series.
func drawSingle(seed uint64, duration, mean time.Duration, only []Kind) []Strike {
	random := rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
	wipeAfter := time.Duration(0)
	return drawStrikes(random, firstStrike, duration, mean, func(at time.Duration) Strike {
		strike := Strike{Kind: only[random.IntN(len(only))], At: at, Target: random.IntN(1 << 16), For: drawLength(random, shortest, longest)}
		if strike.Kind == ControllerWipe {
			if at < wipeAfter {
				strike.Kind = ControllerKill
			} else {
				wipeAfter = at + wipePause
			}
		}
		return strike
	})
}
