package gateway

import "time"

// While a zone is evacuated, its back ends get nothing new. Gateways stop choosing
// them as soon as they know, and the leader gives their keys to others. The gateway
// beside such a back end goes on for a while, for what others sent before they knew
// and for keys that have not moved yet, and then admits nothing more.

// evacuationGrace is the part of the bound, which counts from the operator's
// acknowledgement, during which a back end in an evacuated zone still gets requests.
// The rest covers the way of the order to the gateways.
const evacuationGrace = 0.5

// unheardGrace is the part of the bound for which a gateway that hears nothing goes on
// believing that its zone is not evacuated. The rest covers the time from the check to the
// arrival at the back end, and the drift of clocks.
const unheardGrace = 0.9

// mayBeEvacuated reports whether the back end must get nothing because its zone may be
// evacuated: an order of which nothing was heard counts from the leader's last word.
func (g *Gateway) mayBeEvacuated(now time.Time) bool {
	return now.Sub(g.session.vouched.since()) >= time.Duration(unheardGrace*float64(g.config.EvacuateWithin))
}

// evacuated reports whether the back end must get nothing because its zone is
// evacuated.
func (g *Gateway) evacuated(now time.Time) bool {
	v := g.views.load()
	since, ok := v.evacuatedAt[g.config.Zone]
	if !ok {
		return false
	}
	return now.Sub(since) >= time.Duration(evacuationGrace*float64(g.config.EvacuateWithin))
}
