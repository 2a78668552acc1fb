package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyhold"
)

// What is granted goes to the process at the back end's address. Another life of the back
// end may be heard there while the one before still holds keys: it has closed its listener
// and serves on over the connections that it has. Nothing is granted from then on, and the
// next life is believed once the time of all that was granted is over. No answer can shorten
// that: whoever gives it need not be the one that holds.

// earlierLives are grants that were made to lives before the present one.
type earlierLives struct {
	grants []*grant
	// unreadUntil is until when grants without an answer may lie unread before one that
	// stands still.
	unreadUntil time.Time
}

// add takes what a life may still hold.
func (e *earlierLives) add(grants map[heldKey]*grant, fences *fenceLedger, now time.Time) {
	for _, sent := range grants {
		if !sent.bound.Over(now) {
			e.grants = append(e.grants, sent)
		}
	}
	e.unreadUntil = later(e.unreadUntil, fences.unreadUntil())
}

// over reports whether none of them holds anything any more.
func (e *earlierLives) over(now time.Time) bool {
	for _, sent := range e.grants {
		if !sent.bound.Over(now) {
			return false
		}
	}
	e.grants = nil
	return !now.Before(e.unreadUntil)
}

// earlierProcessUntil is when nothing is in force any more that an earlier process of this
// gateway has granted, in whichever way: the configuration of that time is not known.
func (k *keyKeeper) earlierProcessUntil() time.Time {
	config := &k.gateway.config
	byCall, byHeartbeat := config.KeyHold+transit, config.HeartbeatInterval+answerVoid
	return k.started.Add(keyhold.Longest(max(byCall, byHeartbeat)))
}

// earlierProcessOver reports whether that time has come.
func (k *keyKeeper) earlierProcessOver(now time.Time) bool {
	return !now.Before(k.earlierProcessUntil())
}

// answeredHere reports whether the back end has confirmed a grant of all of a range to this
// process, so that it refuses what earlier ones have sent and it has not read yet; or whether
// that can't be read any more. The caller has the mutex.
func (k *keyKeeper) answeredHere(held fleetwire.Held, now time.Time) bool {
	return k.everConfirmed(held) || k.nothingUnread(now)
}

// nothingUnread reports whether no order of an earlier process can lie unread before the back
// end any more. One that gets its keys by heartbeat is sent none.
func (k *keyKeeper) nothingUnread(now time.Time) bool {
	return k.byHeartbeat() || !now.Before(k.started.Add(openKept))
}

// mayBeKeyed reports whether the back end may hold keys at all.
func (k *keyKeeper) mayBeKeyed() bool {
	service := k.gateway.views.load().service(k.gateway.registry.snapshot().Service)
	return service == nil || service.Keyed
}

// earlierOver reports whether nothing is held any more that was granted to lives before an
// instance, or to any by an earlier process of this gateway.
func (k *keyKeeper) earlierOver(instance string, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.instance != "" && k.instance != instance {
		k.reset("", now)
	}
	over := k.earlier.over(now) && k.earlierProcessOver(now)
	if over && !k.toldEarlierOver {
		k.gateway.keysFree(instance, allKeys, proofEarlierOver)
	}
	k.toldEarlierOver = over
	return over
}

// yield reports whether the time of all that a life was granted is over. From now on it is
// granted nothing, until it is heard again.
func (k *keyKeeper) yield(former string, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if former == k.instance && !k.yielding {
		k.gateway.config.Log.Info("another life of the back end is heard; nothing more is granted", "former", former, "grants", len(k.grants))
		k.yielding = true
	}
	return k.timeOver(now) || k.noneGranted(now) && !k.mayBeKeyed()
}

// noneGranted reports whether this process has granted nothing that may be held. The caller
// has the mutex.
func (k *keyKeeper) noneGranted(now time.Time) bool {
	for _, sent := range k.grants {
		if !sent.bound.Over(now) {
			return false
		}
	}
	return true
}

// stay ends the yielding for an instance that was heard again: it lives.
func (k *keyKeeper) stay(instance string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.yielding && instance == k.instance {
		k.yielding = false
		k.signal()
	}
}

// timeOver reports whether the time of all that was granted here is over, but for grants
// without an answer. The caller has the mutex.
func (k *keyKeeper) timeOver(now time.Time) bool {
	return k.noneGranted(now) && k.earlierProcessOver(now)
}

// followPresent begins with nothing where another life is the present one, and tries the one
// again that waits for its place. It reports whether the keeper's life is the present one.
// The caller has the mutex.
func (k *keyKeeper) followPresent(present fleetwire.Instance, now time.Time) bool {
	if k.gateway.registry.waits() && k.timeOver(now) {
		go k.gateway.registry.retry(now)
	}
	if k.instance != "" && present.ID != k.instance {
		k.reset("", now)
	}
	return k.instance != ""
}
