package configlease

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// Gateway identifies one gateway process.
type Gateway struct {
	Node string
	// Boot is a random number chosen at each start.
	Boot uint64
}

// Grantor tracks, at the leader, which gateways may use which configuration, for one term of
// leadership. It is not safe for concurrent use.
type Grantor struct {
	terms Terms
	// earlierLeasesExpireAt is when all leases granted by earlier leaders have expired.
	earlierLeasesExpireAt time.Duration
	gateways              map[Gateway]*gatewayLeases
}

// gatewayLeases has the configurations that one gateway may use.
type gatewayLeases struct {
	confirmed routeconfig.Version
	// grants has the leases that the gateway may still use, the oldest first, one for each
	// version.
	grants []grant
}

// grant is a lease of a version, and of none that is older, until a time.
type grant struct {
	version   routeconfig.Version
	expiresAt time.Duration
}

// NewGrantor returns the grantor of a leader whose predecessors' leadership leases ended at
// earlierEnd.
func NewGrantor(terms Terms, earlierEnd time.Duration) *Grantor {
	return &Grantor{terms: terms, earlierLeasesExpireAt: max(earlierEnd, 0) + terms.Validity(), gateways: map[Gateway]*gatewayLeases{}}
}

// Grant handles a report of a gateway that has a version in force. It returns the duration of
// the lease of the current version that the response grants, counted from when the report was
// sent. The current version must be sent in the response or before it.
func (g *Grantor) Grant(gateway Gateway, confirmed, current routeconfig.Version, now time.Duration) time.Duration {
	known, ok := g.gateways[gateway]
	if !ok {
		known = &gatewayLeases{}
		g.gateways[gateway] = known
	}
	known.confirm(confirmed)
	known.grants = slices.DeleteFunc(known.grants, func(earlier grant) bool {
		return earlier.version < known.confirmed || earlier.version == current || earlier.expiresAt <= now
	})
	known.grants = append(known.grants, grant{version: current, expiresAt: now + g.terms.Validity()})
	return g.terms.Validity()
}

// Confirm records that a gateway has a version in force, without granting a lease.
func (g *Grantor) Confirm(gateway Gateway, confirmed routeconfig.Version) {
	if known, ok := g.gateways[gateway]; ok {
		known.confirm(confirmed)
	}
}

func (l *gatewayLeases) confirm(version routeconfig.Version) { l.confirmed = max(l.confirmed, version) }

// MayAcknowledge reports whether an accepted version may be acknowledged at now: no gateway
// will use an older one after ApplyWithin.
func (g *Grantor) MayAcknowledge(version routeconfig.Version, now time.Duration) bool {
	latest := now + g.terms.ApplyWithin
	if g.earlierLeasesExpireAt > latest {
		return false
	}
	for _, known := range g.gateways {
		if known.mayServeOlderAfter(version, latest) {
			return false
		}
	}
	return true
}

// mayServeOlderAfter reports whether the gateway may use a version older than the given one
// after a time.
func (l *gatewayLeases) mayServeOlderAfter(version routeconfig.Version, latest time.Duration) bool {
	return l.confirmed < version && slices.ContainsFunc(l.grants, func(lease grant) bool {
		return lease.version < version && lease.expiresAt > latest
	})
}

// Lagging returns the gateways that delay the acknowledgement of a version at now.
func (g *Grantor) Lagging(version routeconfig.Version, now time.Duration) []string {
	var names []string
	for gateway, known := range g.gateways {
		if known.mayServeOlderAfter(version, now+g.terms.ApplyWithin) {
			names = append(names, gateway.Node)
		}
	}
	slices.Sort(names)
	return names
}

// Expire drops the gateways whose leases have all expired.
func (g *Grantor) Expire(now time.Duration) {
	for gateway, known := range g.gateways {
		if !slices.ContainsFunc(known.grants, func(lease grant) bool { return lease.expiresAt > now }) {
			delete(g.gateways, gateway)
		}
	}
}
