package router

import "sync/atomic"

// holdBuffer bounds the requests that wait for an owner, by number and by the
// bytes of their bodies.
type holdBuffer struct {
	maximumRequests int64
	maximumBytes    int64
	requests        atomic.Int64
	bytes           atomic.Int64
}

// enter takes room for a request, if there is some.
func (b *holdBuffer) enter(bytes int) bool {
	requests := b.requests.Add(1)
	total := b.bytes.Add(int64(bytes))
	if requests <= b.maximumRequests && total <= b.maximumBytes {
		return true
	}
	b.leave(bytes)
	return false
}

// leave gives the room back.
func (b *holdBuffer) leave(bytes int) {
	b.requests.Add(-1)
	b.bytes.Add(-int64(bytes))
}
