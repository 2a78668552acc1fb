package history

import (
	"errors"

	"github.com/quartzdock/quartzdock/lab/faultproxy"
	"github.com/quartzdock/quartzdock/lab/fleet"
)

// Fault is a fault in a group of controllers that can be injected and repaired.
type Fault struct {
	Name string
	// Begin injects the fault; leader is the current leader.
	Begin func(f *fleet.Fleet, leader *fleet.Process) error
	// End reverts Begin, with the same leader.
	End func(f *fleet.Fleet, leader *fleet.Process) error
}

// Faults returns all kinds of faults.
func Faults() []Fault {
	return []Fault{
		{"kill the leader", kill, start},
		{"freeze the leader", freeze, thaw},
		{"cut the leader off", isolate, heal},
		{"cut what the leader sends", dropSent, heal},
		{"cut what the leader receives", dropReceived, heal},
		{"kill a majority", killMajority, startStopped},
		{"freeze the leader and kill another", freezeAndKill, thawAndStartStopped},
	}
}

func kill(_ *fleet.Fleet, leader *fleet.Process) error   { return leader.Kill() }
func start(_ *fleet.Fleet, leader *fleet.Process) error  { return leader.Start() }
func freeze(_ *fleet.Fleet, leader *fleet.Process) error { return leader.Freeze() }
func thaw(_ *fleet.Fleet, leader *fleet.Process) error   { return leader.Thaw() }

func isolate(f *fleet.Fleet, leader *fleet.Process) error { return f.Isolate(leader) }

func heal(f *fleet.Fleet, _ *fleet.Process) error {
	f.Links.Heal()
	return nil
}

// dropSent drops all bytes that the leader sends to the other controllers on
// connections that it opened.
func dropSent(f *fleet.Fleet, leader *fleet.Process) error {
	var errs []error
	for _, other := range others(f, leader) {
		lose := faultproxy.Lose(faultproxy.Forward)
		errs = append(errs, f.Links.Peers(other.Name).SetFor(leader.Name, lose))
	}
	return errors.Join(errs...)
}

// dropReceived drops all bytes that the other controllers send to the leader on
// connections that they opened.
func dropReceived(f *fleet.Fleet, leader *fleet.Process) error {
	return f.Links.Peers(leader.Name).Set(faultproxy.Lose(faultproxy.Forward))
}

func killMajority(f *fleet.Fleet, leader *fleet.Process) error {
	return errors.Join(leader.Kill(), others(f, leader)[0].Kill())
}

func freezeAndKill(f *fleet.Fleet, leader *fleet.Process) error {
	return errors.Join(leader.Freeze(), others(f, leader)[0].Kill())
}

func thawAndStartStopped(f *fleet.Fleet, leader *fleet.Process) error {
	return errors.Join(leader.Thaw(), startStopped(f, leader))
}

// startStopped starts the controllers that are not running.
func startStopped(f *fleet.Fleet, _ *fleet.Process) error {
	var errs []error
	for _, controller := range f.Controllers {
		if !controller.Running() {
			errs = append(errs, controller.Start())
		}
	}
	return errors.Join(errs...)
}

func others(f *fleet.Fleet, leader *fleet.Process) []*fleet.Process {
	var remaining []*fleet.Process
	for _, controller := range f.Controllers {
		if controller != leader {
			remaining = append(remaining, controller)
		}
	}
	return remaining
}
