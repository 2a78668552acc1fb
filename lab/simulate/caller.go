package simulate

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// request is one send of a caller's request; a resend has the same number and
// id.
type request struct {
	number   uint64
	send     int
	service  string
	position topology.KeyHash
	// nonRepeatable requests carry an id.
	nonRepeatable bool
	id            requestid.ID
	work          time.Duration
}

const (
	callerInterval  = 120 * time.Millisecond
	requestDeadline = 4 * time.Second
	answerSlack     = 500 * time.Millisecond
	resendPause     = 300 * time.Millisecond
	maximumSends    = 4
	// repeatChance is how often a caller that got its answer sends the request
	// again all the same, within repeatPause.
	repeatChance = 0.2
	repeatPause  = 5 * time.Second
	keyCount     = 60
	writeShare   = 0.5
	slowShare    = 0.02
	slowWork     = 3 * time.Second
)

// caller is an emulated user of a service. It sends at its own pace, not
// waiting for answers, and sends non-repeatable requests again under the same
// id where it got no final answer.
type caller struct {
	*process
	cluster  *cluster
	services []string
	// hot is the key that a share of the requests ask for.
	hot int
}

func newCaller(c *cluster, name string, services []string) *caller {
	return &caller{process: newProcess(c.world, name), cluster: c, services: services}
}

func (c *caller) launch() {
	c.process.start()
	c.next()
}

func (c *caller) next() {
	c.after(c.world.between(0, 2*callerInterval), func() {
		c.issue()
		c.next()
	})
}

func (c *caller) issue() {
	w := c.world
	c.cluster.requests++
	q := &request{
		number:        c.cluster.requests,
		service:       pick(w, c.services),
		position:      topology.HashKey(fmt.Sprintf("key-%d", c.key())),
		nonRepeatable: w.chance(writeShare),
		work:          w.between(time.Millisecond, 8*time.Millisecond),
	}
	if w.chance(slowShare) {
		q.work = w.between(time.Second/10, slowWork)
	}
	if q.nonRepeatable {
		var random [10]byte
		for i := range random {
			random[i] = byte(w.random.Uint32())
		}
		q.id = requestid.New(c.wall(), random)
	}
	c.send(q)
}

// key draws a key: a third of the requests ask for the hot one.
func (c *caller) key() int {
	const hotShare = 0.33
	if c.world.chance(0.002) {
		c.hot = c.world.random.IntN(keyCount)
	}
	if c.world.chance(hotShare) {
		return c.hot
	}
	return c.world.random.IntN(keyCount)
}

// send sends the request to a router and waits for its answer until a little
// after the deadline.
func (c *caller) send(q *request) {
	to := pick(c.world, c.cluster.routers)
	ended := false
	end := func(told reply, came bool) {
		if ended {
			return
		}
		ended = true
		c.told(q, told, came)
	}
	if to.draining {
		// Callers were asked to connect elsewhere.
		c.after(resendPause, func() { c.send(q) })
		return
	}
	c.cluster.network.send(c.process, to.process, func() {
		to.handle(q, requestDeadline, func(told reply) {
			c.cluster.network.answer(to.process, c.process, c.life, func() { end(told, true) })
		})
	}, func() { end(reply{}, false) })
	c.after(requestDeadline+answerSlack, func() { end(reply{}, false) })
}

// told takes the final answer, or that none came.
func (c *caller) told(q *request, told reply, came bool) {
	if came {
		c.cluster.outcomes[told.outcome]++
		c.world.note(string(told.outcome), q.number, uint64(told.answer))
		c.cluster.runs.told(q, told)
	}
	if !q.nonRepeatable || q.send+1 >= maximumSends {
		return
	}
	pause := c.world.between(0, resendPause)
	if came && (told.outcome == wire.OutcomeAnswered || told.reason == wire.ReasonInvalid) {
		if !c.world.chance(repeatChance) {
			return
		}
		pause = c.world.between(0, repeatPause)
	}
	again := *q
	again.send++
	c.after(pause, func() { c.send(&again) })
}
