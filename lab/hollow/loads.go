package hollow

import (
	"sync"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// requestMicros is the slot time of one request that a hollow agent
	// reports, in microseconds.
	requestMicros = 1000
	// hotFactor is how many times its usual load a hot shard carries.
	hotFactor = 40
)

// loadSource invents the load that the agents of a worker report.
type loadSource struct {
	// every is after how many renewals an agent reports load.
	every int
	// requests of a usual shard between two reports.
	requests uint32

	mutex sync.RWMutex
	hot   map[topology.ShardID]bool
}

func newLoadSource(every int, requests uint32) *loadSource {
	return &loadSource{every: max(every, 1), requests: requests, hot: make(map[topology.ShardID]bool)}
}

// setHot says which shards run hot from now on, and no others.
func (l *loadSource) setHot(shards []topology.ShardID) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	clear(l.hot)
	for _, shard := range shards {
		l.hot[shard] = true
	}
}

// report returns what an agent that owns the shards saw of them.
func (l *loadSource) report(owned []topology.Shard) wire.Renew {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	renew := wire.Renew{Load: make([]wire.ShardLoad, 0, len(owned))}
	for _, shard := range owned {
		requests := l.requests
		if l.hot[shard.ID] {
			requests *= hotFactor
		}
		renew.Load = append(renew.Load, wire.ShardLoad{
			Shard: shard.ID.Shard, Requests: requests, BusyMicros: requests * requestMicros,
		})
		renew.Backend.Completed += requests
	}
	return renew
}
