package router

import (
	"sync"
	"time"
)

// probeInterval is the time between the requests that may try an unreachable
// endpoint.
const probeInterval = 50 * time.Millisecond

// breaker is a circuit breaker (Nygard, "Release It!", 2007) for an endpoint.
// It opens when no connection can be made. While it is open, one request per
// probeInterval may try; the first success closes the breaker and wakes the
// requests that wait.
type breaker struct {
	mutex     sync.Mutex
	open      bool
	nextProbe time.Duration
	reachable chan struct{}
}

// allow reports whether a request may try the endpoint at now.
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

// recordFailure opens the breaker after a failure to connect.
func (b *breaker) recordFailure(now time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.open {
		return
	}
	b.open = true
	b.nextProbe = now + probeInterval
	b.reachable = make(chan struct{})
}

// recordSuccess closes the breaker. It is called after every attempt that did
// not fail to connect.
func (b *breaker) recordSuccess() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.open {
		return
	}
	b.open = false
	close(b.reachable)
}

// reachableAgain returns a channel that is closed when the breaker closes, or
// nil if it is closed already.
func (b *breaker) reachableAgain() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.open {
		return nil
	}
	return b.reachable
}
