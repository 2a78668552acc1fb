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

// servedShard is the state of a shard that this agent owns at one epoch. The
// control goroutine creates it; the goroutines of requests register with it.
type servedShard struct {
	id       topology.ShardID
	epoch    topology.Epoch
	keyRange requestrecord.Range
	// grantedEpoch is the epoch at which the back end was granted the shard. It
	// may be lower than epoch; see superseded.go.
	grantedEpoch atomic.Uint64
	// revoked is set when answers of requests still in progress may no longer
	// be released.
	revoked atomic.Bool

	// completed counts requests that finished since the last report, and
	// busyMicros the slot time that they used.
	completed  atomic.Uint32
	busyMicros atomic.Uint32

	mutex   sync.Mutex
	running int
	// reports counts calls of takeLongRunning. longRunning is the number of
	// requests in progress that began before the last of these calls.
	reports     uint64
	longRunning int
	hotKeys     *hotkeys.Reporter
	closed      bool
	// idle is closed once the shard is closed and no request is in progress.
	idle chan struct{}
}

func newServedShard(id topology.ShardID, epoch topology.Epoch, keyRange requestrecord.Range) *servedShard {
	return &servedShard{id: id, epoch: epoch, keyRange: keyRange, hotKeys: hotkeys.NewReporter(), idle: make(chan struct{})}
}

// inFlightRequest is the registration of a request in progress with its shard.
type inFlightRequest struct {
	shard *servedShard
	// reportsAtStart is the number of reports made before the request began.
	reportsAtStart uint64
}

// beginRequest registers a request. It returns false if the shard is closed.
func (shard *servedShard) beginRequest() (inFlightRequest, bool) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.closed {
		return inFlightRequest{}, false
	}
	shard.running++
	return inFlightRequest{shard: shard, reportsAtStart: shard.reports}, true
}

// end removes the request's registration.
func (v inFlightRequest) end() {
	shard := v.shard
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.running--
	if v.reportsAtStart < shard.reports {
		shard.longRunning--
	}
	shard.closeIfIdle()
}

// takeLongRunning returns how many requests have been running since before the
// previous call.
func (shard *servedShard) takeLongRunning() uint32 {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	long := shard.longRunning
	shard.reports++
	shard.longRunning = shard.running
	return uint32(long)
}

// hasLongRunning reports whether a request has been running since before the
// last report.
func (shard *servedShard) hasLongRunning() bool {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	return shard.longRunning > 0
}

// close makes the shard refuse new requests. Those in progress continue.
func (shard *servedShard) close() {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	if shard.closed {
		return
	}
	shard.closed = true
	shard.closeIfIdle()
}

// isClosed reports whether the shard refuses new requests.
func (shard *servedShard) isClosed() bool {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	return shard.closed
}

// isIdle reports whether the shard is closed and has no request in progress.
func (shard *servedShard) isIdle() bool {
	select {
	case <-shard.idle:
		return true
	default:
		return false
	}
}

func (shard *servedShard) closeIfIdle() {
	if shard.closed && shard.running == 0 {
		close(shard.idle)
	}
}

// addSlotTime counts a finished request and the time for which it held a slot.
func (shard *servedShard) addSlotTime(slotTime time.Duration) {
	shard.completed.Add(1)
	shard.busyMicros.Add(uint32(slotTime.Microseconds()))
}

// takeLoad returns the load since the last call and resets it.
func (shard *servedShard) takeLoad() wire.ShardLoad {
	return wire.ShardLoad{
		Shard:       shard.id.Shard,
		Requests:    shard.completed.Swap(0),
		BusyMicros:  shard.busyMicros.Swap(0),
		LongRunning: shard.takeLongRunning(),
		HotKeys:     shard.takeHotKeys(),
	}
}

// countKey counts a request for a key in the statistics of hot keys.
func (shard *servedShard) countKey(key topology.KeyHash) {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	shard.hotKeys.Add(key)
}

// takeHotKeys returns the hot keys for the current report.
func (shard *servedShard) takeHotKeys() []wire.KeyLoad {
	shard.mutex.Lock()
	defer shard.mutex.Unlock()
	var hot []wire.KeyLoad
	for _, frequent := range shard.hotKeys.Report(wire.MaxHotKeys) {
		hot = append(hot, wire.KeyLoad{Key: frequent.Key, Share: float32(frequent.Share)})
	}
	return hot
}

// view is the immutable snapshot of the control goroutine's decisions that
// request goroutines read.
type view struct {
	// shards holds those that the back end was granted and whose request record
	// is open.
	shards map[topology.ShardID]*servedShard
	// unbound counts requests that belong to no shard. It is nil while the back
	// end accepts none.
	unbound *servedShard
	// changed is closed when a newer view is published.
	changed chan struct{}
}

func newView(shards map[topology.ShardID]*servedShard, unbound *servedShard) *view {
	return &view{shards: shards, unbound: unbound, changed: make(chan struct{})}
}
