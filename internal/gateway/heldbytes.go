package gateway

import "sync/atomic"

// heldBytes counts the bodies that a gateway keeps: of requests until they were answered,
// and of answers until their readers have taken them. Readers on both sides may be slow;
// what is kept for them must not take the memory that all others need.
type heldBytes struct {
	// limit is from how many bytes on nothing new is begun; zero is no bound. What is
	// ready then is still delivered.
	limit int64
	held  atomic.Int64
}

// full says that nothing new may begin.
func (h *heldBytes) full() bool { return h.limit > 0 && h.held.Load() >= h.limit }

// add counts bytes that are kept, or, below zero, that are no longer.
func (h *heldBytes) add(bytes int) { h.held.Add(int64(bytes)) }

// size is what is kept of an answer until its reader has it.
func (r *forwardResult) size() int {
	if r.Stream != nil {
		return len(r.Stream.content)
	}
	return len(r.Body)
}
