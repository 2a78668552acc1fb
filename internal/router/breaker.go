package router

import (
	"sync"
	"time"
)

// probeInterval is how often one request may try a peer that could not be
// reached.
const probeInterval = 50 * time.Millisecond

// breaker keeps requests from a peer that could not be reached (a circuit
// breaker, Nygard, "Release It!", 2007). While it is open, one request each
// probeInterval tries; the first answer closes it and wakes those that wait.
type breaker struct {
	mutex     sync.Mutex
	open      bool
	nextProbe time.Duration
	reachable chan struct{}
}

// allow says whether a request may try the peer at now.
func (b *breaker) allow(now time.Duration) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.open {
		return true
	}
	if now < b.nextProbe {
		return false
	}
	b.nextProbe = now + probeInterval
	return true
}

// failed says that no connection could be made.
func (b *breaker) failed(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.open {
		return
	}
	b.open = true
	b.nextProbe = now + probeInterval
	b.reachable = make(chan struct{})
}

// succeeded says that the peer answered.
func (b *breaker) succeeded() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.open {
		return
	}
	b.open = false
	close(b.reachable)
}

// whenReachable is closed at the first answer; nil while the breaker is
// closed.
func (b *breaker) whenReachable() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.open {
		return nil
	}
	return b.reachable
}
