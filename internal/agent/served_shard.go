package agent

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/hotkeys"
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
	// granted is the epoch that the back end knows the shard by.
	granted atomic.Uint64
	// ended: answers of what still runs are not released as done any more.
	ended atomic.Bool

	// completed requests and the slot time they used since the last report.
	completed  atomic.Uint32
	busyMicros atomic.Uint32

	mutex   sync.Mutex
	running int
	// reports counts calls of takeLong; long counts the running requests that
	// had entered before the last one.
	reports uint64
	long    int
	hotKeys *hotkeys.Reporter
	closed  bool
	// idle is closed once the shard is closed and nothing runs.
	idle chan struct{}
}

func newServed(id topology.ShardID, epoch topology.Epoch, covers requestrecord.Range) *served {
	return &served{id: id, epoch: epoch, covers: covers, hotKeys: hotkeys.NewReporter(), idle: make(chan struct{})}
}

// visit is one request's stay in a shard.
type visit struct {
	shard *served
	// entered is the number of reports before the request entered.
	entered uint64
}

// enter counts a request in; false means that the shard takes none any more.
func (shard *served) enter() (visit, bool) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.closed {
		return visit{}, false
	}
	shard.running++
	return visit{shard: shard, entered: shard.reports}, true
}

// leave ends what enter began.
func (v visit) leave() {
	shard := v.shard
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.running--
	if v.entered < shard.reports {
		shard.long--
	}
	shard.signalIdle()
}

// takeLong returns how many requests have been running since before the last
// call.
func (shard *served) takeLong() uint32 {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	long := shard.long
	shard.reports++
	shard.long = shard.running
	return uint32(long)
}

// runsLong says whether a request has been running since before the last report.
func (shard *served) runsLong() bool {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	return shard.long > 0
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

// isClosed says whether the shard takes no more requests.
func (shard *served) isClosed() bool {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	return shard.closed
}

// isIdle says whether the shard is closed and nothing of it runs.
func (shard *served) isIdle() bool {
	select {
	case <-shard.idle:
		return true
	default:
		return false
	}
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
		Shard:       shard.id.Shard,
		Requests:    shard.completed.Swap(0),
		BusyMicros:  shard.busyMicros.Swap(0),
		LongRunning: shard.takeLong(),
		HotKeys:     shard.takeHotKeys(),
	}
}

// saw counts a request for a key.
func (shard *served) saw(key topology.KeyHash) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.hotKeys.Add(key)
}

// takeHotKeys returns the keys to name in this report.
func (shard *served) takeHotKeys() []wire.KeyLoad {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	var named []wire.KeyLoad
	for _, frequent := range shard.hotKeys.Report(wire.MaximumHotKeys) {
		named = append(named, wire.KeyLoad{Key: frequent.Key, Share: float32(frequent.Share)})
	}
	return named
}

// view is what requests see of the control goroutine's decisions. It is
// immutable.
type view struct {
	// shards that the back end is granted and whose record has begun.
	shards map[topology.ShardID]*served
	// unbound counts requests that are not bound to a shard; nil while the back
	// end takes none.
	unbound *served
	// changed is closed when a newer view is published.
	changed chan struct{}
}

func newView(shards map[topology.ShardID]*served, unbound *served) *view {
	return &view{shards: shards, unbound: unbound, changed: make(chan struct{})}
}
