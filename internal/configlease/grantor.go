package configlease

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// Gateway is one life of a gateway's process.
type Gateway struct {
	Node string
	// Boot is drawn at random at each start.
	Boot uint64
}

// Grantor is the leader's knowledge of who may serve by which configuration, for one term
// of leadership. It is not safe for concurrent use.
type Grantor struct {
	terms Terms
	// earlierUntil is when nothing that earlier leaders vouched for is left.
	earlierUntil time.Duration
	gateways     map[Gateway]*holder
}

// holder is what one gateway may serve by.
type holder struct {
	confirmed routeconfig.Version
	// grants that were not confirmed to be replaced, oldest first, one a version.
	grants []grant
}

// grant vouches for a version, and for none that is older, until a time.
type grant struct {
	version routeconfig.Version
	until   time.Duration
}

// NewGrantor returns that of a leader whose predecessors' leader leases ended at
// earlierEnd.
func NewGrantor(terms Terms, earlierEnd time.Duration) *Grantor {
	return &Grantor{terms: terms, earlierUntil: max(earlierEnd, 0) + terms.Validity(), gateways: map[Gateway]*holder{}}
}

// Grant takes a report of a gateway that has a version in force, and returns for how long
// from the sending of the report its answer vouches for the present version, which must
// travel in the answer or before it.
func (g *Grantor) Grant(gateway Gateway, confirmed, present routeconfig.Version, now time.Duration) time.Duration {
	known, ok := g.gateways[gateway]
	if !ok {
		known = &holder{}
		g.gateways[gateway] = known
	}
	known.confirm(confirmed)
	known.grants = slices.DeleteFunc(known.grants, func(earlier grant) bool {
		return earlier.version < known.confirmed || earlier.version == present || earlier.until <= now
	})
	known.grants = append(known.grants, grant{version: present, until: now + g.terms.Validity()})
	return g.terms.Validity()
}

// Confirm takes the word of a gateway that has a version in force, and grants nothing.
func (g *Grantor) Confirm(gateway Gateway, confirmed routeconfig.Version) {
	if known, ok := g.gateways[gateway]; ok {
		known.confirm(confirmed)
	}
}

func (h *holder) confirm(version routeconfig.Version) { h.confirmed = max(h.confirmed, version) }

// InForceInTime reports whether a version that is accepted may be acknowledged at now:
// nobody will be served by an older one after ApplyWithin.
func (g *Grantor) InForceInTime(version routeconfig.Version, now time.Duration) bool {
	latest := now + g.terms.ApplyWithin
	if g.earlierUntil > latest {
		return false
	}
	for _, known := range g.gateways {
		if known.outlasts(version, latest) {
			return false
		}
	}
	return true
}

// outlasts reports whether a gateway may serve by a version older than another one after
// a time.
func (h *holder) outlasts(version routeconfig.Version, latest time.Duration) bool {
	return h.confirmed < version && slices.ContainsFunc(h.grants, func(given grant) bool {
		return given.version < version && given.until > latest
	})
}

// Lagging returns the gateways that hold the acknowledgement of a version up at now.
func (g *Grantor) Lagging(version routeconfig.Version, now time.Duration) []string {
	var names []string
	for gateway, known := range g.gateways {
		if known.outlasts(version, now+g.terms.ApplyWithin) {
			names = append(names, gateway.Node)
		}
	}
	slices.Sort(names)
	return names
}

// Forget drops the gateways that nothing vouches for any more.
func (g *Grantor) Forget(now time.Duration) {
	for gateway, known := range g.gateways {
		if !slices.ContainsFunc(known.grants, func(given grant) bool { return given.until > now }) {
			delete(g.gateways, gateway)
		}
	}
}
