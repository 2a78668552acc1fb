package ownership_test

import (
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/ownership"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const duration = ownership.DefaultLeaseDuration

func TestNoLeaseLapsesBeforeEarlierLeadersLeasesEnd(t *testing.T) {
	elected := 10 * time.Second
	table := ownership.NewLeaseTable(duration, elected)
	assert.Assert(t, !table.Lapsed(7, elected+duration-1))
	assert.Assert(t, table.Lapsed(7, elected+duration))
}

func TestSecondProcessGetsNoLeaseWhileTheFirstHoldsOne(t *testing.T) {
	table := ownership.NewLeaseTable(duration, 0)
	assert.Equal(t, table.Renew(1, 100, 0), duration)
	assert.Equal(t, table.Renew(1, 200, duration-1), time.Duration(0))
	assert.Equal(t, table.Renew(1, 200, duration), duration)
	assert.Equal(t, table.Renew(1, 100, duration+1), time.Duration(0))
}

func TestReleaseEndsLeaseAtOnce(t *testing.T) {
	table := ownership.NewLeaseTable(duration, 0)
	table.Renew(1, 100, 0)
	table.Release(1, 200, 1)
	assert.Assert(t, table.Live(1, 1), "released by a process that does not hold it")
	table.Release(1, 100, 2)
	assert.Assert(t, table.Lapsed(1, 2))
}

// TestHolderStopsBeforeGrantor draws clocks that drift within the bound and
// delayed messages, and checks that the lease ends at the holder first.
func TestHolderStopsBeforeGrantor(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.Float64Range(1-ownership.DefaultClockDrift, 1).Draw(r, "holder's clock rate")
		sent := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(r, "sent"))
		late := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(r, "delay"))
		table := ownership.NewLeaseTable(duration, 0)
		holder := ownership.NewHolder(ownership.DefaultClockDrift)
		received := sent + late
		granted := table.Renew(1, 1, received)
		holderClock := func(real time.Duration) time.Duration { return time.Duration(float64(real) * rate) }
		holder.Granted(holderClock(sent), granted)
		end := received + granted
		if holder.Valid(holderClock(end)) {
			r.Fatalf("the holder's lease is valid at %s, when it has ended at the grantor", end)
		}
	})
}

func TestHolderAdmitsOnlyOwnedShards(t *testing.T) {
	holder := ownership.NewHolder(0)
	mine := topology.Shard{ID: topology.ShardID{Service: 1, Shard: 1}, Owner: 5, Epoch: 3, Phase: topology.ShardOwned}
	leaving := topology.Shard{ID: topology.ShardID{Service: 1, Shard: 2}, Owner: 5, Epoch: 4, Phase: topology.ShardReleasing}
	others := topology.Shard{ID: topology.ShardID{Service: 1, Shard: 3}, Owner: 6, Epoch: 1, Phase: topology.ShardOwned}
	holder.SetShards(slices.Values([]topology.Shard{mine, leaving, others}), 5)

	assert.ErrorIs(t, holder.Admits(mine.ID, 3, 0), ownership.ErrNoLease)
	holder.Granted(0, duration)
	assert.NilError(t, holder.Admits(mine.ID, 3, 1))
	assert.ErrorIs(t, holder.Admits(others.ID, 1, 1), ownership.ErrNotOwner)
	assert.ErrorIs(t, holder.Admits(leaving.ID, 4, 1), ownership.ErrReleasing)
	assert.NilError(t, holder.Owns(leaving.ID, 4, 1), "running requests may finish")
	var wrong *ownership.WrongEpochError
	assert.Assert(t, errors.As(holder.Admits(mine.ID, 2, 1), &wrong))
	assert.Equal(t, wrong.Held, topology.Epoch(3))
	assert.ErrorIs(t, holder.Owns(mine.ID, 3, duration), ownership.ErrNoLease)
}

// TestLeasesOfTwoLeadersNeverOverlap draws three clocks that drift within the
// bound: those of an old leader, of its successor and of a back end's agent.
// The old leader grants leases until its leader lease ends; the new leader may
// assume any later end up to its own election. When the new leader counts the
// back end's lease as ended, the holder must no longer serve.
func TestLeasesOfTwoLeadersNeverOverlap(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		const slowest = 1 - ownership.DefaultClockDrift
		clock := func(name string) func(time.Duration) time.Duration {
			rate := rapid.Float64Range(slowest, 1).Draw(r, name)
			return func(real time.Duration) time.Duration { return time.Duration(float64(real) * rate) }
		}
		old, next, holders := clock("old leader"), clock("new leader"), clock("holder")
		between := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(r, name))
		}
		leaseEnd := between("end of the leader lease", time.Second, time.Minute)
		granted := between("last grant", leaseEnd-duration, leaseEnd)
		sent := between("renewal sent", granted-duration, granted)
		known := between("end of the leader lease, as the voters know", leaseEnd, leaseEnd+duration)
		elected := between("election", leaseEnd, leaseEnd+2*duration)

		holder := ownership.NewHolder(ownership.DefaultClockDrift)
		oldTable := ownership.NewLeaseTable(duration, 0)
		holder.Granted(holders(sent), oldTable.Renew(1, 1, old(granted)))
		table := ownership.NewLeaseTable(duration, next(elected))
		table.SetSettled(min(next(known), next(elected)) + duration)
		free := time.Duration(float64(table.Settled())/float64(next(time.Hour))*float64(time.Hour)) + 1
		if !table.Lapsed(1, next(free)+1) || table.Lapsed(1, next(free)-time.Millisecond) {
			r.Fatalf("earlier leases do not lapse at %s", free)
		}
		if holder.Valid(holders(free)) {
			r.Fatalf("the holder's lease is valid until %s, but lapsed at the new leader at %s", holder.ValidUntil(), holders(free))
		}
	})
}
