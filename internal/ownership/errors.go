package ownership

import (
	"errors"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Reasons why a holder may not serve a shard.
var (
	// ErrNoLease is returned if the back end's lease is not valid.
	ErrNoLease = errors.New("no valid lease")
	// ErrNotOwner is returned if another back end owns the shard, or none does.
	ErrNotOwner = errors.New("not the owner of the shard")
	// ErrReleasing is returned for new requests if the shard is being moved to
	// another back end.
	ErrReleasing = errors.New("shard takes no new work: it is moving")
)

// WrongEpochError is returned if the shard is owned at another epoch than that
// of the request.
type WrongEpochError struct {
	Shard topology.ShardID
	// Asked is the epoch of the request, Held the epoch at which the holder
	// owns the shard.
	Asked, Held topology.Epoch
}

// Error implements error.
func (e *WrongEpochError) Error() string {
	return fmt.Sprintf("shard %s: epoch %d asked, %d held", e.Shard, e.Asked, e.Held)
}
