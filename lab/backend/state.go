package backend

import (
	"context"
	"sync"
	"time"
)

// warmth knows which shards' states are ready. Preparing one takes a fixed
// time; the first request of a cold shard waits for it.
type warmth struct {
	cost   time.Duration
	mutex  sync.Mutex
	shards map[string]chan struct{}
}

func newWarmth(cost time.Duration) *warmth {
	return &warmth{cost: cost, shards: make(map[string]chan struct{})}
}

// prepare returns once the shard is warm.
func (w *warmth) prepare(ctx context.Context, shard string) error {
	select {
	case <-w.start(shard):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (w *warmth) start(shard string) <-chan struct{} {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	ready, found := w.shards[shard]
	if found {
		return ready
	}
	ready = make(chan struct{})
	w.shards[shard] = ready
	time.AfterFunc(w.cost, func() { close(ready) })
	return ready
}

// cool forgets a shard that the back end no longer owns.
func (w *warmth) cool(shard string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	delete(w.shards, shard)
}

// store is the state per key: how many writes were kept.
type store struct {
	mutex  sync.Mutex
	writes map[string]uint64
}

func newStore() *store { return &store{writes: make(map[string]uint64)} }

func (s *store) write(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes[key]++
}
