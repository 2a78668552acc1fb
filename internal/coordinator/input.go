package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// placementInput collects the input of a placement decision.
func (c *Coordinator) placementInput(now time.Duration, unixMilli int64) placement.Input {
	input := placement.Input{Now: now}
	for _, service := range c.state.Services() {
		input.Services = append(input.Services, c.serviceInput(service.Service, now, unixMilli))
	}
	for _, backend := range c.state.Backends() {
		input.Backends = append(input.Backends, c.backendInput(backend.Backend, now))
	}
	return input
}

func (c *Coordinator) serviceInput(service topology.Service, now time.Duration, unixMilli int64) placement.ServiceInput {
	shards := make([]placement.ShardInput, 0, c.state.ShardCount(service.ID))
	observed := c.loads.Service(service.ID)
	for shard := range c.state.Shards(service.ID) {
		load := observed.Shard(shard.ID)
		shards = append(shards, placement.ShardInput{
			Shard:         shard,
			Load:          load.Slots,
			LastMoved:     c.lastMoved[shard.ID],
			CreatedAt:     c.createdAt[shard.ID],
			HotKeys:       load.HotKeys,
			LongRunning:   load.LongRunning,
			LoadChangedAt: load.ChangedAt,
		})
	}
	return placement.ServiceInput{
		Service:         service,
		Shards:          shards,
		RecentLoadMoves: c.recentLoadMoves(service.ID, now),
		AnnouncedShifts: announcedShifts(c.state.LoadShifts(service.ID), now, unixMilli),
	}
}

// announcedShifts converts the announced load shifts that are not over from the
// wall clock to the monotonic clock.
func announcedShifts(shifts []controlstate.LoadShift, now time.Duration, unixMilli int64) []placement.AnnouncedShift {
	result := make([]placement.AnnouncedShift, 0, len(shifts))
	for _, shift := range shifts {
		if shift.EndUnixMilli < unixMilli {
			continue
		}
		result = append(result, placement.AnnouncedShift{
			From:  now + time.Duration(shift.StartUnixMilli-unixMilli)*time.Millisecond,
			Until: now + time.Duration(shift.EndUnixMilli-unixMilli)*time.Millisecond,
			Keys:  shift.Keys,
			Load:  shift.ExpectedSlots / float64(len(shift.Keys)),
		})
	}
	return result
}

func (c *Coordinator) backendInput(backend topology.Backend, now time.Duration) placement.BackendInput {
	observed := c.loads.Backend(backend.ID, now)
	input := placement.BackendInput{
		Backend:      backend,
		Live:         c.leases.Live(backend.ID, now),
		ObservedLoad: observed.Observed,
		ClaimedLoad:  observed.Claimed,
		FailureShare: observed.FailureShare,
	}
	if c.onLeavingMachine[backend.ID] && backend.State == topology.BackendActive {
		input.Backend.State = topology.BackendDraining
	}
	if known, ok := c.agents[backend.ID]; ok {
		input.LostAt = known.lostAt
		input.LiveSince = known.liveSince
		input.Leaving = known.leaving
		input.LeavingAt = known.leavingAt
	}
	return input
}
