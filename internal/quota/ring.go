package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/quartzdock/quartzdock/internal/namehash"
)

// Member is a gateway that may hold shares for others.
type Member struct {
	Node, Address, Zone string
}

// Ring places the gateways of a fleet on a circle for each zone, so that all gateways agree, without
// asking, on the few that hold shares of a tenant's quota (consistent hashing: Karger et al.,
// 1997). Where views differ for a moment, more gateways hold shares, which is harmless: shares
// are leased. A Ring is immutable.
type Ring struct {
	zones map[string][]point
}

// point is a member's place on the circle.
type point struct {
	hash   uint64
	member Member
}

// NewRing returns the ring of the given gateways.
func NewRing(members []Member) *Ring {
	ring := &Ring{zones: map[string][]point{}}
	for _, member := range members {
		ring.zones[member.Zone] = append(ring.zones[member.Zone], point{namehash.Of(member.Node), member})
	}
	for _, points := range ring.zones {
		slices.SortFunc(points, func(a, b point) int {
			return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.member.Node, b.member.Node))
		})
	}
	return ring
}

// tokensPerHolder is the depth that a holder's share should have at least, so that it serves
// requests that come close together. A quota with less than that for each zone has one holder a
// zone, so that losing a few holders leaves most of the quota in use.
const tokensPerHolder = 20

// Holders returns the gateways of a zone that hold shares of a tenant's quota, and one more that
// takes the place of one that fails. It is empty if the ring has no gateway there.
func (r *Ring) Holders(tenant, zone string, limit Limit) []Member {
	points := r.zones[zone]
	if len(points) == 0 {
		return nil
	}
	perZone := int(math.Ceil(limit.Depth / tokensPerHolder / float64(len(r.zones))))
	count := min(max(perZone, 1)+1, len(points))
	first, _ := slices.BinarySearchFunc(points, namehash.Of(tenant), func(p point, hash uint64) int { return cmp.Compare(p.hash, hash) })
	holders := make([]Member, 0, count)
	for i := range count {
		holders = append(holders, points[(first+i)%len(points)].member)
	}
	return holders
}

// Serving returns the holders without the reserve.
func Serving(holders []Member) []Member { return holders[:min(max(len(holders)-1, 1), len(holders))] }

// Spread orders the holders for one gateway: it keeps the last as the reserve and begins at one
// that depends on the gateway, so that the gateways use all holders.
func Spread(holders []Member, node string) []Member {
	serving := len(Serving(holders))
	first := int(namehash.Of(node) % uint64(serving))
	ordered := make([]Member, 0, len(holders))
	for i := range serving {
		ordered = append(ordered, holders[(first+i)%serving])
	}
	return append(ordered, holders[serving:]...)
}
