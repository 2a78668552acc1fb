package gateway

import "sync/atomic"

// heldBytes counts the bytes of bodies that a gateway buffers: of requests until they are
// answered, and of responses until their readers have received them. Readers on both sides
// may be slow, and the buffers for them must not use up the memory that other requests need.
type heldBytes struct {
	// limit is the number of buffered bytes from which no new request is accepted; zero is
	// unlimited. Responses that are ready are still delivered.
	limit int64
	held  atomic.Int64
}

// full reports whether no new request may be accepted.
func (h *heldBytes) full() bool { return h.limit > 0 && h.held.Load() >= h.limit }

// add counts bytes that are buffered, or, if negative, that no longer are.
func (h *heldBytes) add(bytes int) { h.held.Add(int64(bytes)) }

// bodySize is the number of bytes that are buffered for a response until its reader has
// received it.
func (r *forwardResult) bodySize() int {
	if r.Stream != nil {
		return len(r.Stream.content)
	}
	return len(r.Body)
}
