package quota_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/quota"
)

func members(count int) []quota.Member {
	all := make([]quota.Member, count)
	for i := range all {
		all[i] = quota.Member{Node: fmt.Sprintf("node-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)}
	}
	return all
}

// A small quota has few holders at any size of the fleet; a large one has as many as it has
// tokens for.
func TestHoldersGoByDepthNotByFleet(t *testing.T) {
	for _, count := range []int{30, 300, 3000} {
		ring := quota.NewRing(members(count))
		assert.Equal(t, len(ring.Holders("t", "zone-1", quota.Limit{Rate: 5, Depth: 30})), 2)
		assert.Equal(t, len(ring.Holders("t", "zone-1", quota.Limit{Rate: 1e6, Depth: 1e9})), count/3)
	}
	assert.Equal(t, len(quota.NewRing(nil).Holders("t", "zone-1", quota.Limit{Rate: 5, Depth: 30})), 0)
}

// All gateways agree on the holders, whatever the order in which they know the fleet, and a gateway
// that leaves changes them for few tenants.
func TestHoldersAreStable(t *testing.T) {
	all := members(90)
	limit := quota.Limit{Rate: 5, Depth: 30}
	ring := quota.NewRing(all)
	reversed := make([]quota.Member, 0, len(all))
	for i := range all {
		reversed = append(reversed, all[len(all)-1-i])
	}
	same, smaller := quota.NewRing(reversed), quota.NewRing(all[1:])
	changed := 0
	for i := range 1000 {
		tenant := fmt.Sprintf("tenant-%d", i)
		holders := ring.Holders(tenant, "zone-0", limit)
		assert.DeepEqual(t, holders, same.Holders(tenant, "zone-0", limit))
		if smaller.Holders(tenant, "zone-0", limit)[0] != holders[0] {
			changed++
		}
	}
	assert.Assert(t, changed < 200, "%d of 1000", changed)
}

// Gateways spread over the holders, and the reserve is the last for all of them.
func TestGatewaysSpreadOverHolders(t *testing.T) {
	holders := quota.NewRing(members(90)).Holders("t", "zone-0", quota.Limit{Rate: 100, Depth: 240})
	assert.Equal(t, len(holders), 5)
	first := map[string]int{}
	for _, member := range members(400) {
		ordered := quota.Spread(holders, member.Node)
		assert.Equal(t, len(ordered), len(holders))
		assert.Equal(t, ordered[4], holders[4])
		first[ordered[0].Node]++
	}
	assert.Equal(t, len(first), 4)
	alone := quota.NewRing(members(1)).Holders("t", "zone-0", quota.Limit{Rate: 5, Depth: 30})
	assert.DeepEqual(t, quota.Spread(alone, "x"), alone)
}
