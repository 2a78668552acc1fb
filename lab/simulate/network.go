package simulate

import "time"

// network carries messages between processes: in order per direction, with a
// delay, and through cuts of one direction.
type network struct {
	world *world
	links map[direction]*link
	// distance is the least one-way delay between two processes.
	distance func(from, to *process) time.Duration
}

type direction struct{ from, to *process }

// link is one direction between two processes.
type link struct {
	// last is when the latest message arrives; later ones come after it.
	last time.Duration
	cut  cutKind
	// held messages of a stalled link arrive once it is mended.
	held []func()
	// slow adds to the delay of each message.
	slow time.Duration
	cuts uint64
}

// cutKind says what becomes of messages on a cut link.
type cutKind uint8

const (
	notCut cutKind = iota
	// cutDropping: messages are lost.
	cutDropping
	// cutStalling: messages arrive when the link is mended, as TCP does.
	cutStalling
)

// maximumHeld bounds the messages of a stalled link.
const maximumHeld = 2000

// jitter is the most that is added to a message's delay, except for one in a
// hundred, which takes jitterTail.
const (
	jitter     = 500 * time.Microsecond
	jitterTail = 20 * time.Millisecond
	tailShare  = 0.01
)

func newNetwork(w *world, distance func(from, to *process) time.Duration) *network {
	return &network{world: w, links: make(map[direction]*link), distance: distance}
}

func (n *network) link(from, to *process) *link {
	key := direction{from, to}
	found, ok := n.links[key]
	if !ok {
		found = &link{}
		n.links[key] = found
	}
	return found
}

// send delivers a message in the receiver's present life. Refused, which may be
// nil, runs at the sender when the receiver's host answers that no such process
// is there.
func (n *network) send(from, to *process, deliver, refused func()) {
	fromLife, toLife := from.life, to.life
	n.carry(from, to, func() {
		if to.up && to.life == toLife {
			to.do(toLife, deliver)
			return
		}
		if refused != nil {
			n.carry(to, from, func() { from.do(fromLife, refused) })
		}
	})
}

// answer delivers to the life of a process that asked, if it still lives.
func (n *network) answer(from, to *process, toLife uint64, deliver func()) {
	n.carry(from, to, func() { to.do(toLife, deliver) })
}

// carry moves something over a link.
func (n *network) carry(from, to *process, arrive func()) {
	over := n.link(from, to)
	switch over.cut {
	case cutDropping:
		return
	case cutStalling:
		if len(over.held) < maximumHeld {
			over.held = append(over.held, arrive)
		}
		return
	}
	n.schedule(over, n.delay(from, to)+over.slow, arrive)
}

func (n *network) schedule(over *link, delay time.Duration, arrive func()) {
	arrival := max(n.world.now+delay, over.last)
	over.last = arrival
	n.world.after(arrival-n.world.now, arrive)
}

func (n *network) delay(from, to *process) time.Duration {
	if n.world.chance(tailShare) {
		return n.distance(from, to) + n.world.between(0, jitterTail)
	}
	return n.distance(from, to) + n.world.between(0, jitter)
}

// cut stops one direction for a true time.
func (n *network) cut(from, to *process, kind cutKind, length time.Duration) {
	over := n.link(from, to)
	over.cut = kind
	over.cuts++
	cuts := over.cuts
	n.world.after(length, func() {
		if over.cuts == cuts {
			n.mend(over)
		}
	})
}

// mend lets messages through again; those that a stall held arrive first.
func (n *network) mend(over *link) {
	over.cut = notCut
	held := over.held
	over.held = nil
	for _, arrive := range held {
		n.schedule(over, n.world.between(0, jitter), arrive)
	}
}

// slow delays one direction for a true time.
func (n *network) slow(from, to *process, delay, length time.Duration) {
	over := n.link(from, to)
	over.slow = delay
	n.world.after(length, func() { over.slow = 0 })
}

// connection is a long-lived connection between two processes. Each side may
// close it; the other learns of that by a message, if one gets through.
type connection struct {
	network        *network
	client, server *process
	// clientLife and serverLife are the lives that it joins.
	clientLife, serverLife uint64
	clientOpen, serverOpen bool
	// onClientEnd and onServerEnd run when a side learns that it is over.
	onClientEnd, onServerEnd func()
}

func (n *network) connect(client, server *process) *connection {
	return &connection{
		network: n, client: client, server: server,
		clientLife: client.life, serverLife: server.life,
		clientOpen: true, serverOpen: true,
	}
}

// toServer sends to the server.
func (c *connection) toServer(deliver func()) {
	if !c.clientOpen || c.client.life != c.clientLife {
		return
	}
	c.network.carry(c.client, c.server, func() {
		if !c.server.up || c.server.life != c.serverLife || !c.serverOpen {
			c.network.carry(c.server, c.client, func() { c.client.do(c.clientLife, c.endClient) })
			return
		}
		c.server.do(c.serverLife, func() {
			if c.serverOpen {
				deliver()
			}
		})
	})
}

// toClient sends to the client.
func (c *connection) toClient(deliver func()) {
	if !c.serverOpen || c.server.life != c.serverLife {
		return
	}
	c.network.carry(c.server, c.client, func() {
		if !c.client.up || c.client.life != c.clientLife || !c.clientOpen {
			c.network.carry(c.client, c.server, func() { c.server.do(c.serverLife, c.endServer) })
			return
		}
		c.client.do(c.clientLife, func() {
			if c.clientOpen {
				deliver()
			}
		})
	})
}

// closeClient ends the client's side and tells the server.
func (c *connection) closeClient() {
	if !c.clientOpen {
		return
	}
	c.clientOpen = false
	c.network.carry(c.client, c.server, func() { c.server.do(c.serverLife, c.endServer) })
}

// closeServer ends the server's side and tells the client.
func (c *connection) closeServer() {
	if !c.serverOpen {
		return
	}
	c.serverOpen = false
	c.network.carry(c.server, c.client, func() { c.client.do(c.clientLife, c.endClient) })
}

func (c *connection) endClient() {
	if !c.clientOpen {
		return
	}
	c.clientOpen = false
	if c.onClientEnd != nil {
		c.onClientEnd()
	}
}

func (c *connection) endServer() {
	if !c.serverOpen {
		return
	}
	c.serverOpen = false
	if c.onServerEnd != nil {
		c.onServerEnd()
	}
}
