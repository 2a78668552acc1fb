package router

import "sync/atomic"

// holdBuffer limits the requests that wait for an owner, by their number and by
// the total size of their bodies.
type holdBuffer struct {
	maximumRequests int64
	maximumBytes    int64
	requests        atomic.Int64
	bytes           atomic.Int64
}

// reserve reserves space for a request. It returns false if the buffer is full.
func (b *holdBuffer) reserve(bytes int) bool {
	requests := b.requests.Add(1)
	total := b.bytes.Add(int64(bytes))
	if requests <= b.maximumRequests && total <= b.maximumBytes {
		return true
	}
	b.release(bytes)
	return false
}

// release frees the space of a request.
func (b *holdBuffer) release(bytes int) {
	b.requests.Add(-1)
	b.bytes.Add(-int64(bytes))
}
