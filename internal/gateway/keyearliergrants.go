package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyhold"
)

// Grants are sent to the process at the back end's address. Another incarnation of the back end
// may send heartbeats from there while the former one still holds keys: the former one has
// closed its listener and continues to serve its open connections. From then on nothing is
// granted, and the next incarnation is accepted once every grant has expired. No response can
// shorten that time: it need not come from the process that holds the keys.

// earlierIncarnationGrants are grants that were made to incarnations before the current one.
type earlierIncarnationGrants struct {
	grants []*grant
	// unreadUntil is the time until which unanswered grants may be queued, unread, at a
	// stalled back end.
	unreadUntil time.Time
}

// add adds the grants that an incarnation may still hold.
func (e *earlierIncarnationGrants) add(grants map[fencedRange]*grant, fences *fenceTracker, now time.Time) {
	for _, sent := range grants {
		if !sent.bound.Expired(now) {
			e.grants = append(e.grants, sent)
		}
	}
	e.unreadUntil = latest(e.unreadUntil, fences.unreadUntil())
}

// expired reports whether earlier incarnations hold nothing any more.
func (e *earlierIncarnationGrants) expired(now time.Time) bool {
	for _, sent := range e.grants {
		if !sent.bound.Expired(now) {
			return false
		}
	}
	e.grants = nil
	return !now.Before(e.unreadUntil)
}

// earlierProcessExpiresAt is the time at which every grant of an earlier gateway process has
// expired, by call or by heartbeat: it is not known which of them the configuration of that
// time used.
func (k *grantManager) earlierProcessExpiresAt() time.Time {
	config := &k.gateway.config
	byCall, byHeartbeat := config.KeyHold+maxTransitDelay, config.HeartbeatInterval+responseValidity
	return k.started.Add(keyhold.WithDrift(max(byCall, byHeartbeat)))
}

// earlierProcessExpired reports whether every grant of an earlier gateway process has expired.
func (k *grantManager) earlierProcessExpired(now time.Time) bool {
	return !now.Before(k.earlierProcessExpiresAt())
}

// refusesEarlierProcesses reports whether the back end has confirmed a grant of all of a range
// to this process, so that it refuses unread grants of earlier processes; or whether no such
// grant can be unread any more. The caller has the mutex.
func (k *grantManager) refusesEarlierProcesses(held fleetwire.Held, now time.Time) bool {
	return k.confirmedGrantOf(held) || k.noUnreadOrders(now)
}

// noUnreadOrders reports whether no order of an earlier process can be queued, unread, at the
// back end any more. A back end that gets its keys by heartbeat is sent no orders.
func (k *grantManager) noUnreadOrders(now time.Time) bool {
	return k.byHeartbeat() || !now.Before(k.started.Add(maxGrantDelay))
}

// mayHoldKeys reports whether the back end may hold keys at all.
func (k *grantManager) mayHoldKeys() bool {
	service := k.gateway.views.load().service(k.gateway.registry.snapshot().Service)
	return service == nil || service.Keyed
}

// earlierExpired reports whether everything that was granted to incarnations before an
// instance, or by an earlier gateway process, has expired.
func (k *grantManager) earlierExpired(instance string, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.instance != "" && k.instance != instance {
		k.reset("", now)
	}
	expired := k.earlierIncarnations.expired(now) && k.earlierProcessExpired(now)
	if expired && !k.reportedEarlierExpired {
		k.gateway.recordKeysFree(instance, allKeys, proofEarlierExpired)
	}
	k.reportedEarlierExpired = expired
	return expired
}

// stopGrants stops grants to an incarnation until it sends a heartbeat again, and reports whether
// everything that it was granted has expired.
func (k *grantManager) stopGrants(former string, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if former == k.instance && !k.grantsStopped {
		k.gateway.config.Log.Info("another life of the back end is heard; nothing more is granted", "former", former, "grants", len(k.grants))
		k.grantsStopped = true
	}
	return k.allGrantsExpired(now) || k.noActiveGrants(now) && !k.mayHoldKeys()
}

// noActiveGrants reports whether every grant of this process has expired. The caller has the
// mutex.
func (k *grantManager) noActiveGrants(now time.Time) bool {
	for _, sent := range k.grants {
		if !sent.bound.Expired(now) {
			return false
		}
	}
	return true
}

// resumeGrants resumes grants to an instance that has sent a heartbeat again.
func (k *grantManager) resumeGrants(instance string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.grantsStopped && instance == k.instance {
		k.grantsStopped = false
		k.signal()
	}
}

// allGrantsExpired reports whether every grant of this process and earlier ones has expired,
// except for unanswered grants. The caller has the mutex.
func (k *grantManager) allGrantsExpired(now time.Time) bool {
	return k.noActiveGrants(now) && k.earlierProcessExpired(now)
}

// syncIncarnation starts over if another incarnation is the current one, and retries a
// candidate that waits to replace it. It reports whether the manager's incarnation is the
// current one. The caller has the mutex.
func (k *grantManager) syncIncarnation(current fleetwire.Instance, now time.Time) bool {
	if k.gateway.registry.hasWaitingCandidate() && k.allGrantsExpired(now) {
		go k.gateway.registry.retryCandidate(now)
	}
	if k.instance != "" && current.ID != k.instance {
		k.reset("", now)
	}
	return k.instance != ""
}
