package simulate

import "time"

const (
	restartLeast = 50 * time.Millisecond
	restartMost  = 400 * time.Millisecond
)

// sound reports whether another disk may be lost now: a group tolerates the
// loss of one at a time, each repaired before the next.
func (i *injector) sound() bool { return len(i.cluster.unsound) == 0 }

func (i *injector) killController(length time.Duration) bool {
	c := pick(i.world, i.cluster.controllers)
	if !c.up || i.cluster.unsound[c] {
		return false
	}
	c.crash()
	i.startLater(c.process, length, c.boot)
	return true
}

// startLater starts a process that has ended, unless someone else did.
func (i *injector) startLater(p *process, after time.Duration, start func()) {
	life := p.life
	i.world.after(after, func() {
		if !p.up && p.life == life {
			start()
		}
	})
}

func (i *injector) freezeController(length time.Duration) bool {
	c := pick(i.world, i.cluster.controllers)
	return i.freeze(c.process, length)
}

func (i *injector) freeze(p *process, length time.Duration) bool {
	if !p.up || p.frozen {
		return false
	}
	p.freeze(length)
	return true
}

func (i *injector) loseDisk(time.Duration) bool {
	c := pick(i.world, i.cluster.controllers)
	if !i.sound() || c.disk.durable.identity == 0 {
		return false
	}
	i.cluster.loseDisk(c, true)
	return true
}

// rollBackDisk puts an older copy of a data folder in place: the process
// refuses it, and the machine gets an empty folder. The copy is taken the
// length of the fault earlier.
func (i *injector) rollBackDisk(length time.Duration) bool {
	c := pick(i.world, i.cluster.controllers)
	if !i.sound() || c.disk.durable.identity == 0 {
		return false
	}
	c.disk.takeBackup()
	incarnation := c.disk.durable.incarnation
	i.cluster.unsound[c] = true
	i.world.after(length, func() {
		if c.disk.durable.incarnation != incarnation {
			return
		}
		c.crash()
		c.disk.rollBack()
		c.boot()
		if c.up {
			delete(i.cluster.unsound, c)
			return
		}
		i.cluster.loseDisk(c, true)
	})
	return true
}

func (i *injector) fullDisk(length time.Duration) bool {
	c := pick(i.world, i.cluster.controllers)
	if i.cluster.full[c] {
		return false
	}
	i.cluster.full[c] = true
	i.world.after(length, func() { delete(i.cluster.full, c) })
	return true
}

// slowDisk slows the disks of one or more controllers.
func (i *injector) slowDisk(length time.Duration) bool {
	const alsoSlow = 0.4
	first := pick(i.world, i.cluster.controllers)
	for _, c := range i.cluster.controllers {
		if c != first && !i.world.chance(alsoSlow) {
			continue
		}
		c.disk.slow = i.world.between(10*time.Millisecond, 200*time.Millisecond)
		i.world.after(length, func() { c.disk.slow = 0 })
	}
	return true
}

// powerLoss ends all controllers at once.
func (i *injector) powerLoss(length time.Duration) bool {
	for _, c := range i.cluster.controllers {
		if i.cluster.unsound[c] || !c.up {
			return false
		}
	}
	for _, c := range i.cluster.controllers {
		c.crash()
		i.startLater(c.process, i.world.between(restartLeast, max(length, restartLeast+1)), c.boot)
	}
	return true
}

// cutWay says in which directions a process is cut off.
func (i *injector) cutWay(p, other *process, way int, kind cutKind, length time.Duration) {
	if way != 1 {
		i.cluster.network.cut(p, other, kind, length)
	}
	if way != 2 {
		i.cluster.network.cut(other, p, kind, length)
	}
}

func (i *injector) cutKind() cutKind {
	if i.world.chance(0.5) {
		return cutDropping
	}
	return cutStalling
}

// isolate cuts a process off from others, in one direction or both.
func (i *injector) isolate(p *process, from []*process, length time.Duration) bool {
	way, kind := i.world.random.IntN(3), i.cutKind()
	for _, other := range from {
		if other != p {
			i.cutWay(p, other, way, kind, length)
		}
	}
	return true
}

func (i *injector) cutController(length time.Duration) bool {
	return i.isolate(pick(i.world, i.cluster.controllers).process, i.cluster.processes(), length)
}

func (i *injector) cutPeers(length time.Duration) bool {
	var peers []*process
	for _, c := range i.cluster.controllers {
		peers = append(peers, c.process)
	}
	return i.isolate(pick(i.world, peers), peers, length)
}

