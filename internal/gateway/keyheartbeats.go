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

// Keys by heartbeat (docs/decisions/018-keys-by-heartbeat.md): the back end says
// in each heartbeat what it holds, and the answer says all that it is to hold.
// Its time counts from the sending of the heartbeat, so that an answer that is
// held up never makes it hold a key for longer than the gateway has counted.

const (
	// MaxOfferedRanges bounds the ranges of an answer, so that it stays below the
	// 4 KiB that a back end reads: at most 52 bytes each, with a handover.
	MaxOfferedRanges = 64
	// answerVoid is for how long a back end takes the answer to a heartbeat, from
	// the heartbeat's arrival on: it waits for one second, on a clock that may run
	// slow.
	answerVoid = time.Second + time.Duration(clockDrift*float64(time.Second)) + processorPause
	// reportedSlack is for how much longer than a heartbeat's interval a range counts
	// as held that a heartbeat named while this process has no lease to offer it
	// under. The back end itself refuses what it does not hold.
	reportedSlack = 200 * time.Millisecond
)

// HeldRange is a range that a back end says it holds.
type HeldRange struct {
	Keys  keyspace.Range
	Fence keyspace.Fence
}

// FreedRange is a range that a back end has let go, with what it left for the
// next holder.
type FreedRange struct {
	Keys     keyspace.Range
	Handover string
}

// KeyOffer is all that a back end is to hold, counted from the sending of the
// heartbeat that it answers.
type KeyOffer struct {
	Held []OfferedRange
	Hold time.Duration
}

// OfferedRange is one range of an offer.
type OfferedRange struct {
	Keys  keyspace.Range
	Fence keyspace.Fence
	// Handover is what the last holder left; empty once it was taken.
	Handover string
}

// KeyReportError says what is wrong with the keys that a heartbeat names.
type KeyReportError struct{ Reason string }

// Error implements error.
func (e *KeyReportError) Error() string { return "keys of heartbeat: " + e.Reason }

// errNotTaken: a back end does not name a range that it was offered.
var errNotTaken = errors.New("not taken")

// checkKeys refuses ranges that run backwards or lie outside the key space. They
// may overlap: a range that is held anew may still be worked on by what began when
// it was held before.
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

// servedRange is a range that requests may be sent for until a time.
type servedRange struct {
	keys  keyspace.Range
	until time.Time
}

// keyReport is what follows from a back end's heartbeats about its keys.
type keyReport struct {
	// served are the ranges that it may be asked for.
	served []servedRange
	// freed are ranges that it has let go, kept until they are asked for or
	// openKept has passed.
	freed []freedAt
}

type freedAt struct {
	FreedRange
	at time.Time
}

// byHeartbeat says that the back end gets its keys by heartbeat.
func (k *keyKeeper) byHeartbeat() bool {
	v := k.gateway.views.load()
	if v.table == nil {
		return false
	}
	service := v.table.Service(k.gateway.registry.snapshot().Service)
	return service != nil && service.Grants == routeconfig.GrantByHeartbeat
}

// heartbeat takes what a back end holds and has let go, by a heartbeat that has just arrived
// and is its newest, and returns what it is to hold, once there is something to tell or its
// answer has to leave; nil renews nothing.
func (k *keyKeeper) heartbeat(told Registration, arrived time.Time) *KeyOffer {
	if !k.byHeartbeat() {
		return nil
	}
	beat, ok := k.takeHeartbeat(told.ID, told.Held, told.Freed, arrived)
	if !ok {
		return nil
	}
	waited := answeredAtOnce
	// One that leaves must have its word acknowledged, whatever stalls here.
	if told.State == fleetwire.InstanceReady {
		waited = k.awaitNews(beat, told.Held, arrived)
	}
	k.gateway.metrics.heartbeats.WithLabelValues(waited).Inc()
	return k.answerHeartbeat(told.ID, beat, told.Held, arrived)
}

