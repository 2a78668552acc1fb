package controlstate

import (
	"bytes"
	"crypto/sha256"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Digest identifies the content of an operator's change.
type Digest [sha256.Size]byte

// Command is one entry of the log. Exactly one of the pointers is set.
type Command struct {
	// UnixMilli is the proposer's time, for display.
	UnixMilli int64
	// RequestID, Digest, Author and ExpectedRevision belong to operators'
	// changes. RequestID is empty in the leader's own commands.
	RequestID        string
	Digest           Digest
	Author           string
	ExpectedRevision topology.Revision

	CreateService   *CreateService
	UpdateService   *UpdateService
	DeleteService   *DeleteService
	CreateBackend   *CreateBackend
	UpdateBackend   *UpdateBackend
	SetBackendState *SetBackendState
	RemoveBackend   *RemoveBackend
	MarkLoadShift   *MarkLoadShift

	AddController     *AddController
	PromoteController *PromoteController
	RemoveController  *RemoveController

	// The leader's own.
	ChangeOwnership    *ChangeOwnership
	AnnounceController *AnnounceController
}

// CreateService makes a service. Its identity is given by the state.
type CreateService struct{ Service topology.Service }

// UpdateService replaces the rules and policies of the service of that name.
type UpdateService struct{ Service topology.Service }

// DeleteService removes a service with its shards and back ends, all of which
// must be draining.
type DeleteService struct{ Name string }

// BackendName is how operators name a back end.
type BackendName struct {
	Service string
	Name    string
}

// CreateBackend makes a back end of the service of that name.
type CreateBackend struct {
	Service string
	Backend topology.Backend
}

// UpdateBackend replaces location, address and sizes of a back end.
type UpdateBackend struct {
	Service string
	Backend topology.Backend
}

// SetBackendState drains a back end or ends its drain.
type SetBackendState struct {
	Backend BackendName
	State   topology.BackendState
}

// RemoveBackend removes a back end that owns nothing.
type RemoveBackend struct{ Backend BackendName }

// MarkLoadShift announces a period in which keys run hot. It conflicts with no
// other change: an expected revision of zero accepts any.
type MarkLoadShift struct {
	Service string
	Keys    []topology.KeyHash
	// StartUnixMilli and EndUnixMilli bound the period.
	StartUnixMilli, EndUnixMilli int64
	// ExpectedSlots is the load of all the keys together.
	ExpectedSlots float64
}

// Controller is what the state knows of a member of the group.
type Controller struct {
	ID             topology.ReplicaID
	Incarnation    topology.Incarnation
	PeerAddress    string
	SessionAddress string
	RPCAddress     string
}

// AddController takes an identity for a new member. The leader then changes the
// membership of the group.
type AddController struct {
	Controller Controller
	// LowestID is above every identity in the group's membership.
	LowestID topology.ReplicaID
}

// PromoteController records the order to give a learner its vote.
type PromoteController struct {
	ID topology.ReplicaID
	// Member says that the group's membership names it, as the leader knows: it
	// may have told no addresses yet.
	Member bool
}

// RemoveController records the order to remove a member and forgets its
// addresses.
type RemoveController struct {
	ID topology.ReplicaID
	// Member is as in PromoteController.
	Member bool
}

// AnnounceController records the addresses of a member.
type AnnounceController struct {
	Controller Controller
	// LeaseDuration for which the member will grant leases, where it leads.
	LeaseDuration time.Duration
}

// ChangeOwnership is a batch of changes of shards.
type ChangeOwnership struct{ Changes []OwnershipChange }

// OwnershipChange is one step in a shard's life.
type OwnershipChange struct {
	Shard topology.ShardID
	// Epoch that the shard must have; otherwise the change is skipped.
	Epoch topology.Epoch
	Event ownership.ShardEvent
	// To is the new owner (EventAssign) or target (EventBeginMove).
	To topology.BackendID
	// SplitAt is the start of the new right part (EventSplit).
	SplitAt topology.KeyHash
	// MergeWith is the right neighbour, which ends (EventMerge), and its epoch.
	MergeWith      topology.ShardNumber
	MergeWithEpoch topology.Epoch
	// Reason for the operator, at most MaximumReason bytes are kept.
	Reason string
}

// Seal computes the digest of an operator's change. The proposer calls it, so
// that replicas of different versions agree.
func (c *Command) Seal() error {
	content := *c
	content.UnixMilli = 0
	content.RequestID = ""
	content.Digest = Digest{}
	content.clearLeaderFields()
	text, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("digest of command: %w", err)
	}
	c.Digest = sha256.Sum256(text)
	return nil
}

// clearLeaderFields removes what the leader adds to an operator's change and
// what may differ when it is sent again.
func (c *Command) clearLeaderFields() {
	if c.AddController != nil {
		content := *c.AddController
		content.LowestID = 0
		c.AddController = &content
	}
	if c.PromoteController != nil {
		c.PromoteController = &PromoteController{ID: c.PromoteController.ID}
	}
	if c.RemoveController != nil {
		c.RemoveController = &RemoveController{ID: c.RemoveController.ID}
	}
}

// EncodeCommand returns the log entry of a command.
func EncodeCommand(command Command) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(command); err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return buffer.Bytes(), nil
}

// DecodeCommand reads a log entry.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command); err != nil {
		return Command{}, fmt.Errorf("decode command of %d bytes: %w", len(data), err)
	}
	return command, nil
}
