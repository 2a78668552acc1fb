package gateway

import "sync/atomic"

// bufferedBytes counts the bytes of responses that a gateway buffers until their readers have
// received them. Readers may be slow, and the buffers for them must not use up the memory that
// other requests need.
type bufferedBytes struct {
	// limit is the number of buffered bytes from which no new request is accepted; zero is
	// unlimited. Responses that are ready are still delivered.
	limit int64
	count atomic.Int64
}

// full reports whether no new request may be accepted.
func (h *bufferedBytes) full() bool { return h.limit > 0 && h.count.Load() >= h.limit }

// add counts bytes that are buffered, or, if negative, that no longer are.
func (h *bufferedBytes) add(bytes int) { h.count.Add(int64(bytes)) }

// bodySize is the number of bytes that are buffered for a response until its reader has
// received it.
func (r *forwardResult) bodySize() int {
	if r.Stream != nil {
		return len(r.Stream.content)
	}
	return len(r.Body)
}
