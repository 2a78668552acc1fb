package faults

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/lab/faultproxy"
	"github.com/quartzdock/quartzdock/lab/fleet"
	"github.com/quartzdock/quartzdock/lab/pause"
)

// kind is a kind of fault. strike causes it, returns once the system has
// recovered as far as it can, and gives a function that heals it.
type kind struct {
	name        string
	about       string
	concernsAll bool
	strike      func(context.Context, *bench, *fleet.Member) (heal func() error, err error)
}

// settleTime is how long a fault without loss of an owner is left in force.
const settleTime = time.Second

var kinds = []kind{
	{name: "kill-agent", about: "an agent is killed", strike: killAgent},
	{name: "kill-backend", about: "a back end is killed, its agent lives", strike: killBackend},
	{name: "kill-machine", about: "an agent and its back end are killed", strike: killMachine},
	{name: "freeze-machine", about: "an agent and its back end stop and return", strike: freezeMachine},
	{name: "freeze-backend", about: "a back end stops and returns, its agent lives", strike: freezeBackend},
	{name: "cut-agent", about: "an agent is cut off from all controllers, silently", strike: cutAgent},
	{name: "cut-requests", about: "routers are cut off from an agent, silently", strike: cutRequests},
	{name: "kill-leader", about: "the leading controller is killed", concernsAll: true, strike: killLeader},
	{name: "freeze-leader", about: "the leading controller stops and returns", concernsAll: true, strike: freezeLeader},
	{name: "kill-leader-and-machine", about: "leader, agent and back end are killed at once", strike: killLeaderAndMachine},
	{name: "kill-router", about: "a router is killed", concernsAll: true, strike: killRouter},
	{name: "planned-stop", about: "an agent is stopped as planned", strike: plannedStop},
	{name: "drain", about: "an operator drains a back end", strike: drain},
}

func startAll(processes ...*fleet.Process) func() error {
	return func() error {
		var findings []error
		for _, process := range processes {
			findings = append(findings, process.Start())
		}
		return errors.Join(findings...)
	}
}

func thawAll(processes ...*fleet.Process) func() error {
	return func() error {
		var findings []error
		for _, process := range processes {
			findings = append(findings, process.Thaw())
		}
		return errors.Join(findings...)
	}
}

func killAll(processes ...*fleet.Process) error {
	var findings []error
	for _, process := range processes {
		findings = append(findings, process.Kill())
	}
	return errors.Join(findings...)
}

func killAgent(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := victim.Agent.Kill(); err != nil {
		return nil, err
	}
	return startAll(victim.Agent), b.awaitNewOwners(ctx, victim)
}

func killBackend(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := victim.Backend.Kill(); err != nil {
		return nil, err
	}
	return startAll(victim.Backend), b.awaitNewOwners(ctx, victim)
}

func killMachine(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := killAll(victim.Agent, victim.Backend); err != nil {
		return nil, err
	}
	return startAll(victim.Backend, victim.Agent), b.awaitNewOwners(ctx, victim)
}

func freezeMachine(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := errors.Join(victim.Agent.Freeze(), victim.Backend.Freeze()); err != nil {
		return nil, err
	}
	return thawAll(victim.Backend, victim.Agent), b.awaitNewOwners(ctx, victim)
}

func freezeBackend(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := victim.Backend.Freeze(); err != nil {
		return nil, err
	}
	return thawAll(victim.Backend), b.awaitNewOwners(ctx, victim)
}

func cutAgent(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := b.CutSessions(victim.Agent, faultproxy.BlackHole()); err != nil {
		return nil, err
	}
	return b.heal, b.awaitNewOwners(ctx, victim)
}

func cutRequests(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := b.Links.Requests(victim.Name).Set(faultproxy.BlackHole()); err != nil {
		return nil, err
	}
	return b.heal, b.awaitNewOwners(ctx, victim)
}

func (b *bench) heal() error {
	b.Links.Heal()
	return nil
}

func (b *bench) leader(ctx context.Context) (*fleet.Process, error) {
	number, err := b.Admin().Leader(ctx)
	if err != nil {
		return nil, err
	}
	return b.Controllers[number], nil
}

func killLeader(ctx context.Context, b *bench, _ *fleet.Member) (func() error, error) {
	leader, err := b.leader(ctx)
	if err != nil {
		return nil, err
	}
	if err := leader.Kill(); err != nil {
		return nil, err
	}
	return startAll(leader), pause.For(ctx, settleTime)
}

func freezeLeader(ctx context.Context, b *bench, _ *fleet.Member) (func() error, error) {
	leader, err := b.leader(ctx)
	if err != nil {
		return nil, err
	}
	if err := leader.Freeze(); err != nil {
		return nil, err
	}
	return thawAll(leader), pause.For(ctx, settleTime)
}

func killLeaderAndMachine(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	leader, err := b.leader(ctx)
	if err != nil {
		return nil, err
	}
	if err := killAll(leader, victim.Agent, victim.Backend); err != nil {
		return nil, err
	}
	return startAll(leader, victim.Backend, victim.Agent), b.awaitNewOwners(ctx, victim)
}

func killRouter(ctx context.Context, b *bench, _ *fleet.Member) (func() error, error) {
	router := b.Routers[b.random.IntN(len(b.Routers))]
	if err := router.Kill(); err != nil {
		return nil, err
	}
	return startAll(router), pause.For(ctx, settleTime)
}

func plannedStop(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := victim.Agent.Terminate(); err != nil {
		return nil, err
	}
	if err := victim.Agent.WaitEnd(patience); err != nil {
		return nil, err
	}
	return startAll(victim.Agent), b.awaitNewOwners(ctx, victim)
}

func drain(ctx context.Context, b *bench, victim *fleet.Member) (func() error, error) {
	if err := b.Admin().Drain(ctx, victim); err != nil {
		return nil, err
	}
	return func() error { return b.Admin().Activate(ctx, victim) }, b.awaitNewOwners(ctx, victim)
}
