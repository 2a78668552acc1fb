package gateway

import (
	"context"
	"slices"
	"sync"
	"time"
)

// minIdleCheck is the least time between two checks whether the link is idle.
const minIdleCheck = 5 * time.Millisecond

// linkPlaces decides which bodies are written to the link: maxPacedWriters at a time, in the order
// in which they asked, and a further one whenever the link is idle although bodies wait for it.
// The holders of places that don't use the link therefore hold nobody up.
type linkPlaces struct {
	// busy returns how long the link takes for what was handed over to it.
	busy func() time.Duration

	mutex sync.Mutex
	taken int
	// waiting holds a channel for each body that waits, which is closed once it has a place.
	waiting []chan struct{}
	// watched is set while watch runs.
	watched bool
}

// linkPlace is the place of a body that is being written.
type linkPlace struct {
	places   *linkPlaces
	released sync.Once
}

// acquire waits for a place, or until the context ends.
func (p *linkPlaces) acquire(ctx context.Context) (*linkPlace, error) {
	granted := p.enqueue()
	select {
	case <-granted: // whether the context has ended or not
		return &linkPlace{places: p}, nil
	default:
	}
	select {
	case <-granted:
		return &linkPlace{places: p}, nil
	case <-ctx.Done():
		p.withdraw(granted)
		return nil, ctx.Err()
	}
}

func (p *linkPlaces) enqueue() (granted chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	granted = make(chan struct{})
	p.waiting = append(p.waiting, granted)
	if p.taken < maxPacedWriters {
		p.grant()
	} else if !p.watched {
		p.watched = true
		go p.watch()
	}
	return granted
}

// withdraw takes back what enqueue has asked for.
func (p *linkPlaces) withdraw(granted chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if at := slices.Index(p.waiting, granted); at >= 0 {
		p.waiting = slices.Delete(p.waiting, at, at+1)
		return
	}
	p.free()
}

// grant gives a place to the body that has waited for longest. The caller holds the mutex.
func (p *linkPlaces) grant() {
	if len(p.waiting) == 0 {
		return
	}
	p.taken++
	close(p.waiting[0])
	p.waiting = p.waiting[1:]
}

// free ends the use of a place. The caller holds the mutex.
func (p *linkPlaces) free() {
	p.taken--
	if p.taken < maxPacedWriters {
		p.grant()
	}
}

// watch gives a further place whenever the link is idle, until no body waits.
func (p *linkPlaces) watch() {
	for wait := minIdleCheck; wait > 0; wait = p.grantIfIdle() {
		time.Sleep(wait)
	}
}

// grantIfIdle returns after what time to check again, or zero if no body waits.
func (p *linkPlaces) grantIfIdle() time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	busy := p.busy()
	if busy == 0 {
		p.grant()
	}
	p.watched = len(p.waiting) > 0
	if !p.watched {
		return 0
	}
	return max(busy, minIdleCheck)
}

// release gives the place to another body. It may be called more than once.
func (l *linkPlace) release() {
	l.released.Do(func() {
		l.places.mutex.Lock()
		defer l.places.mutex.Unlock()
		l.places.free()
	})
}
