package agent

import (
	"sync"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// unanswered knows the grants under which requests were sent whose end was
// never learned: they may run at the back end for as long as it holds the
// grant. Any goroutine may use it.
type unanswered struct {
	mutex sync.Mutex
	// epochs holds, of each shard, the highest epoch that the back end was told.
	epochs map[topology.ShardID]topology.Epoch
}

// note must be called before the request leaves its shard.
func (u *unanswered) note(shard *served) {
	if shard == nil {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.epochs == nil {
		u.epochs = make(map[topology.ShardID]topology.Epoch)
	}
	u.epochs[shard.id] = max(u.epochs[shard.id], topology.Epoch(shard.granted.Load()))
}

// under reports whether there were any under the grant of an epoch.
func (u *unanswered) under(shard topology.ShardID, epoch topology.Epoch) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return epoch != 0 && u.epochs[shard] == epoch
}
