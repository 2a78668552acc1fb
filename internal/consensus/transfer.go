package consensus

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// transferState is a leadership transfer in progress (Ongaro, section 3.10).
type transferState struct {
	target    topology.ReplicaID
	deadline  time.Duration
	requested bool
}

// TransferLeadership starts a transfer of leadership to a voter. The lease ends
// at once and proposals are refused. If the target was asked to take over but
// does not do so within an election timeout, this replica steps down anyway,
// because the target's vote requests may still be in flight.
func (c *Core) TransferLeadership(target topology.ReplicaID) error {
	if err := c.checkCanPropose(); err != nil {
		return err
	}
	if target == c.config.ID || !c.Membership().IsVoter(target) {
		return &ChangeError{Change{Member: Member{ID: target}}, "it cannot take over leadership"}
	}
	c.leading.transfer = transferState{target: target, deadline: c.now + c.config.ElectionTimeout}
	c.leading.needAppend = true
	c.continueTransfer()
	return nil
}

// continueTransfer asks the target to start an election once it holds the whole
// log.
func (c *Core) continueTransfer() {
	transfer := &c.leading.transfer
	if c.role != Leader || transfer.target == 0 || transfer.requested {
		return
	}
	progress, ok := c.leading.peers[transfer.target]
	if ok && progress.Match == c.log.lastIndex() {
		transfer.requested = true
		c.send(Message{Kind: MessageTimeoutNow, To: transfer.target})
	}
}

func (c *Core) tickTransfer() {
	transfer := c.leading.transfer
	if transfer.target == 0 || c.now < transfer.deadline {
		return
	}
	if transfer.requested {
		c.fire(eventQuorumLost)
		return
	}
	c.leading.transfer = transferState{}
}
