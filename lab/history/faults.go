package history

import (
	"errors"

	"github.com/quartzdock/quartzdock/lab/faultproxy"
	"github.com/quartzdock/quartzdock/lab/fleet"
)

// Fault is one disturbance of a group of controllers, and how it ends.
type Fault struct {
	Name string
	// Begin disturbs the group; leader is the controller that leads.
	Begin func(f *fleet.Fleet, leader *fleet.Process) error
	// End repairs what Begin did.
	End func(f *fleet.Fleet, leader *fleet.Process) error
}

// Faults returns every kind of fault that is tried.
func Faults() []Fault {
	return []Fault{
		{"kill the leader", kill, start},
		{"freeze the leader", freeze, thaw},
		{"cut the leader off", isolate, heal},
		{"cut what the leader sends", cutSending, heal},
		{"cut what the leader receives", cutReceiving, heal},
		{"kill a majority", killMajority, startAll},
		{"freeze the leader and kill another", freezeAndKill, thawAndStartAll},
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

// cutSending loses what the leader sends to the other controllers.
func cutSending(f *fleet.Fleet, leader *fleet.Process) error {
	var findings []error
	for _, other := range others(f, leader) {
		lose := faultproxy.Lose(faultproxy.Forward)
		findings = append(findings, f.Links.Peers(other.Name).SetFor(leader.Name, lose))
	}
	return errors.Join(findings...)
}

// cutReceiving loses what the other controllers send to the leader.
func cutReceiving(f *fleet.Fleet, leader *fleet.Process) error {
	return f.Links.Peers(leader.Name).Set(faultproxy.Lose(faultproxy.Forward))
}

func killMajority(f *fleet.Fleet, leader *fleet.Process) error {
	return errors.Join(leader.Kill(), others(f, leader)[0].Kill())
}

func freezeAndKill(f *fleet.Fleet, leader *fleet.Process) error {
	return errors.Join(leader.Freeze(), others(f, leader)[0].Kill())
}

func thawAndStartAll(f *fleet.Fleet, leader *fleet.Process) error {
	return errors.Join(leader.Thaw(), startAll(f, leader))
}

// startAll starts the controllers that do not run.
func startAll(f *fleet.Fleet, _ *fleet.Process) error {
	var findings []error
	for _, controller := range f.Controllers {
		if !controller.Running() {
			findings = append(findings, controller.Start())
		}
	}
	return errors.Join(findings...)
}

func others(f *fleet.Fleet, leader *fleet.Process) []*fleet.Process {
	var found []*fleet.Process
	for _, controller := range f.Controllers {
		if controller != leader {
			found = append(found, controller)
		}
	}
	return found
}
