package gateway

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// Keys by heartbeat (docs/decisions/018-keys-by-heartbeat.md): each heartbeat lists the ranges
// that the back end holds, and its response lists all ranges that the back end is to hold. The
// duration counts from the sending of the heartbeat, so a delayed response never makes the back
// end hold a key for longer than the gateway assumes.

const (
	// responseValidity is how long after a heartbeat's arrival a back end may still accept its
	// response: it waits for one second, on a clock that may run slow.
	responseValidity = time.Second + time.Duration(clockDrift*float64(time.Second)) + cpuQuotaPause
	// reportedRangeGrace is how much longer than a heartbeat interval a range named by a
	// heartbeat counts as held while this process has no lease to offer it under. The back end
	// itself refuses requests for keys that it does not hold.
	reportedRangeGrace = 200 * time.Millisecond
)

// HeldRange is a range that a back end reports as held.
type HeldRange struct {
	Keys  keyspace.Range
	Fence keyspace.Fence
}

// FreedRange is a range that a back end has released, with the handover data that it left for
// the next holder.
type FreedRange struct {
	Keys     keyspace.Range
	Handover string
}

// KeyOffer lists all ranges that a back end is to hold. Hold counts from the sending of the
// heartbeat that the offer responds to.
type KeyOffer struct {
	Held []OfferedRange
	Hold time.Duration
}

// OfferedRange is one range of an offer.
type OfferedRange struct {
	Keys  keyspace.Range
	Fence keyspace.Fence
	// Handover is what the last holder left; empty once the back end has accepted the range.
	Handover string
}

// KeyReportError describes an invalid key range in a heartbeat.
type KeyReportError struct{ Reason string }

// Error implements error.
func (e *KeyReportError) Error() string { return "keys of heartbeat: " + e.Reason }

// errOfferNotAccepted: a back end does not name a range that it was offered.
var errOfferNotAccepted = errors.New("not taken")

// checkKeys rejects ranges whose first key is above the last one, or that lie outside the key
// space. Ranges may overlap: requests that began under an earlier fence may still be running
// when the range is granted again.
func (r *Registration) checkKeys() error {
	for _, row := range r.Held {
		if err := checkRange(row.Keys); err != nil {
			return err
		}
	}
	for _, row := range r.Freed {
		if err := checkRange(row.Keys); err != nil {
			return err
		}
	}
	return nil
}

func checkRange(keys keyspace.Range) error {
	if keys.First > keys.Last || keys.Last > keyspace.LastKey {
		return &KeyReportError{fmt.Sprintf("%d to %d is no range within 0 to %d", keys.First, keys.Last, keyspace.LastKey)}
	}
	return nil
}

// servedRange is a range for which requests may be sent to the back end until a time.
type servedRange struct {
	keys  keyspace.Range
	until time.Time
}

// heartbeatKeys is what a back end's heartbeats report about its keys.
type heartbeatKeys struct {
	// served are the ranges for which requests may be sent to the back end.
	served []servedRange
	// freed are the ranges that it has released, kept until they are offered again or
	// maxGrantDelay has passed.
	freed []timedFreedRange
}

type timedFreedRange struct {
	FreedRange
	freedAt time.Time
}

// byHeartbeat reports whether the back end gets its keys by heartbeat.
func (k *grantManager) byHeartbeat() bool {
	v := k.gateway.views.load()
	if v.table == nil {
		return false
	}
	service := v.table.Service(k.gateway.registry.snapshot().Service)
	return service != nil && service.Grants == routeconfig.GrantByHeartbeat
}

// heartbeat records what a back end holds and has released according to its newest heartbeat,
// and returns what it is to hold. It returns once there is a change to send to the back end or
// the response is due; nil renews nothing.
func (k *grantManager) heartbeat(registration Registration, arrived time.Time) *KeyOffer {
	if !k.byHeartbeat() {
		return nil
	}
	number, ok := k.recordHeartbeat(registration.ID, registration.Held, registration.Freed, arrived)
	if !ok {
		return nil
	}
	reason := respondedAtOnce
	// The heartbeat of a draining back end must be acknowledged without delay, whatever else
	// stalls in this gateway.
	if registration.State == fleetwire.InstanceReady {
		reason = k.awaitChange(number, registration.Held, arrived)
	}
	k.gateway.metrics.heartbeats.WithLabelValues(reason).Inc()
	return k.respondToHeartbeat(registration.ID, number, registration.Held, arrived)
}

