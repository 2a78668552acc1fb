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

// Digest is the SHA-256 hash of the content of an operator command.
type Digest [sha256.Size]byte

// Command is the content of one log entry. Exactly one of the pointers is set.
type Command struct {
	// UnixMilli is the proposer's time. It is shown to operators and decides
	// which load shifts have ended.
	UnixMilli int64
	// RequestID, Digest, Author and ExpectedRevision are set in operator
	// commands. RequestID is empty in leader commands.
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

	// Leader commands.
	ChangeOwnership    *ChangeOwnership
	AnnounceController *AnnounceController
}

// CreateService creates a service. The state assigns its ID.
type CreateService struct{ Service topology.Service }

// UpdateService replaces the rules and policies of the service with that name.
type UpdateService struct{ Service topology.Service }

// DeleteService removes a service with its shards and back ends. All back ends
// must be draining.
type DeleteService struct{ Name string }

// BackendName identifies a back end by the names that operators use.
type BackendName struct {
	Service string
	Name    string
}

// CreateBackend creates a back end in the service with that name.
type CreateBackend struct {
	Service string
	Backend topology.Backend
}

// UpdateBackend replaces the location, address and capacity of a back end.
type UpdateBackend struct {
	Service string
	Backend topology.Backend
}

// SetBackendState starts draining a back end, or makes it active again.
type SetBackendState struct {
	Backend BackendName
	State   topology.BackendState
}

// RemoveBackend removes a back end that owns no shards.
type RemoveBackend struct{ Backend BackendName }

// MarkLoadShift announces a period in which some keys will be hot. It cannot
// conflict with other changes if its expected revision is zero, which accepts
// any revision.
type MarkLoadShift struct {
	Service string
	Keys    []topology.KeyHash
	// StartUnixMilli and EndUnixMilli bound the period.
	StartUnixMilli, EndUnixMilli int64
	// ExpectedSlots is the expected total load of the keys.
	ExpectedSlots float64
}

// Controller is the identity and the addresses of a member of the group.
type Controller struct {
	ID             topology.ReplicaID
	Incarnation    topology.Incarnation
	PeerAddress    string
	SessionAddress string
	RPCAddress     string
}

// AddController allocates an ID for a new member. The leader then changes the
// group's membership.
type AddController struct {
	Controller Controller
	// LowestID is the lowest ID that may be allocated. It is greater than every
	// ID in the group's membership.
	LowestID topology.ReplicaID
}

// PromoteController records the request to make a learner a voter.
type PromoteController struct {
	ID topology.ReplicaID
	// Member is set by the leader if the controller is in the group's membership.
	// Such a controller may be unknown to the state, because it has not announced
	// its addresses yet.
	Member bool
}

// RemoveController records the request to remove a member and deletes its
// addresses.
type RemoveController struct {
	ID topology.ReplicaID
	// Member has the same meaning as in PromoteController.
	Member bool
}

// AnnounceController records the addresses of a member.
type AnnounceController struct {
	Controller Controller
	// LeaseDuration is the duration of the leases that the member grants while it
	// is the leader.
	LeaseDuration time.Duration
}

// ChangeOwnership is a batch of shard ownership changes.
type ChangeOwnership struct{ Changes []OwnershipChange }

// OwnershipChange is one state transition of a shard.
type OwnershipChange struct {
	Shard topology.ShardID
	// Epoch is the expected epoch of the shard. If the shard has another epoch,
	// the change is skipped.
	Epoch topology.Epoch
	Event ownership.ShardEvent
	// To is the new owner (EventAssign) or target (EventBeginMove).
	To topology.BackendID
	// SplitAt is the start of the new right-hand shard (EventSplit).
	SplitAt topology.KeyHash
	// MergeWith is the right neighbour, which is merged into the shard and
	// removed (EventMerge). MergeWithEpoch is its expected epoch.
	MergeWith      topology.ShardNumber
	MergeWithEpoch topology.Epoch
	// Reason is shown to operators. It is truncated to MaximumReason bytes.
	Reason string
}

// SetDigest sets the digest of an operator command. It is computed by the proposer
// and not by each replica, because replicas of different versions could compute
// different digests.
func (c *Command) SetDigest() error {
	content := *c
	content.UnixMilli = 0
	content.RequestID = ""
	content.ExpectedRevision = 0 // a client may read a newer revision before it resends
	content.Digest = Digest{}
	content.clearLeaderFields()
	text, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("digest of command: %w", err)
	}
	c.Digest = sha256.Sum256(text)
	return nil
}

// clearLeaderFields clears the fields that the leader adds to an operator
// command. Their values may differ when the command is sent again.
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

// EncodeCommand encodes a command as the data of a log entry.
func EncodeCommand(command Command) ([]byte, error) {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(command); err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return buffer.Bytes(), nil
}

// DecodeCommand decodes the data of a log entry.
func DecodeCommand(data []byte) (Command, error) {
	var command Command
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&command); err != nil {
		return Command{}, fmt.Errorf("decode command of %d bytes: %w", len(data), err)
	}
	return command, nil
}
