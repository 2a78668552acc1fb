package simulate

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	operatorPause   = 1500 * time.Millisecond
	operatorTimeout = 1200 * time.Millisecond
	operatorSends   = 6
	// installerSends is as often as it takes.
	installerSends = 1000
	inForcePoll    = 50 * time.Millisecond
	inForceGiveUp  = 10 * time.Second
	// raceChance is the chance that operators race with equal numbers.
	raceChance = 0.5
)

// operator is an emulated operator: it reads the revision, proposes a change
// that expects it, and sends the same again where no answer came.
type operator struct {
	*process
	cluster *cluster
	serial  int
}

func newOperator(c *cluster, name string) *operator {
	return &operator{process: newProcess(c.world, name), cluster: c}
}

func (o *operator) launch() {
	o.process.start()
	o.next()
}

// next begins a change after a pause; with another operator's at the same
// moment in half of the cases.
func (o *operator) next() {
	pause := o.world.between(0, 2*operatorPause)
	if o.world.chance(raceChance) {
		pause = o.cluster.nextRace()
	}
	o.after(pause, func() { o.change() })
}

// nextRace is how long until the next moment at which operators meet.
func (c *cluster) nextRace() time.Duration {
	return operatorPause - c.world.now%operatorPause
}

// change proposes one change.
func (o *operator) change() {
	command, ok := o.choose()
	if !ok {
		o.next()
		return
	}
	o.submit(command, func(result controlstate.Result, answered bool) {
		if answered && result.Err() == nil {
			o.accepted(result.Revision)
		}
		o.next()
	})
}

// choose makes a command from what the operator sees.
func (o *operator) choose() (controlstate.Command, bool) {
	state := o.cluster.viewOfOperator(o)
	if state == nil {
		return controlstate.Command{}, false
	}
	services := state.Services()
	if len(services) == 0 {
		return controlstate.Command{}, false
	}
	revision, _ := state.Configuration()
	o.serial++
	command := controlstate.Command{
		RequestID:        fmt.Sprintf("%s-%d", o.name, o.serial),
		Author:           o.name,
		ExpectedRevision: revision,
	}
	service := pick(o.world, services)
	switch o.world.random.IntN(3) {
	case 0:
		o.drainOrActivate(&command, state, service)
	case 1:
		command.MarkLoadShift = &controlstate.MarkLoadShift{
			Service: service.Name, Keys: []topology.KeyHash{topology.HashKey("key-1")},
			StartUnixMilli: o.unixMilli(), EndUnixMilli: o.unixMilli() + 10_000, ExpectedSlots: 3,
		}
	default:
		updated := service.Service
		updated.Placement.MovesPerMinute = uint32(10 + o.world.random.IntN(100))
		command.UpdateService = &controlstate.UpdateService{Service: updated}
	}
	return command, true
}

// drainOrActivate drains one back end of a service, unless one is draining
// already; then it is activated.
func (o *operator) drainOrActivate(command *controlstate.Command, state *controlstate.State, service controlstate.ServiceInfo) {
	var active, draining []controlstate.BackendInfo
	for _, info := range state.Backends() {
		switch {
		case info.Service != service.ID:
		case info.State == topology.BackendDraining:
			draining = append(draining, info)
		default:
			active = append(active, info)
		}
	}
	chosen, wanted := active, topology.BackendDraining
	if len(draining) > 0 {
		chosen, wanted = draining, topology.BackendActive
	}
	if len(chosen) == 0 {
		return
	}
	command.SetBackendState = &controlstate.SetBackendState{
		Backend: controlstate.BackendName{Service: service.Name, Name: pick(o.world, chosen).Name},
		State:   wanted,
	}
}

// submit sends a command to the leader until it is answered, at most
// operatorSends times.
func (o *operator) submit(command controlstate.Command, done func(controlstate.Result, bool)) {
	o.cluster.committed.asked[command.RequestID] = command.ExpectedRevision
	if err := command.SetDigest(); err != nil {
		o.world.violate(OneWinner, "%s cannot seal a command: %v", o.name, err)
		return
	}
	sends := operatorSends
	if o == o.cluster.installer {
		sends = installerSends
	}
	o.resend(command, sends, done)
}

func (o *operator) resend(command controlstate.Command, left int, done func(controlstate.Result, bool)) {
	if left == 0 {
		done(controlstate.Result{}, false)
		return
	}
	to := o.cluster.anyLeader(o.world)
	ended := false
	again := func() {
		if ended {
			return
		}
		ended = true
		o.after(o.world.between(0, operatorTimeout/4), func() { o.resend(command, left-1, done) })
	}
	o.cluster.network.send(o.process, to.process, func() {
		to.mutate(command, func(result controlstate.Result, known bool) {
			o.cluster.network.send(to.process, o.process, func() {
				switch {
				case !known:
					again()
				case !ended:
					ended = true
					o.cluster.committed.answered(command.RequestID, result)
					done(result, true)
				}
			}, nil)
		})
	}, again)
	o.after(operatorTimeout, again)
}

// mutate makes an operator's change: checked against the state that a quorum
// confirms, then put through the log.
func (c *controller) mutate(command controlstate.Command, answer func(result controlstate.Result, known bool)) {
	command.UnixMilli = c.unixMilli()
	if c.cluster.has(DefectForgetRequestIDs) {
		c.serial++
		command.RequestID = fmt.Sprintf("%s/%s/%d", command.RequestID, c.name, c.serial)
	}
	c.readIndex(func(confirmed bool) {
		if !confirmed {
			answer(controlstate.Result{}, false)
			return
		}
		if c.cluster.has(DefectIgnoreExpected) {
			command.ExpectedRevision, _ = c.state.Configuration()
		}
		checked := c.state.Check(command)
		if checked.Err() != nil || checked.Repeated {
			answer(checked, true)
			return
		}
		proposed := c.propose(command, func(result controlstate.Result, committed bool) { answer(result, committed) })
		if !proposed {
			answer(controlstate.Result{}, false)
		}
	})
}

// accepted follows a change: it asks until it is in force everywhere.
func (o *operator) accepted(revision topology.Revision) {
	o.cluster.acknowledged++
	o.awaitInForce(revision, o.world.now+inForceGiveUp)
}

func (o *operator) awaitInForce(revision topology.Revision, giveUp time.Duration) {
	for _, c := range o.cluster.controllers {
		if c.up && !c.frozen && c.core != nil && c.inForceEverywhere(revision) {
			o.cluster.inForce++
			o.cluster.checkInForce(revision)
			return
		}
	}
	if o.world.now < giveUp {
		o.after(inForcePoll, func() { o.awaitInForce(revision, giveUp) })
	}
}
