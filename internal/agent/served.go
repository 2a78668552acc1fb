package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// served is a shard that this agent owns at one epoch. The control goroutine
// makes it; requests enter and leave it.
type served struct {
	id     topology.ShardID
	epoch  topology.Epoch
	covers requestrecord.Range

	// completed requests and the slot time they used since the last report.
	completed  atomic.Uint32
	busyMicros atomic.Uint32

	mutex   sync.Mutex
	running int
	closed  bool
	// idle is closed once the shard is closed and nothing runs.
	idle chan struct{}
}

func newServed(id topology.ShardID, epoch topology.Epoch, covers requestrecord.Range) *served {
	return &served{id: id, epoch: epoch, covers: covers, idle: make(chan struct{})}
}

// enter counts a request in; false means that the shard takes none any more.
func (shard *served) enter() bool {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.closed {
		return false
	}
	shard.running++
	return true
}

// leave ends what enter began.
func (shard *served) leave() {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.running--
	shard.signalIdle()
}

// close lets no request in any more; those that run go on.
func (shard *served) close() {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.closed {
		return
	}
	shard.closed = true
	shard.signalIdle()
}

func (shard *served) signalIdle() {
	if shard.closed && shard.running == 0 {
		close(shard.idle)
	}
}

// used adds a finished request's slot time.
func (shard *served) used(slotTime time.Duration) {
	shard.completed.Add(1)
	shard.busyMicros.Add(uint32(slotTime.Microseconds()))
}

// takeLoad returns and resets what was used since the last call.
func (shard *served) takeLoad() wire.ShardLoad {
	return wire.ShardLoad{
		Shard:      shard.id.Shard,
		Requests:   shard.completed.Swap(0),
		BusyMicros: shard.busyMicros.Swap(0),
	}
}

// view is what requests see of the control goroutine's decisions. It is
// immutable.
type view struct {
	// shards that the back end is granted and whose record has begun.
	shards map[topology.ShardID]*served
	// changed is closed when a newer view is published.
	changed chan struct{}
}

func newView(shards map[topology.ShardID]*served) *view {
	return &view{shards: shards, changed: make(chan struct{})}
}
