package routing

import (
	"fmt"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// RevisionGapError reports that a delta does not start at the table's revision.
// The process then asks for a snapshot.
type RevisionGapError struct {
	Have topology.Revision
	From topology.Revision
}

// Error implements error.
func (e *RevisionGapError) Error() string {
	return fmt.Sprintf("routing delta starts at revision %d, table is at %d", e.From, e.Have)
}

// GroupMismatchError reports that routing data of another group arrived.
type GroupMismatchError struct {
	Have topology.GroupID
	Got  topology.GroupID
}

// Error implements error.
func (e *GroupMismatchError) Error() string {
	return fmt.Sprintf("routing data of group %d, table is of group %d", e.Got, e.Have)
}

// EpochDecreasedError reports that routing data would lower a shard's epoch,
// which no accepted change does.
type EpochDecreasedError struct {
	Shard topology.ShardID
	Have  topology.Epoch
	Got   topology.Epoch
}

// Error implements error.
func (e *EpochDecreasedError) Error() string {
	return fmt.Sprintf("shard %s: epoch %d after epoch %d", e.Shard, e.Got, e.Have)
}

// InvalidShardError reports that a shard does not fit the other shards of its
// service, or that its service is not known.
type InvalidShardError struct {
	Shard   topology.ShardID
	Problem string
}

// Error implements error.
func (e *InvalidShardError) Error() string {
	return fmt.Sprintf("shard %s: %s", e.Shard, e.Problem)
}

// InvalidServiceError reports that a service has no name, or that of another
// service.
type InvalidServiceError struct {
	Service topology.ServiceID
	Name    string
	Problem string
}

// Error implements error.
func (e *InvalidServiceError) Error() string {
	return fmt.Sprintf("service %d %q: %s", e.Service, e.Name, e.Problem)
}