func (i *injector) killAgent(length time.Duration) bool {
	a := pick(i.world, i.cluster.agents)
	if !a.up || a.leaving {
		return false
	}
	a.crash()
	i.startLater(a.process, length, a.launch)
	return true
}

func (i *injector) freezeAgent(length time.Duration) bool {
	return i.freeze(pick(i.world, i.cluster.agents).process, length)
}

func (i *injector) loseJournal(length time.Duration) bool {
	a := pick(i.world, i.cluster.agents)
	if !a.up || a.leaving {
		return false
	}
	a.crash()
	a.journal.lose()
	i.startLater(a.process, length, a.launch)
	return true
}

func (i *injector) stopAgent(length time.Duration) bool {
	a := pick(i.world, i.cluster.agents)
	if !a.up || a.leaving || a.frozen {
		return false
	}
	a.stop(func() { i.startLater(a.process, length, a.launch) })
	return true
}

func (i *injector) cutAgent(length time.Duration) bool {
	a := pick(i.world, i.cluster.agents)
	var others []*process
	for _, p := range i.cluster.processes() {
		if p != a.backend.process {
			others = append(others, p)
		}
	}
	return i.isolate(a.process, others, length)
}

// slowAgent delays what an agent hears of the controllers, and cuts it off at
// the end: answers to renewals are old when they come.
func (i *injector) slowAgent(length time.Duration) bool {
	a := pick(i.world, i.cluster.agents)
	delay := i.world.between(100*time.Millisecond, 350*time.Millisecond)
	for _, c := range i.cluster.controllers {
		i.cluster.network.slow(c.process, a.process, delay, length)
		i.world.after(length, func() { i.cluster.network.cut(a.process, c.process, cutDropping, length) })
	}
	return true
}

func (i *injector) killBackend(length time.Duration) bool {
	b := pick(i.world, i.cluster.backends)
	if !b.up {
		return false
	}
	b.kill()
	i.startLater(b.process, length, b.launch)
	return true
}

func (i *injector) freezeBackend(length time.Duration) bool {
	return i.freeze(pick(i.world, i.cluster.backends).process, length)
}

func (i *injector) swallow(length time.Duration) bool {
	b := pick(i.world, i.cluster.backends)
	b.swallowing = true
	i.world.after(length, func() { b.swallowing = false })
	return true
}

func (i *injector) lieAboutLoad(length time.Duration) bool {
	const lie = 50
	a := pick(i.world, i.cluster.agents)
	a.lying = lie
	i.world.after(length, func() { a.lying = 0 })
	return true
}

func (i *injector) killRouter(length time.Duration) bool {
	r := pick(i.world, i.cluster.routers)
	if !r.up || r.draining {
		return false
	}
	r.process.kill()
	i.startLater(r.process, length, r.launch)
	return true
}

func (i *injector) freezeRouter(length time.Duration) bool {
	return i.freeze(pick(i.world, i.cluster.routers).process, length)
}

func (i *injector) stopRouter(length time.Duration) bool {
	r := pick(i.world, i.cluster.routers)
	if !r.up || r.draining || r.frozen {
		return false
	}
	r.stop(func() { i.startLater(r.process, length, r.launch) })
	return true
}

func (i *injector) cutRouter(length time.Duration) bool {
	return i.isolate(pick(i.world, i.cluster.routers).process, i.cluster.processes(), length)
}

// cutZone separates one zone from all others.
func (i *injector) cutZone(length time.Duration) bool {
	zones := len(i.cluster.deployment.Zones)
	if zones < 2 {
		return false
	}
	zone, kind, way := i.world.random.IntN(zones), i.cutKind(), i.world.random.IntN(3)
	all := i.cluster.processes()
	for _, p := range all {
		if i.cluster.zones[p] != zone {
			continue
		}
		for _, other := range all {
			if i.cluster.zones[other] != zone {
				i.cutWay(p, other, way, kind, length)
			}
		}
	}
	return true
}

func (i *injector) cutOneDirection(length time.Duration) bool {
	all := i.cluster.processes()
	from, to := pick(i.world, all), pick(i.world, all)
	if from == to {
		return false
	}
	i.cluster.network.cut(from, to, i.cutKind(), length)
	return true
}

func (i *injector) slowLink(length time.Duration) bool {
	all := i.cluster.processes()
	from, to := pick(i.world, all), pick(i.world, all)
	if from == to {
		return false
	}
	delay := i.world.between(5*time.Millisecond, 400*time.Millisecond)
	i.cluster.network.slow(from, to, delay, length)
	i.cluster.network.slow(to, from, delay, length)
	return true
}
