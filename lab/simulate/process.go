package simulate

import "time"

// maximumDrift is how much the clocks of two processes differ in rate: a
// little less than the bound that leases and leader leases allow for.
const maximumDrift = 0.018

// process is an operating system process with a clock of its own. It can be
// killed and started again, and frozen, whereupon everything that falls due
// waits until it goes on.
type process struct {
	world *world
	name  string
	// life counts starts and ends; what belongs to an earlier life is dropped.
	life   uint64
	up     bool
	frozen bool
	held   []func()

	// rate of the monotonic clock against true time, which read clockBase at
	// worldBase.
	rate      float64
	clockBase time.Duration
	worldBase time.Duration
	// wallOffset is how far the wall clock is off.
	wallOffset time.Duration
	// freezes counts, so that a thaw ends only its own freeze.
	freezes uint64
}

// wallBound is how far wall clocks are off at most, either way.
const wallBound = 100 * time.Millisecond

// wallStart is the true wall clock at the start of each simulation.
var wallStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newProcess(w *world, name string) *process {
	p := &process{
		world:      w,
		name:       name,
		rate:       1 + (w.random.Float64()-0.5)*maximumDrift,
		wallOffset: w.between(-wallBound, wallBound),
	}
	return p
}

// start begins a life with a new monotonic clock.
func (p *process) start() {
	p.life++
	p.up = true
	p.frozen = false
	p.held = nil
	p.worldBase = p.world.now
	p.clockBase = p.world.between(time.Second, time.Hour)
}

// kill ends the life at once.
func (p *process) kill() {
	p.life++
	p.up = false
	p.frozen = false
	p.held = nil
}

// clock reads the monotonic clock, which runs on while the process is frozen.
func (p *process) clock() time.Duration {
	return p.clockBase + time.Duration(float64(p.world.now-p.worldBase)*p.rate)
}

// wall reads the wall clock.
func (p *process) wall() time.Time { return wallStart.Add(p.world.now + p.wallOffset) }

func (p *process) unixMilli() int64 { return p.wall().UnixMilli() }

// after runs a function once the process's own clock has gone on by a time,
// unless this life ends first.
func (p *process) after(wait time.Duration, run func()) {
	life := p.life
	p.world.after(time.Duration(float64(wait)/p.rate), func() { p.do(life, run) })
}

// do runs a function in a life of the process, once it is not frozen.
func (p *process) do(life uint64, run func()) {
	switch {
	case p.life != life || !p.up:
	case p.frozen:
		p.held = append(p.held, func() { p.do(life, run) })
	default:
		run()
	}
}

// every runs a function again and again until the life ends.
func (p *process) every(interval time.Duration, run func()) {
	p.after(interval, func() {
		run()
		p.every(interval, run)
	})
}

// freeze stops the process for a true time; its clock runs on.
func (p *process) freeze(length time.Duration) {
	p.frozen = true
	p.freezes++
	freeze, life := p.freezes, p.life
	p.world.after(length, func() {
		if p.life == life && p.freezes == freeze {
			p.thaw()
		}
	})
}

// thaw lets the process go on with what fell due, in order.
func (p *process) thaw() {
	p.frozen = false
	held := p.held
	p.held = nil
	for i, run := range held {
		if p.frozen {
			p.held = append(p.held, held[i:]...)
			return
		}
		run()
	}
}
