package agent

import (
	"sync"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// unansweredRequests records the grants under which requests were sent whose
// end the agent never learned. They may run at the back end as long as it holds
// the grant. It is safe for concurrent use.
type unansweredRequests struct {
	mutex sync.Mutex
	// epochs maps each shard to the highest epoch at which the back end was
	// sent such a request.
	epochs map[topology.ShardID]topology.Epoch
}

// add records a request of the shard. It must be called before the request's
// registration with the shard ends.
func (u *unansweredRequests) add(shard *servedShard) {
	if shard == nil {
		return
	}
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.epochs == nil {
		u.epochs = make(map[topology.ShardID]topology.Epoch)
	}
	u.epochs[shard.id] = max(u.epochs[shard.id], topology.Epoch(shard.grantedEpoch.Load()))
}

// sentUnder reports whether such a request was sent under the shard's grant of
// the given epoch.
func (u *unansweredRequests) sentUnder(shard topology.ShardID, epoch topology.Epoch) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return epoch != 0 && u.epochs[shard] == epoch
}
