package grants_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/grants"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/topology"
)

var errLost = errors.New("no answer")

const (
	lease  = 500 * time.Millisecond
	shards = 4
)

// server handles grants according to the back end protocol. It shares the agent's clock.
type server struct {
	boot     int
	sequence uint64
	until    int64
	granted  map[string]topology.Epoch
	highest  map[string]topology.Epoch
}

func newServer(boot int) *server {
	return &server{boot: boot, granted: map[string]topology.Epoch{}, highest: map[string]topology.Epoch{}}
}

func (s *server) reading(now time.Duration) backendapi.Reading {
	return backendapi.Reading{Boot: fmt.Sprint(s.boot), ClockMilliseconds: now.Milliseconds(), Sequence: s.sequence}
}

func (s *server) handle(message backendapi.Grants) error {
	if message.Boot != fmt.Sprint(s.boot) {
		return backendapi.ErrRestarted
	}
	if message.Sequence <= s.sequence {
		return backendapi.ErrStaleMessage
	}
	for _, grant := range message.Grants {
		if grant.Epoch < s.highest[grant.Shard] {
			return &backendapi.LowerEpochError{Shard: grant.Shard, Epoch: grant.Epoch, Highest: s.highest[grant.Shard]}
		}
	}
	s.sequence = message.Sequence
	if message.Replace {
		clear(s.granted)
	}
	for _, shard := range message.Revoked {
		delete(s.granted, shard)
	}
	for _, grant := range message.Grants {
		s.granted[grant.Shard], s.highest[grant.Shard] = grant.Epoch, grant.Epoch
	}
	s.until = message.ValidUntilMilliseconds
	return nil
}

// delayedMessage is a message that arrives late.
type delayedMessage struct {
	message *grants.Message
	boot    int
}

// simulation is an agent and its back end in virtual time.
type simulation struct {
	now     time.Duration
	state   *grants.State
	server  *server
	owned   map[topology.ShardID]topology.Shard
	closing map[topology.ShardID]grants.Closing
	lease   time.Duration
	delayed []delayedMessage
}

func (r *simulation) wanted() grants.Wanted {
	return grants.Wanted{
		Backend: 1, Owned: r.owned, LeaseUntil: r.lease,
		Closing: func(id topology.ShardID) (grants.Closing, bool) {
			closing, found := r.closing[id]
			return closing, found
		},
	}
}

// exchange sends the next message. It may be lost, accepted without a response, or accepted
// later without a response.
func (r *simulation) exchange(t *rapid.T) {
	next := r.state.Next(r.wanted(), r.now)
	if next == nil {
		return
	}
	switch rapid.IntRange(0, 4).Draw(t, "fate") {
	case 0:
		r.state.Answered(next, backendapi.Reading{}, r.now, errLost)
	case 1:
		_ = r.server.handle(next.Grants)
		r.state.Answered(next, backendapi.Reading{}, r.now, errLost)
	case 2:
		r.delayed = append(r.delayed, delayedMessage{next, r.server.boot})
		r.state.Answered(next, backendapi.Reading{}, r.now, errLost)
	default:
		err := r.server.handle(next.Grants)
		r.state.Answered(next, r.server.reading(r.now), r.now, err)
	}
}

// deliverDelayed delivers the oldest delayed message.
func (r *simulation) deliverDelayed() {
	if len(r.delayed) == 0 {
		return
	}
	first := r.delayed[0]
	r.delayed = r.delayed[1:]
	if first.boot == r.server.boot {
		_ = r.server.handle(first.message.Grants)
	}
}

// changeOwner advances the ownership of one shard: not owned, owned, being released.
func (r *simulation) changeOwner(t *rapid.T) {
	id := topology.ShardID{Service: 1, Shard: topology.ShardNumber(rapid.IntRange(1, shards).Draw(t, "shard"))}
	shard, owned := r.owned[id]
	switch _, releasing := r.closing[id]; {
	case !owned:
		r.owned[id] = topology.Shard{ID: id, Epoch: shard.Epoch + 1 + r.server.highest[id.String()]}
	case !releasing:
		r.closing[id] = grants.Closing{Epoch: shard.Epoch, KeepGrant: rapid.Bool().Draw(t, "keep")}
	default:
		delete(r.owned, id)
		delete(r.closing, id)
	}
}

// check compares what the agent considers possible with what the back end could
// do.
func (r *simulation) check(t *rapid.T) {
	if r.now.Milliseconds() >= r.server.until {
		return
	}
	if r.now >= r.state.AllExpiredBy() {
		t.Fatalf("at %v the back end acts until %d ms, which the agent considers impossible after %v", r.now, r.server.until, r.state.AllExpiredBy())
	}
	for number := range shards {
		id := topology.ShardID{Service: 1, Shard: topology.ShardNumber(number + 1)}
		if _, granted := r.server.granted[id.String()]; granted && !r.state.MayHold(id) {
			t.Fatalf("the back end holds %s and the agent does not know", id)
		}
	}
}

// Whatever is lost, delayed or restarted, the agent never considers a grant gone that the
// back end could still act on.
func TestBackEndHoldsOnlyGrantsThatTheAgentConsidersPossible(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &simulation{
			state:   grants.New(0, 0),
			server:  newServer(1),
			owned:   make(map[topology.ShardID]topology.Shard),
			closing: make(map[topology.ShardID]grants.Closing),
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r.now += time.Duration(rapid.IntRange(1, 60).Draw(t, "pass")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				r.changeOwner(t)
			case 1:
				r.deliverDelayed()
			case 2:
				r.server = newServer(r.server.boot + 1)
			case 3: // the agent restarts; its delayed messages may still arrive
				r.state = grants.New(0, r.now)
			case 4, 5:
				r.lease = r.now + lease
			default:
				r.exchange(t)
			}
			r.check(t)
		}
	})
}

// While a message has no response, the next ones state no later expiry.
func TestHangingBackEndGetsNoExtension(t *testing.T) {
	r := &simulation{state: grants.New(0, 0), server: newServer(1), owned: map[topology.ShardID]topology.Shard{}}
	first := r.state.Next(r.wanted(), 0)
	r.state.Answered(first, r.server.reading(0), 0, nil)
	r.lease = lease
	granting := r.state.Next(r.wanted(), 0)
	assert.Equal(t, granting.Grants.ValidUntilMilliseconds, lease.Milliseconds())
	r.state.Answered(granting, backendapi.Reading{}, 250*time.Millisecond, errLost)
	r.lease = 750 * time.Millisecond
	again := r.state.Next(r.wanted(), 300*time.Millisecond)
	assert.Equal(t, again.Grants.ValidUntilMilliseconds, lease.Milliseconds())
	assert.Assert(t, !r.state.Lost(300*time.Millisecond))
	r.state.Answered(again, backendapi.Reading{}, lease, errLost)
	assert.Assert(t, r.state.Lost(lease))
}
