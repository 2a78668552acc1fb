package experiment

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/hotkeys"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// server is a back end with the agent beside it. The agent's lease, grants and
// limit are the product's own code.
type server struct {
	emulation *emulation
	id        topology.BackendID
	zone      int
	boot      uint64
	up        bool
	// frozenUntil is in the future while the processor stands still.
	frozenUntil time.Duration
	// leaving is set from the announcement of a planned stop on.
	leaving   bool
	leavingAt time.Duration
	// movedAt is when a shard of this back end was last on its way.
	movedAt     time.Duration
	stopping    func()
	claimFactor float64

	limit  *admission.Queue
	holder *ownership.Holder
	table  *routing.Table
	// warm shards have their state in memory; warming will have.
	warm    map[topology.ShardID]bool
	warming map[topology.ShardID]bool
	// released are the promises given, by shard and epoch.
	released map[wire.Released]bool
	running  map[topology.ShardID][]*request
	queued   map[*admission.Ticket]*request
	counts   map[topology.ShardID]*shardCounts
	sequence uint64
	// reportedAt is when the last report was made.
	reportedAt time.Duration
	// loadDue is when load is reported again.
	loadDue time.Duration
}

// shardCounts is what the agent counted of a shard since its last report.
type shardCounts struct {
	requests, refused uint32
	busy              time.Duration
	hotKeys           *hotkeys.Reporter
}

const (
	probeInterval = time.Second
	// loadInterval is how often the product's agents report load.
	loadInterval = 500 * time.Millisecond
	// leavingGrace is how long a back end that restarts serves on while long
	// requests run.
	leavingGrace = 3 * time.Second
	// moveGap is the longest time between two moves of one plan.
	moveGap = 500 * time.Millisecond
)

func newServer(e *emulation, id topology.BackendID, zone int) *server {
	return &server{emulation: e, id: id, zone: zone, claimFactor: 1}
}

// start boots the process: no lease, no grants, nothing in memory.
func (s *server) start() {
	limit, err := admission.New(admission.Config{Slots: int(s.emulation.service.Backend.Slots)})
	if err != nil {
		panic(err) // The deployment file was validated.
	}
	s.boot++
	s.up = true
	s.leaving = false
	s.stopping = nil
	s.limit = limit
	s.holder = ownership.NewHolder(ownership.DefaultClockDrift)
	s.table = s.emulation.leader.routing()
	s.warm = make(map[topology.ShardID]bool)
	s.warming = make(map[topology.ShardID]bool)
	s.released = make(map[wire.Released]bool)
	s.running = make(map[topology.ShardID][]*request)
	s.queued = make(map[*admission.Ticket]*request)
	s.counts = make(map[topology.ShardID]*shardCounts)
	s.applied(s.table)
	s.emulation.queue.after(s.toLeader(), func() { s.emulation.leader.attach(s.id, s.boot) })
	s.whileRunning(0, ownership.DefaultRenewInterval, s.renew)
	s.whileRunning(probeInterval, probeInterval, s.probe)
}

// whileRunning repeats an action until this boot of the process ends.
func (s *server) whileRunning(first, interval time.Duration, action func()) {
	boot := s.boot
	var repeat func()
	repeat = func() {
		if !s.up || s.boot != boot {
			return
		}
		if s.frozen() {
			s.emulation.queue.at(s.frozenUntil, repeat)
			return
		}
		action()
		s.emulation.queue.after(interval, repeat)
	}
	s.emulation.queue.after(first, repeat)
}

func (s *server) frozen() bool { return s.emulation.queue.now < s.frozenUntil }

// onProcessor runs an action now, or when the processor runs again; never if
// this boot of the process has ended by then.
func (s *server) onProcessor(action func()) {
	if !s.up {
		return
	}
	if !s.frozen() {
		action()
		return
	}
	boot := s.boot
	s.emulation.queue.at(s.frozenUntil, func() {
		if s.up && s.boot == boot {
			action()
		}
	})
}

// afterHere runs an action on this boot of the process after a delay.
func (s *server) afterHere(delay time.Duration, action func()) {
	boot := s.boot
	s.emulation.queue.after(delay, func() {
		if s.up && s.boot == boot {
			s.onProcessor(action)
		}
	})
}

func (s *server) freeze(down time.Duration) {
	s.frozenUntil = s.emulation.queue.now + down
	s.emulation.measures.disturbed(nil)
	s.emulation.measures.observeShards()
}

// crash ends the process without notice.
func (s *server) crash() {
	s.up = false
	for _, requests := range s.running {
		for _, request := range requests {
			request.running = false
			request.router.lost(request, s)
		}
	}
	for _, request := range s.queued {
		if !request.probe {
			request.router.lost(request, s)
		}
	}
	s.emulation.measures.observeShards()
}

func (s *server) toLeader() time.Duration { return s.emulation.distance(s.zone, 0) }

// renew asks the leader for another lease.
func (s *server) renew() {
	renewal := s.renewal()
	boot := s.boot
	s.emulation.queue.after(s.toLeader(), func() {
		answer := s.emulation.leader.renew(s.id, boot, renewal)
		s.emulation.queue.after(s.toLeader(), func() {
			if s.up && s.boot == boot {
				s.onProcessor(func() { s.renewed(answer) })
			}
		})
	})
}

