package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// keyLoad sums the slot time that the keys of each bucket used.
type keyLoad struct {
	mutex sync.Mutex
	busy  map[uint32]time.Duration
}

func newKeyLoad() *keyLoad { return &keyLoad{busy: map[uint32]time.Duration{}} }

func (l *keyLoad) add(key keyspace.Key, used time.Duration) {
	l.mutex.Lock()
	l.busy[keylease.BucketOf(key)] += used
	l.mutex.Unlock()
}

// take returns and forgets the sums.
func (l *keyLoad) take() []fleetwire.KeyLoad {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.busy) == 0 {
		return nil
	}
	taken := make([]fleetwire.KeyLoad, 0, len(l.busy))
	for bucket, used := range l.busy {
		taken = append(taken, fleetwire.KeyLoad{Bucket: bucket, BusyMicros: uint64(used.Microseconds())})
	}
	clear(l.busy)
	return taken
}
