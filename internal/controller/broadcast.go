package controller

import "sync"

// broadcast wakes all waiting goroutines on each signal.
type broadcast struct {
	mutex   sync.Mutex
	changed chan struct{}
}

// wait returns a channel that the next signal closes.
func (b *broadcast) wait() <-chan struct{} {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

func (b *broadcast) signal() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
