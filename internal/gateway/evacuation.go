package gateway

import "time"

// While a zone is evacuated, its back ends get no new requests. Gateways stop selecting them as
// soon as they learn of the order, and the leader moves their keys. The local gateway of such a
// back end continues to admit requests for a while, for those sent by gateways that did not
// know yet and for keys that have not moved yet, and then refuses them.

// evacuationGraceShare is the part of EvacuateWithin, which counts from the acknowledgement to
// the operator, during which a back end in an evacuated zone still gets requests. The rest
// covers the delivery of the order to the gateways.
const evacuationGraceShare = 0.5

// unconfirmedGraceShare is the part of EvacuateWithin for which a gateway without updates
// assumes that its zone is not evacuated. The rest covers the time between the check and the
// arrival of the request at the back end, and the drift of clocks.
const unconfirmedGraceShare = 0.9

// mayBeEvacuated reports whether the back end must not get requests because its zone may be
// evacuated. An order that the gateway has not received yet may be as old as the last
// confirmed state.
func (g *Gateway) mayBeEvacuated(now time.Time) bool {
	return now.Sub(g.session.configurationLease.currentAsOf()) >= time.Duration(unconfirmedGraceShare*float64(g.config.EvacuateWithin))
}

// evacuated reports whether the back end must not get requests because its zone is evacuated.
func (g *Gateway) evacuated(now time.Time) bool {
	v := g.views.load()
	evacuatedAt, ok := v.evacuatedAt[g.config.Zone]
	if !ok {
		return false
	}
	return now.Sub(evacuatedAt) >= time.Duration(evacuationGraceShare*float64(g.config.EvacuateWithin))
}
