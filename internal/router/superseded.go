package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Causes with which the router cancels an attempt.
var (
	// errSuperseded: the routing table names a new owner of the shard.
	errSuperseded = errors.New("the shard has a new owner")
	// errAttemptTimeout: no response within Config.AttemptTimeout; another back
	// end may be faster.
	errAttemptTimeout = errors.New("the back end took too long")
)

// pendingAttempts lists an endpoint's keyed attempts that have no response yet,
// so that they can be cancelled when their shard gets a new owner. The old
// owner may be frozen and never answer.
type pendingAttempts struct {
	mutex sync.Mutex
	head  *pendingAttempt
}

// pendingAttempt is an element of the linked list pendingAttempts.
type pendingAttempt struct {
	shard    topology.ShardID
	epoch    topology.Epoch
	key      topology.KeyHash
	owner    topology.BackendID
	cancel   context.CancelCauseFunc
	previous *pendingAttempt
	next     *pendingAttempt
}

func (l *pendingAttempts) add(p *pendingAttempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p.next = l.head
	if l.head != nil {
		l.head.previous = p
	}
	l.head = p
}

func (l *pendingAttempts) remove(p *pendingAttempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if p.previous != nil {
		p.previous.next = p.next
	} else if l.head == p {
		l.head = p.next
	}
	if p.next != nil {
		p.next.previous = p.previous
	}
	p.previous, p.next = nil, nil
}

// supersededCancels returns the cancel functions of the attempts whose key has
// a new owner in the view. A split or a merge raises the epoch as well, but the
// owner stays and completes the requests that it has begun.
func (l *pendingAttempts) supersededCancels(v *view) []context.CancelCauseFunc {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []context.CancelCauseFunc
	for p := l.head; p != nil; p = p.next {
		shard, present := v.table.Shard(p.shard)
		if present && shard.Epoch <= p.epoch {
			continue
		}
		route, routed := v.table.Lookup(p.shard.Service, p.key)
		if !routed || route.Shard.Owner != p.owner {
			found = append(found, p.cancel)
		}
	}
	return found
}

// cancelSuperseded cancels the attempts whose shard has a new owner. It waits
// for SupersededGrace first, so that responses in transit can arrive.
func (r *Router) cancelSuperseded(previous, next *view) {
	var cancels []context.CancelCauseFunc
	for _, e := range previous.endpoints {
		cancels = append(cancels, e.pending.supersededCancels(next)...)
	}
	if len(cancels) == 0 {
		return
	}
	time.AfterFunc(r.config.SupersededGrace, func() {
		for _, cancel := range cancels {
			cancel(errSuperseded)
		}
	})
}