// recordHeartbeat records the ranges of a heartbeat and numbers it; ok is false if the
// heartbeat is not about the keys that are granted here.
func (k *grantManager) recordHeartbeat(instance string, held []HeldRange, freed []FreedRange, arrived time.Time) (number uint64, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || k.grantsStopped || k.gateway.registry.unreachable() {
		return 0, false
	}
	k.heartbeatCount++
	k.recordFreed(freed, arrived)
	k.recordAccepted(held)
	k.recordDropped(held, arrived)
	k.notifyWaiters()
	return k.heartbeatCount, true
}

// respondToHeartbeat returns what a back end is to hold from the arrival of a heartbeat on; nil
// if a later heartbeat has arrived or there is nothing to renew.
func (k *grantManager) respondToHeartbeat(instance string, number uint64, held []HeldRange, arrived time.Time) *KeyOffer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || k.grantsStopped || number != k.heartbeatCount || k.gateway.registry.unreachable() {
		return nil
	}
	offer := k.buildOffer(arrived)
	if offer == nil {
		k.fromHeartbeats.served = reportedRanges(held, k.fromHeartbeats.served, arrived, k.gateway.config.HeartbeatInterval+reportedRangeGrace)
		return nil
	}
	k.recordOmitted(arrived)
	k.notifyWaiters()
	return offer
}

// recordFreed stores the released ranges. They replace stored ranges that they overlap.
func (k *grantManager) recordFreed(freed []FreedRange, now time.Time) {
	k.fromHeartbeats.freed = slices.DeleteFunc(k.fromHeartbeats.freed, func(old timedFreedRange) bool {
		replaced := slices.ContainsFunc(freed, func(row FreedRange) bool { return row.Keys.Overlaps(old.Keys) })
		return replaced || now.After(old.freedAt.Add(maxGrantDelay))
	})
	for _, row := range freed {
		k.fromHeartbeats.freed = append(k.fromHeartbeats.freed, timedFreedRange{row, now})
	}
}

// recordAccepted compares what the back end holds with what it was offered. A range that the
// back end has not accepted is offered again under a higher fence.
func (k *grantManager) recordAccepted(held []HeldRange) {
	for _, sent := range k.grants {
		if sent.confirmedAt.IsZero() && covered(sent.Keys, held) {
			sent.confirmedAt = sent.sentAt
			k.gateway.metrics.grant(nil)
		}
	}
	for _, row := range held {
		owner, sub := decomposeFence(row.Fence)
		k.fences.recordConfirmed(row.Keys, owner, sub)
	}
	for _, wanted := range k.leasedRanges {
		sent, offered := k.grants[fencedRange{wanted.Keys, wanted.Fence}]
		if !offered || sent.sentAt.IsZero() || covered(wanted.Keys, held) {
			continue
		}
		sent.confirmedAt = time.Time{}
		sent.unacceptedOffers++
		k.gateway.metrics.grant(errOfferNotAccepted)
		k.fences.retireFence(wanted.Fence, sent.subFence)
		if sent.unacceptedOffers == unacceptedOffersLogged {
			k.gateway.config.Log.Warn("keys not taken by back end", "instance", k.instance, "first", wanted.Keys.First, "last", wanted.Keys.Last,
				"fence", uint64(composeFence(wanted.Fence, sent.subFence)))
		}
	}
}

// unacceptedOffersLogged is after how many consecutive offers without acceptance a warning is
// logged: after the first one, the response may just have been lost.
const unacceptedOffersLogged = 2

// covered reports whether all keys of a range are held.
func covered(keys keyspace.Range, held []HeldRange) bool {
	rest := []keyspace.Range{keys}
	for _, row := range held {
		var left []keyspace.Range
		for _, part := range rest {
			left = append(left, part.Without(row.Keys)...)
		}
		rest = left
	}
	return len(rest) == 0
}

// recordDropped finds the ranges that the back end has released: an earlier response omitted
// them, and it no longer names them.
func (k *grantManager) recordDropped(held []HeldRange, now time.Time) {
	for _, pending := range k.releases {
		stillHeld := slices.ContainsFunc(held, func(row HeldRange) bool { return row.Keys.Overlaps(pending.held.Keys) })
		pending.droppedByBackend = !stillHeld && !pending.omittedAt.IsZero()
	}
	k.completeReleases(now)
}