func (s *server) renewed(answer wire.RenewAck) {
	before := s.holder.Valid(s.emulation.queue.now)
	s.holder.Granted(answer.SentAt, answer.Granted)
	if !before {
		s.emulation.measures.observeShards()
	}
	s.stopIfEmpty()
}

// renewal is the report of the agent.
func (s *server) renewal() *wire.Renew {
	s.sequence++
	now := s.emulation.queue.now
	renewal := &wire.Renew{
		Sequence: s.sequence, SentAt: now, Applied: s.table.Revision(), Leaving: s.leaving,
	}
	if now < s.loadDue && !s.moving() {
		renewal.LoadOmitted = true
		return renewal
	}
	s.loadDue = now + loadInterval
	busy := time.Duration(0)
	for shard, requests := range s.running {
		for _, request := range requests {
			if !request.probe {
				s.count(shard).busy += now - request.reported
				request.reported = now
			}
		}
	}
	service, _ := s.table.Service(s.emulation.leader.service)
	for shard := range service.Shards() {
		counted, some := s.counts[shard.ID]
		if !some {
			continue
		}
		if shard.Owner != s.id && len(s.running[shard.ID]) == 0 {
			delete(s.counts, shard.ID)
		}
		busy += counted.busy
		renewal.Load = append(renewal.Load, s.shardLoad(shard.ID.Shard, counted))
	}
	s.reportedAt = now
	claimed := s.claimFactor * busy.Seconds() / loadInterval.Seconds()
	renewal.Backend.Claimed = uint32(claimed + 0.5)
	renewal.Backend.Running = uint32(s.limit.Running())
	renewal.Backend.Queued = uint32(s.limit.Waiting())
	return renewal
}

func (s *server) shardLoad(number topology.ShardNumber, counted *shardCounts) wire.ShardLoad {
	load := wire.ShardLoad{
		Shard:      number,
		Requests:   counted.requests,
		Refused:    counted.refused,
		BusyMicros: uint32(counted.busy.Microseconds()),
	}
	for _, request := range s.running[topology.ShardID{Service: s.emulation.leader.service, Shard: number}] {
		if request.began <= s.reportedAt {
			load.LongRunning++
		}
	}
	for _, frequent := range counted.hotKeys.Report(wire.MaxHotKeys) {
		load.HotKeys = append(load.HotKeys, wire.KeyLoad{Key: frequent.Key, Share: float32(frequent.Share)})
	}
	counted.requests, counted.refused, counted.busy = 0, 0, 0
	return load
}

func (s *server) count(shard topology.ShardID) *shardCounts {
	known, found := s.counts[shard]
	if !found {
		known = &shardCounts{hotKeys: hotkeys.NewReporter()}
		s.counts[shard] = known
	}
	return known
}

// receive takes a request from a router.
func (s *server) receive(request *request) {
	if !s.up {
		request.router.unreachable(request, s)
		return
	}
	s.onProcessor(func() { s.admit(request) })
}

func (s *server) admit(request *request) {
	now := s.emulation.queue.now
	if s.leaving && s.emulation.service.Operations[request.operation].Bulk {
		request.router.refused(request, s, endMoved)
		return
	}
	if s.holder.Admits(request.shard, request.epoch, now) != nil {
		request.router.refused(request, s, endMoved)
		return
	}
	s.emulation.measures.admitted(request, s)
	counted := s.count(request.shard)
	counted.hotKeys.Add(request.position)
	if !s.warm[request.shard] {
		request.router.refused(request, s, endNoOwner)
		return
	}
	s.offer(request)
}

func (s *server) offer(request *request) {
	s.queued[&request.ticket] = request
	s.limit.Offer(s.emulation.queue.now, &request.ticket, admission.Request{
		Service: s.emulation.leader.service, Class: request.class, Deadline: request.deadline,
	})
	s.decided()
}

// decided acts on what the limit decided.
func (s *server) decided() {
	for _, decision := range s.limit.Decisions() {
		request := s.queued[decision.Ticket]
		delete(s.queued, decision.Ticket)
		if decision.Refusal == nil {
			s.run(request)
			continue
		}
		if !request.probe {
			s.count(request.shard).refused++
			request.router.refused(request, s, endShed)
		}
	}
}

func (s *server) run(request *request) {
	request.running = true
	request.began = s.emulation.queue.now
	request.reported = request.began
	s.running[request.shard] = append(s.running[request.shard], request)
	s.afterHere(request.work, func() { s.complete(request) })
}

func (s *server) complete(request *request) {
	if !request.running {
		return
	}
	now := s.emulation.queue.now
	request.running = false
	s.forget(request)
	if !request.probe {
		counted := s.count(request.shard)
		counted.requests++
		counted.busy += now - request.reported
		if s.holder.Owns(request.shard, request.epoch, now) != nil && !s.leaving {
			request.router.lost(request, s)
		} else {
			request.router.answered(request, s)
		}
	}
	s.limit.Finish(now, &request.ticket)
	s.decided()
	s.releaseDrained()
	s.stopIfEmpty()
}

func (s *server) forget(request *request) {
	requests := s.running[request.shard]
	for index, other := range requests {
		if other == request {
			requests[index] = requests[len(requests)-1]
			s.running[request.shard] = requests[:len(requests)-1]
			return
		}
	}
}

// probe is a health probe; it uses a slot like any request.
func (s *server) probe() {
	s.offer(&request{probe: true, work: s.emulation.service.Backend.ProbeCost})
}
