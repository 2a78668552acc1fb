package simulate

import (
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	grantTimeout = 250 * time.Millisecond
	grantRetry   = 25 * time.Millisecond
)

// grantState is what the back end was granted; see internal/agent.
type grantState struct {
	sequence uint64
	replaced bool
	taken    map[topology.ShardID]topology.Epoch
	// possible is what the back end may hold: all that was sent and of which
	// the revocation was not confirmed.
	possible map[topology.ShardID]topology.Epoch
	refused  map[topology.ShardID]topology.Epoch
	// confirmedUntil is the end of the grants in the last message that was
	// answered; possibleUntil also counts those that were not.
	confirmedUntil, possibleUntil time.Duration
	// sending numbers the message on its way; zero is none.
	sending  uint64
	failures int
	failedAt time.Duration
	attempts uint64
}

func newGrantState() grantState {
	return grantState{
		taken:    make(map[topology.ShardID]topology.Epoch),
		possible: make(map[topology.ShardID]topology.Epoch),
		refused:  make(map[topology.ShardID]topology.Epoch),
	}
}

// sentGrants is a message on its way.
type sentGrants struct {
	message        grants
	until          time.Duration
	possibleBefore time.Duration
	granted        []topology.Shard
	revoked        []topology.ShardID
}

// syncGrants sends the back end what has changed, one message at a time.
func (a *agent) syncGrants() {
	now := a.clock()
	resting := a.grants.failures > 0 && now-a.grants.failedAt < grantRetry
	if a.grants.sending != 0 || resting {
		return
	}
	next := a.nextGrants(now)
	if next == nil {
		return
	}
	a.grants.sequence++
	next.message.sequence = a.grants.sequence
	next.possibleBefore = a.grants.possibleUntil
	a.grants.possibleUntil = max(a.grants.possibleUntil, next.until)
	for _, shard := range next.granted {
		a.grants.possible[shard.ID] = shard.Epoch
	}
	a.sendGrants(next)
}

func (a *agent) sendGrants(next *sentGrants) {
	a.grants.attempts++
	attempt := a.grants.attempts
	a.grants.sending = attempt
	answered := func(reading backendapi.Reading, err error) {
		if a.grants.sending != attempt {
			return
		}
		a.grants.sending = 0
		a.grantsAnswered(next, reading, err)
	}
	server, life := a.backend, a.life
	a.cluster.network.send(a.process, server.process, func() {
		err := server.take(next.message)
		reading := server.reading()
		a.cluster.network.answer(server.process, a.process, life, func() { answered(reading, err) })
	}, func() { answered(backendapi.Reading{}, errNoAnswer) })
	a.after(grantTimeout, func() { answered(backendapi.Reading{}, errNoAnswer) })
}

// errNoAnswer: a message of grants was not answered; it may still be taken.
var errNoAnswer = errors.New("no answer")

// nextGrants returns nil where the back end has all that it should have.
func (a *agent) nextGrants(now time.Duration) *sentGrants {
	next := &sentGrants{}
	if !a.clockOf.Known() {
		return next
	}
	next.message.boot = a.clockOf.Boot()
	next.message.replace = !a.grants.replaced
	next.until = a.grantsUntil(now)
	next.message.validUntil = a.clockOf.Convert(next.until)
	a.addGrants(next, now)
	a.addRevocations(next)
	news := len(next.granted) > 0 || len(next.revoked) > 0 || next.until != a.grants.confirmedUntil
	if !news && a.grants.replaced {
		return nil
	}
	return next
}

// grantsUntil is the lease's end; while an earlier message has no answer its
// end is repeated.
func (a *agent) grantsUntil(now time.Duration) time.Duration {
	until := a.holder.ValidUntil()
	if until <= now {
		return 0
	}
	if a.grants.failures > 0 && a.grants.possibleUntil > now {
		return min(until, a.grants.possibleUntil)
	}
	return until
}

func (a *agent) addGrants(next *sentGrants, now time.Duration) {
	if !a.holder.Valid(now) {
		return
	}
	for _, id := range sortedShards(a.owned) {
		shard := a.owned[id]
		if a.grants.taken[id] == shard.Epoch || a.grants.refused[id] >= shard.Epoch {
			continue
		}
		if releasing := a.releases[id]; releasing != nil && releasing.epoch == shard.Epoch {
			continue
		}
		next.granted = append(next.granted, shard)
		next.message.granted = append(next.message.granted, shardGrant{id, shard.Epoch})
	}
}

func (a *agent) addRevocations(next *sentGrants) {
	for _, id := range sortedShards(a.grants.possible) {
		if a.keepsGrant(id) {
			continue
		}
		next.revoked = append(next.revoked, id)
		next.message.revoked = append(next.message.revoked, id)
	}
}

func (a *agent) keepsGrant(id topology.ShardID) bool {
	if _, owned := a.owned[id]; !owned {
		return false
	}
	releasing := a.releases[id]
	return releasing == nil || releasing.stage == stageDraining
}

func (a *agent) grantsAnswered(sent *sentGrants, reading backendapi.Reading, err error) {
	var lower *backendapi.LowerEpochError
	switch {
	case err == nil:
		a.grantsTaken(sent, reading)
	case errors.Is(err, backendapi.ErrOtherBoot):
		a.backendRestarted(reading)
	case errors.Is(err, backendapi.ErrOvertaken):
		a.grants.possibleUntil = sent.possibleBefore
		a.grants.sequence = max(a.grants.sequence, reading.Sequence)
	case errors.As(err, &lower):
		a.grants.possibleUntil = sent.possibleBefore
		for _, shard := range sent.granted {
			if shard.ID.String() == lower.Shard {
				a.grants.refused[shard.ID] = shard.Epoch
			}
		}
	default:
		a.grants.failedAt = a.clock()
		a.grants.failures++
	}
	if a.mustRelease() {
		a.renewNow()
	}
	a.syncGrants()
}

func (a *agent) grantsTaken(sent *sentGrants, reading backendapi.Reading) {
	a.grants.failures = 0
	if a.clockOf.Known() && a.clockOf.Boot() != reading.Boot {
		a.backendRestarted(reading)
		return
	}
	a.clockOf.Observe(reading, a.clock())
	a.grants.sequence = max(a.grants.sequence, reading.Sequence)
	a.grants.replaced = a.grants.replaced || sent.message.replace
	a.grants.confirmedUntil, a.grants.possibleUntil = sent.until, sent.until
	for _, shard := range sent.granted {
		a.grants.taken[shard.ID] = shard.Epoch
	}
	for _, id := range sent.revoked {
		delete(a.grants.taken, id)
		delete(a.grants.possible, id)
	}
	a.serve(sent.granted)
}

// backendRestarted: the back end has no grants and no warm shards.
func (a *agent) backendRestarted(reading backendapi.Reading) {
	a.grants.failures = 0
	a.clockOf.Observe(reading, a.clock())
	a.grants.sequence = max(a.grants.sequence, reading.Sequence)
	clear(a.grants.taken)
	clear(a.grants.possible)
	clear(a.grants.refused)
	a.grants.possibleUntil, a.grants.confirmedUntil = 0, 0
}
