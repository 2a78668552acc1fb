package platformstandin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/lab/pause"
)

// grantCall is the body of a grant or a release.
type grantCall struct {
	FromRev       uint32 `json:"fromRev"`
	TargetVersion uint32 `json:"targetVersion"`
	Fence         uint64 `json:"fence"`
	HoldTime      string `json:"hold_time"`
}

func (i *Instance) grant(w http.ResponseWriter, r *http.Request) {
	if i.misdirected(w, r) {
		return
	}
	var call grantCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, err := time.ParseDuration(call.HoldTime)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	held := i.heldUp()
	if !i.accept(heldRange{call.FromRev, call.TargetVersion, call.Fence, time.Now().Add(hold)}, held) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if held {
		panic(http.ErrAbortHandler)
	}
}

// SetLate makes the instance hold up grants, and take them without an answer,
// for as long as a function draws; nil ends it.
func (i *Instance) SetLate(late func() time.Duration) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	i.late = late
}

// heldUp waits for the time by which a grant is late, and reports that it is.
func (i *Instance) heldUp() bool {
	i.mutex.Lock()
	late := i.late
	i.mutex.Unlock()
	if late == nil {
		return false
	}
	delay := late()
	time.Sleep(delay)
	return delay > 0
}

// accept takes a grant, which may have been held up, unless a higher fence was seen on
// one of its keys or the instance has ended.
func (i *Instance) accept(given heldRange, late bool) bool {
	i.mutex.Lock()
	if i.state == "ended" {
		i.mutex.Unlock()
		return false
	}
	for _, seen := range i.seen {
		if seen.overlaps(given) && seen.fence > given.fence {
			i.mutex.Unlock()
			return false
		}
	}
	i.seen = append(without(i.seen, given), given)
	i.mutex.Unlock()
	i.ledger.granted(i, given)
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.state == "ended" {
		return false
	}
	i.held = append(without(i.held, given), given)
	i.tell(KeyEvent{Kind: TookKeys, First: given.first, Last: given.last, Fence: given.fence, Until: given.until, Late: late})
	return true
}

// tell tells the check of owners what the instance did. The caller has the mutex.
func (i *Instance) tell(event KeyEvent) {
	if !i.Keyed || i.ledger == nil {
		return
	}
	event.At, event.Service, event.Holder, event.Life = time.Now(), i.Service, i.ID, i.life
	i.ledger.owners.Note(event)
}

func (r heldRange) overlaps(other heldRange) bool {
	return r.first <= other.last && other.first <= r.last
}

// without returns ranges less a range.
func without(ranges []heldRange, taken heldRange) []heldRange {
	var rest []heldRange
	for _, held := range ranges {
		if !held.overlaps(taken) {
			rest = append(rest, held)
			continue
		}
		if held.first < taken.first {
			left := held
			left.last = taken.first - 1
			rest = append(rest, left)
		}
		if taken.last < held.last {
			right := held
			right.first = taken.last + 1
			rest = append(rest, right)
		}
	}
	return rest
}

// common returns what ranges have in common with a range.
func common(ranges []heldRange, with heldRange) []heldRange {
	var shared []heldRange
	for _, held := range ranges {
		if held.overlaps(with) {
			held.first, held.last = max(held.first, with.first), min(held.last, with.last)
			shared = append(shared, held)
		}
	}
	return shared
}

// release stops new work on keys at once, and answers when what ran on them has ended.
func (i *Instance) release(w http.ResponseWriter, r *http.Request) {
	if i.misdirected(w, r) {
		return
	}
	var call grantCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	i.letGo(heldRange{first: call.FromRev, last: call.TargetVersion})
	w.Header().Set("Handover", fmt.Sprintf("%016x", call.Fence))
}

// workPoll is how often a release looks whether work has ended.
const workPoll = 5 * time.Millisecond

// letGo stops new work on keys and waits for the work that runs on them, which ends
// with its lease at the latest.
func (i *Instance) letGo(released heldRange) {
	i.mutex.Lock()
	leaving := common(i.held, released)
	i.held = without(i.held, released)
	i.keys.released = append(i.keys.released, leaving...)
	for _, each := range leaving {
		i.tell(KeyEvent{Kind: LetKeysGo, First: each.first, Last: each.last})
	}
	i.mutex.Unlock()
	for i.worksOnReleased(released) {
		time.Sleep(workPoll)
	}
}

// worksOnReleased says that work runs inside its lease on keys of a range that were
// released, and forgets those on which none does.
func (i *Instance) worksOnReleased(keys heldRange) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	i.keys.released = slices.DeleteFunc(i.keys.released, func(each heldRange) bool {
		return !now.Before(each.until) || !i.worksOn(each)
	})
	return len(common(i.keys.released, keys)) > 0
}

// errLeaseOver ends work that outlasts its lease.
var errLeaseOver = errors.New("the lease of the key is over")

// insideLease returns a context that ends with the request and, with errLeaseOver, with
// the lease of its key, which renewals make longer.
func (i *Instance) insideLease(r *http.Request) (context.Context, func()) {
	key, err := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 32)
	if !i.Keyed || err != nil {
		return r.Context(), func() {}
	}
	ctx, end := context.WithCancelCause(r.Context())
	go func() {
		for {
			left := time.Until(i.leaseEnd(uint32(key)))
			switch {
			case i.ended():
				return
			case left <= 0:
				end(errLeaseOver)
				return
			}
			if pause.For(ctx, left) != nil {
				return
			}
		}
	}()
	return ctx, func() { end(nil) }
}

// leaseEnd is when the lease of a key ends on which work runs: a key that was let go
// keeps the end that it had.
func (i *Instance) leaseEnd(key uint32) time.Time {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	var end time.Time
	for _, ranges := range [][]heldRange{i.held, i.keys.leaving, i.keys.released} {
		for _, each := range common(ranges, heldRange{first: key, last: key}) {
			if each.until.After(end) {
				end = each.until
			}
		}
	}
	return end
}

func (i *Instance) holdsAny(wanted heldRange) bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	now := time.Now()
	for _, held := range i.held {
		if now.Before(held.until) && held.overlaps(wanted) {
			return true
		}
	}
	return false
}
