package simulate

import (
	"fmt"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// backend is the emulated server of a user: it takes fenced grants, runs
// requests and keeps writes. Its fence follows the back end protocol, as
// lab/backend does.
type backend struct {
	*process
	cluster *cluster
	service string

	// The rest belongs to one life.
	bootName   string
	started    time.Duration
	sequence   uint64
	validUntil int64
	granted    map[topology.ShardID]topology.Epoch
	highest    map[topology.ShardID]topology.Epoch
	warm       map[topology.ShardID]bool
	running    int
	// swallowing back ends run requests and answer nothing.
	swallowing bool
}

const (
	coldStart = 30 * time.Millisecond
	warmLimit = 3 * time.Second
)

func newBackend(c *cluster, name, service string) *backend {
	return &backend{process: newProcess(c.world, name), cluster: c, service: service}
}

func (b *backend) launch() {
	b.process.start()
	b.bootName = strconv.FormatUint(b.world.random.Uint64(), 16)
	b.started = b.clock()
	b.sequence, b.validUntil, b.running = 0, 0, 0
	b.granted = make(map[topology.ShardID]topology.Epoch)
	b.highest = make(map[topology.ShardID]topology.Epoch)
	b.warm = make(map[topology.ShardID]bool)
}

// reading is the back end's clock in milliseconds since its start.
func (b *backend) reading() backendapi.Reading {
	return backendapi.Reading{
		Boot:              b.bootName,
		ClockMilliseconds: (b.clock() - b.started).Milliseconds(),
		Sequence:          b.sequence,
	}
}

// take takes a whole message of grants, or nothing of it.
func (b *backend) take(message backendapi.Grants) error {
	switch {
	case message.Boot != b.bootName:
		return backendapi.ErrRestarted
	case message.Sequence <= b.sequence:
		return backendapi.ErrStaleMessage
	}
	for _, grant := range message.Grants {
		if highest := b.highest[shardNamed(grant.Shard)]; grant.Epoch < highest {
			return &backendapi.LowerEpochError{Shard: grant.Shard, Epoch: grant.Epoch, Highest: highest}
		}
	}
	b.sequence = message.Sequence
	if message.Replace {
		clear(b.granted)
	}
	for _, shard := range message.Revoked {
		delete(b.granted, shardNamed(shard))
	}
	for _, grant := range message.Grants {
		b.granted[shardNamed(grant.Shard)] = grant.Epoch
		b.highest[shardNamed(grant.Shard)] = grant.Epoch
	}
	b.validUntil = message.ValidUntilMilliseconds
	return nil
}

// shardNamed reads topology.ShardID.String.
func shardNamed(text string) topology.ShardID {
	var id topology.ShardID
	_, _ = fmt.Sscanf(text, "%d/%d", &id.Service, &id.Shard)
	return id
}

// accepts reports whether the fence lets a request act now.
func (b *backend) accepts(shard topology.ShardID, epoch topology.Epoch) bool {
	if b.cluster.has(DefectNoFence) {
		return true
	}
	b.highest[shard] = max(b.highest[shard], epoch)
	return b.leased() && b.granted[shard] == epoch && epoch == b.highest[shard]
}

func (b *backend) leased() bool { return b.reading().ClockMilliseconds < b.validUntil }

// backendOutcome is what the back end says of a request.
type backendOutcome uint8

const (
	backendAnswered backendOutcome = iota + 1
	// backendRefused: the fence refused it; it was not run.
	backendRefused
	// backendDiscarded: it ran, but the fence kept nothing of it.
	backendDiscarded
)

// run takes a request of the agent and answers once.
func (b *backend) run(r *request, shard topology.ShardID, epoch topology.Epoch, answer func(backendOutcome, answer)) {
	if !b.accepts(shard, epoch) {
		answer(backendRefused, 0)
		return
	}
	b.cluster.runs.began(b, r)
	b.running++
	life := b.life
	b.after(r.work, func() {
		b.running--
		if life == b.life {
			b.commit(r, shard, epoch, answer)
		}
	})
}

// commit checks the fence again before anything of the request is kept.
func (b *backend) commit(r *request, shard topology.ShardID, epoch topology.Epoch, reply func(backendOutcome, answer)) {
	if !b.cluster.has(DefectNoFenceAtCommit) && !b.accepts(shard, epoch) {
		b.reply(func() { reply(backendDiscarded, 0) })
		return
	}
	b.cluster.owners.observe(b, r.position, shard, epoch)
	b.cluster.runs.kept(b, r)
	b.reply(func() { reply(backendAnswered, answerOf(r)) })
}

func (b *backend) reply(send func()) {
	if !b.swallowing {
		send()
	}
}

// answer is the content of an answer.
type answer uint64

// answerOf is the one right answer to a request.
func answerOf(r *request) answer {
	return answer(r.number*0x9e3779b97f4a7c15 ^ uint64(r.position))
}
