package ownership

import (
	"errors"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Reasons that a holder may not serve a shard.
var (
	// ErrNoLease: the back end's lease is not valid.
	ErrNoLease = errors.New("no valid lease")
	// ErrNotOwner: another back end owns the shard, or none does.
	ErrNotOwner = errors.New("not the owner of the shard")
	// ErrReleasing: the shard is on its way to another back end and takes no
	// new work.
	ErrReleasing = errors.New("shard takes no new work: it is moving")
)

// WrongEpochError says that a shard is owned at another epoch than asked.
type WrongEpochError struct {
	Shard topology.ShardID
	// Asked is the epoch of the request, Held the holder's own.
	Asked, Held topology.Epoch
}

// Error implements error.
func (e *WrongEpochError) Error() string {
	return fmt.Sprintf("shard %s: epoch %d asked, %d held", e.Shard, e.Asked, e.Held)
}
