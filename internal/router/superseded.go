package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Causes for which the router itself ends an attempt.
var (
	// errSuperseded: the routing table named a new owner meanwhile.
	errSuperseded = errors.New("the shard has a new owner")
	// errAttemptTimeout: another back end may be faster.
	errAttemptTimeout = errors.New("the back end took too long")
)

// attemptList holds a peer's keyed attempts without answer, so that they can be
// ended when their shard gets a new owner: a frozen owner will not answer.
type attemptList struct {
	mutex sync.Mutex
	first *pendingAttempt
}

// pendingAttempt is a member of an attemptList.
type pendingAttempt struct {
	shard  topology.ShardID
	epoch  topology.Epoch
	key    topology.KeyHash
	owner  topology.BackendID
	cancel context.CancelCauseFunc
	before *pendingAttempt
	after  *pendingAttempt
}

func (l *attemptList) add(p *pendingAttempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	p.after = l.first
	if l.first != nil {
		l.first.before = p
	}
	l.first = p
}

func (l *attemptList) remove(p *pendingAttempt) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if p.before != nil {
		p.before.after = p.after
	} else if l.first == p {
		l.first = p.after
	}
	if p.after != nil {
		p.after.before = p.before
	}
	p.before, p.after = nil, nil
}

// superseded returns how to cancel the attempts whose key has a new owner in
// the view. After a split or a merge the epoch is a later one as well, but the
// owner goes on with what it began.
func (l *attemptList) superseded(v *view) []context.CancelCauseFunc {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []context.CancelCauseFunc
	for p := l.first; p != nil; p = p.after {
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

// cancelSuperseded ends, after a grace in which answers on their way can
// arrive, the attempts whose shard has a new owner.
func (r *Router) cancelSuperseded(previous, next *view) {
	var cancels []context.CancelCauseFunc
	for _, p := range previous.peers {
		cancels = append(cancels, p.attempts.superseded(next)...)
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