// takeHeartbeat notes what a heartbeat says and numbers it; ok is false where it says nothing
// of the keys that are granted here.
func (k *keyKeeper) takeHeartbeat(instance string, held []HeldRange, freed []FreedRange, arrived time.Time) (beat uint64, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || k.yielding || k.gateway.registry.unreachable() {
		return 0, false
	}
	k.heartbeats++
	k.noteFreed(freed, arrived)
	k.noteTaken(held)
	k.noteReleases(held, arrived)
	k.announce()
	return k.heartbeats, true
}

// answerHeartbeat returns what a back end is to hold from the arrival of a heartbeat on; nil
// where a later one has come or there is nothing to renew.
func (k *keyKeeper) answerHeartbeat(instance string, beat uint64, held []HeldRange, arrived time.Time) *KeyOffer {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || k.yielding || beat != k.heartbeats || k.gateway.registry.unreachable() {
		return nil
	}
	offer := k.offer(arrived)
	if offer == nil {
		k.reported.served = reportedRanges(held, k.reported.served, arrived, k.gateway.config.HeartbeatInterval+reportedSlack)
		return nil
	}
	k.noteLeftOut(arrived)
	k.announce()
	return offer
}

// noteFreed keeps what was let go. Ranges that overlap older ones replace them.
func (k *keyKeeper) noteFreed(freed []FreedRange, now time.Time) {
	k.reported.freed = slices.DeleteFunc(k.reported.freed, func(old freedAt) bool {
		replaced := slices.ContainsFunc(freed, func(row FreedRange) bool { return row.Keys.Overlaps(old.Keys) })
		return replaced || now.After(old.at.Add(openKept))
	})
	for _, row := range freed {
		k.reported.freed = append(k.reported.freed, freedAt{row, now})
	}
}

// noteTaken compares what the back end holds with what it was offered. A range
// that it has not taken is offered again under a higher fence.
func (k *keyKeeper) noteTaken(held []HeldRange) {
	for _, sent := range k.grants {
		if sent.confirmed.IsZero() && covered(sent.Keys, held) {
			sent.confirmed = sent.sentAt
			k.gateway.metrics.grant(nil)
		}
	}
	for _, row := range held {
		owner, sub := decompose(row.Fence)
		k.fences.confirmed(row.Keys, owner, sub)
	}
	for _, wanted := range k.wanted {
		sent, offered := k.grants[heldKey{wanted.Keys, wanted.Fence}]
		if !offered || sent.sentAt.IsZero() || covered(wanted.Keys, held) {
			continue
		}
		sent.confirmed = time.Time{}
		sent.untaken++
		k.gateway.metrics.grant(errNotTaken)
		k.fences.skip(wanted.Fence, sent.sub)
		if sent.untaken == untakenTold {
			k.gateway.config.Log.Warn("keys not taken by back end", "instance", k.instance, "first", wanted.Keys.First, "last", wanted.Keys.Last,
				"fence", uint64(compose(wanted.Fence, sent.sub)))
		}
	}
}

// untakenTold is how often in a row a range is not taken before that is logged:
// the first time, an answer may have been lost.
const untakenTold = 2

// covered says that all keys of a range are held.
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

// noteReleases finds the ranges that the back end has let go: it was told to, by
// an earlier answer, and names them no more.
func (k *keyKeeper) noteReleases(held []HeldRange, now time.Time) {
	for _, running := range k.releases {
		stillHeld := slices.ContainsFunc(held, func(row HeldRange) bool { return row.Keys.Overlaps(running.held.Keys) })
		running.letGo = !stillHeld && !running.leftOutAt.IsZero()
	}
	k.endReleases(now)
}

// noteLeftOut marks the ranges that the answer being sent leaves out.
func (k *keyKeeper) noteLeftOut(now time.Time) {
	for _, running := range k.releases {
		if running.leftOutAt.IsZero() {
			running.leftOutAt = now
		}
	}
}