// recordOmitted marks the ranges that the response being sent omits.
func (k *grantManager) recordOmitted(now time.Time) {
	for _, pending := range k.releases {
		if pending.omittedAt.IsZero() {
			pending.omittedAt = now
		}
	}
}

// completeReleases completes the releases of ranges that the back end has dropped, once it
// can't accept a response that offered them any more.
func (k *grantManager) completeReleases(now time.Time) {
	for _, pending := range k.releases {
		if pending.done || !pending.droppedByBackend || k.grantInFlight(pending.held) || now.Before(k.responsesExpireAt(pending.held)) || k.fences.hasUnanswered(pending.held.Keys, pending.held.Fence) {
			continue
		}
		pending.done = true
		pending.handover = k.handoverOf(pending.held.Keys)
		k.gateway.metrics.release(nil)
		k.gateway.recordKeysFree(k.instance, pending.held.Keys, proofNoLongerReported)
		k.gateway.session.requestReport()
	}
}

// responsesExpireAt is the time from which the back end can't accept any response that offered
// a key of a range, whichever process sent it.
func (k *grantManager) responsesExpireAt(held fleetwire.Held) time.Time {
	expiry := k.started.Add(responseValidity)
	for key, sent := range k.grants {
		if key.keys.Overlaps(held.Keys) {
			expiry = latest(expiry, sent.offeredAt.Add(responseValidity))
		}
	}
	return expiry
}

// handoverOf returns the handover data of a range, if the back end released all of the range
// at once.
func (k *grantManager) handoverOf(keys keyspace.Range) string {
	for _, freed := range k.fromHeartbeats.freed {
		if freed.Keys.Contains(keys) {
			return freed.Handover
		}
	}
	return ""
}

// buildOffer returns what the back end is to hold under the current lease, or nil if too
// little of the lease remains.
func (k *grantManager) buildOffer(now time.Time) *KeyOffer {
	hold := k.maxGrantDuration(now)
	if hold < minGrantDuration {
		return nil
	}
	offer := &KeyOffer{Hold: hold}
	k.fromHeartbeats.served = nil
	for _, offered := range k.offerable() {
		k.recordOffer(offered.held, hold, now)
		offer.Held = append(offer.Held, offered.row)
	}
	return offer
}

// recordOffer records that a range is offered.
func (k *grantManager) recordOffer(held fleetwire.Held, hold time.Duration, now time.Time) {
	key := fencedRange{held.Keys, held.Fence}
	sent, ok := k.grants[key]
	if !ok {
		sent = &grant{Held: held}
		k.grants[key] = sent
	}
	accepted := !sent.confirmedAt.IsZero()
	// Handover data from before this grant must not be passed on at the next release.
	k.fromHeartbeats.freed = slices.DeleteFunc(k.fromHeartbeats.freed, func(row timedFreedRange) bool { return row.Keys.Overlaps(held.Keys) })
	sent.sentAt, sent.offeredAt = now, now
	sent.subFence = k.fences.subFences[held.Fence]
	sent.heldUntil = now.Add(hold)
	sent.bound.Extend(now, hold)
	if accepted {
		sent.confirmedAt, sent.unacceptedOffers = now, 0
	}
	// Requests are sent at once for a range that is offered for the first time. One that was
	// not accepted gets none until the back end names it.
	if accepted || sent.unacceptedOffers == 0 {
		k.fromHeartbeats.served = append(k.fromHeartbeats.served, servedRange{held.Keys, sent.heldUntil})
	}
}

// reportedRanges returns the ranges for which requests may be sent while nothing can be
// offered to the back end: those that it names, for as long as they were granted, and at least
// until its next heartbeat is due.
func reportedRanges(held []HeldRange, previous []servedRange, now time.Time, grace time.Duration) []servedRange {
	var served []servedRange
	for _, row := range held {
		until := now.Add(grace)
		for _, known := range previous {
			if known.keys.Contains(row.Keys) {
				until = latest(until, known.until)
			}
		}
		served = append(served, servedRange{row.Keys, until})
	}
	return served
}

// servesByHeartbeat reports whether requests for a key may be sent, according to the last
// heartbeat.
func (k *grantManager) servesByHeartbeat(key keyspace.Key, now time.Time) bool {
	return slices.ContainsFunc(k.fromHeartbeats.served, func(served servedRange) bool {
		return served.keys.First <= key && key <= served.keys.Last && now.Before(served.until)
	})
}
