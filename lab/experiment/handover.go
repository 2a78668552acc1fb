package experiment

import (
	"iter"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// applied takes routing data: grants, shards to make warm and shards to
// release.
func (s *server) applied(table *routing.Table) {
	previous := s.table
	s.table = table
	service, found := table.Service(s.emulation.leader.service)
	if !found {
		return
	}
	s.holder.SetShards(values(service.Shards()), s.id)
	for shard := range service.Shards() {
		s.appliedShard(shard, previous)
	}
	s.releaseDrained()
	s.emulation.measures.observeShards()
}

// values yields copies.
func values(shards iter.Seq[*topology.Shard]) iter.Seq[topology.Shard] {
	return func(yield func(topology.Shard) bool) {
		for shard := range shards {
			if !yield(*shard) {
				return
			}
		}
	}
}

func (s *server) appliedShard(shard *topology.Shard, previous *routing.Table) {
	isTarget := shard.Target == s.id && shard.Phase == topology.ShardWarming
	if isTarget {
		s.warmForMove(shard)
		return
	}
	if shard.Owner == s.id && shard.Phase != topology.ShardOwned {
		s.movedAt = s.emulation.queue.now
	}
	if shard.Owner != s.id {
		if shard.Target != s.id {
			delete(s.warm, shard.ID)
		}
		return
	}
	if !s.warm[shard.ID] {
		s.warmAsOwner(shard, previous)
	}
}

// warmForMove prepares a shard while its owner still serves. Without hand-over
// it reports at once and leaves the work for later.
func (s *server) warmForMove(shard *topology.Shard) {
	if !s.emulation.config.Policy.Handover {
		s.reportWarmed(shard)
		return
	}
	s.load(shard.ID, func() { s.reportWarmed(shard) })
}

// warmAsOwner prepares a shard that this back end already owns. A part of a
// shard that was warm before a split is warm.
func (s *server) warmAsOwner(shard *topology.Shard, previous *routing.Table) {
	if before, found := previous.Lookup(shard.ID.Service, shard.Start); found {
		if before.Shard.Owner == s.id && s.warm[before.Shard.ID] {
			s.warm[shard.ID] = true
			return
		}
	}
	s.load(shard.ID, s.emulation.measures.observeShards)
}

// load brings a shard's state into memory.
func (s *server) load(shard topology.ShardID, done func()) {
	if s.warm[shard] {
		done()
		return
	}
	if s.warming[shard] {
		return
	}
	s.warming[shard] = true
	s.afterHere(s.emulation.service.Backend.ColdStart, func() {
		delete(s.warming, shard)
		s.warm[shard] = true
		done()
	})
}

func (s *server) reportWarmed(shard *topology.Shard) {
	warmed := wire.Warmed{Shard: shard.ID, Epoch: shard.Epoch}
	s.emulation.queue.after(s.toLeader(), func() { s.emulation.leader.warmed(s.id, warmed) })
}

// releaseDrained promises to serve no more those shards that are to be
// released and run nothing. Without hand-over what runs is cut off.
func (s *server) releaseDrained() {
	service, found := s.table.Service(s.emulation.leader.service)
	if !found || s.emulation.leader.releasing == 0 {
		return
	}
	for shard := range service.Shards() {
		if shard.Owner != s.id || shard.Phase != topology.ShardReleasing {
			continue
		}
		if !s.emulation.config.Policy.Handover {
			s.cutOff(shard.ID)
		}
		if len(s.running[shard.ID]) == 0 && !s.waits(shard.ID) {
			s.promise(shard)
		}
	}
}

// waits says whether requests of a shard wait for a slot.
func (s *server) waits(shard topology.ShardID) bool {
	for _, request := range s.queued {
		if request.shard == shard && !request.probe {
			return true
		}
	}
	return false
}

func (s *server) cutOff(shard topology.ShardID) {
	now := s.emulation.queue.now
	for _, request := range s.running[shard] {
		request.running = false
		request.router.lost(request, s)
		s.limit.Finish(now, &request.ticket)
	}
	delete(s.running, shard)
	s.decided()
}

func (s *server) promise(shard *topology.Shard) {
	released := wire.Released{Shard: shard.ID, Epoch: shard.Epoch, RecordMoved: true}
	if s.released[released] {
		return
	}
	s.released[released] = true
	s.emulation.queue.after(s.toLeader(), func() { s.emulation.leader.released(s.id, released) })
}
