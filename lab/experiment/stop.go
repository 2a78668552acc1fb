package experiment

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// restart stops the process as planned and starts it again.
func (s *server) restart(down time.Duration) {
	if !s.up {
		return
	}
	s.emulation.measures.disturbed(nil)
	s.leaving = true
	s.leavingAt = s.emulation.queue.now
	boot := s.boot
	stop := func() {
		if !s.up || s.boot != boot {
			return
		}
		s.stop()
		s.emulation.queue.after(down, s.start)
	}
	s.stopping = stop
	s.emulation.queue.after(drainLimit, stop)
}

// stop ends the process as planned: it gives up its lease and finishes what
// runs. What still runs after that is cut off, which is a violation.
func (s *server) stop() {
	renewal := s.renewal()
	renewal.Release = true
	s.holder.Release()
	s.emulation.queue.after(s.toLeader(), func() {
		s.emulation.leader.renew(s.id, s.boot, renewal)
	})
	for _, requests := range s.running {
		for _, request := range requests {
			if !request.probe {
				s.emulation.measures.violation(violationCutOff)
			}
		}
	}
	s.crash()
}

// stopIfEmpty ends a planned stop once nothing is owned, or where the shards
// wait for the restart, once no long request runs.
func (s *server) stopIfEmpty() {
	if s.stopping == nil || !s.mayStop() {
		return
	}
	if s.waitsForRestart() && s.runsLong() && s.emulation.queue.now < s.leavingAt+leavingGrace {
		return
	}
	if s.limit.Running() > 0 || s.limit.Waiting() > 0 {
		s.holder.Release()
		s.emulation.measures.observeShards()
		return
	}
	stop := s.stopping
	s.stopping = nil
	stop()
}

// mayStop says whether a planned stop need not wait for shards to be handed
// over.
func (s *server) mayStop() bool {
	service, _ := s.table.Service(s.emulation.leader.service)
	waits := s.waitsForRestart()
	for shard := range service.Shards() {
		moving := shard.Phase != topology.ShardOwned
		if shard.Owner == s.id && (moving || !waits) {
			return false
		}
	}
	return !waits || s.emulation.queue.now >= max(s.leavingAt, s.movedAt)+moveGap
}

// waitsForRestart says whether the shards wait for the process to return.
func (s *server) waitsForRestart() bool {
	service, _ := s.table.Service(s.emulation.leader.service)
	waits := s.emulation.config.Policy.WaitsForRestart
	return waits != nil && waits(service.Placement)
}

// moving says whether a shard is on its way from this back end. Then load is
// reported with each renewal, as the move waits for long requests.
func (s *server) moving() bool {
	service, _ := s.table.Service(s.emulation.leader.service)
	for shard := range service.Shards() {
		if shard.Owner == s.id && shard.Target != 0 {
			return true
		}
	}
	return false
}

// runsLong says whether a request has been running since before the last
// report.
func (s *server) runsLong() bool {
	for _, requests := range s.running {
		for _, request := range requests {
			if !request.probe && request.began <= s.reportedAt {
				return true
			}
		}
	}
	return false
}