// endReleases promises the ranges that were let go, once no answer that offered
// them can be taken any more.
func (k *keyKeeper) endReleases(now time.Time) {
	for _, running := range k.releases {
		if running.done || !running.letGo || k.granting(running.held) || now.Before(k.answersVoid(running.held)) || k.fences.isOpen(running.held.Keys, running.held.Fence) {
			continue
		}
		running.done = true
		running.handover = k.handoverOf(running.held.Keys)
		k.gateway.metrics.release(nil)
		k.gateway.keysFree(k.instance, running.held.Keys, proofNamedNoMore)
		k.gateway.session.report()
	}
}

// answersVoid is when no answer that offered a key of a range can be taken any
// more, whichever process sent it.
func (k *keyKeeper) answersVoid(held fleetwire.Held) time.Time {
	void := k.started.Add(answerVoid)
	for key, sent := range k.grants {
		if key.keys.Overlaps(held.Keys) {
			void = later(void, sent.offeredAt.Add(answerVoid))
		}
	}
	return void
}

// handoverOf returns what the back end left of a range, if it left all of it
// together.
func (k *keyKeeper) handoverOf(keys keyspace.Range) string {
	for _, freed := range k.reported.freed {
		if freed.Keys.Contains(keys) {
			return freed.Handover
		}
	}
	return ""
}

// offer returns what the back end is to hold by the present lease, or nil where
// the lease is as good as over.
func (k *keyKeeper) offer(now time.Time) *KeyOffer {
	hold := k.longestHold(now)
	if hold < leastHold {
		return nil
	}
	wanted := k.wanted
	if len(wanted) > MaxOfferedRanges {
		k.gateway.config.Log.Warn("more ranges than an answer holds", "instance", k.instance, "ranges", len(wanted), "offered", MaxOfferedRanges)
		wanted = wanted[:MaxOfferedRanges]
	}
	offer := &KeyOffer{Hold: hold}
	k.reported.served = nil
	for _, held := range wanted {
		offer.Held = append(offer.Held, k.offerRange(held, hold, now))
	}
	return offer
}

// offerRange notes and returns one range of an offer.
func (k *keyKeeper) offerRange(held fleetwire.Held, hold time.Duration, now time.Time) OfferedRange {
	key := heldKey{held.Keys, held.Fence}
	sent, ok := k.grants[key]
	if !ok {
		sent = &grant{Held: held}
		k.grants[key] = sent
	}
	taken := !sent.confirmed.IsZero()
	// What was let go before it is held again is no handover of the next time.
	k.reported.freed = slices.DeleteFunc(k.reported.freed, func(row freedAt) bool { return row.Keys.Overlaps(held.Keys) })
	sent.sentAt, sent.offeredAt = now, now
	sent.sub = k.fences.used[held.Fence]
	sent.until = now.Add(hold)
	sent.bound.Given(now, hold)
	if taken {
		sent.confirmed, sent.untaken = now, 0
	}
	// A range that is offered for the first time is asked for at once. One that
	// was not taken waits until the back end names it.
	if taken || sent.untaken == 0 {
		k.reported.served = append(k.reported.served, servedRange{held.Keys, sent.until})
	}
	offered := OfferedRange{Keys: held.Keys, Fence: compose(held.Fence, sent.sub)}
	if !taken {
		offered.Handover = held.Handover
	}
	return offered
}

// reportedRanges are what a back end may be asked for while nothing can be
// offered to it: what it names, for as long as it was given, and at least for a
// time in which its next heartbeat comes.
func reportedRanges(held []HeldRange, before []servedRange, now time.Time, trusted time.Duration) []servedRange {
	var served []servedRange
	for _, row := range held {
		until := now.Add(trusted)
		for _, known := range before {
			if known.keys.Contains(row.Keys) {
				until = later(until, known.until)
			}
		}
		served = append(served, servedRange{row.Keys, until})
	}
	return served
}

// servesReported says that a key may be asked for, by the last heartbeat.
func (k *keyKeeper) servesReported(key keyspace.Key, now time.Time) bool {
	return slices.ContainsFunc(k.reported.served, func(served servedRange) bool {
		return served.keys.First <= key && key <= served.keys.Last && now.Before(served.until)
	})
}
