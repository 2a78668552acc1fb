package consensus

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// transferState is a transfer of leadership in progress (Ongaro, section
// 3.10).
type transferState struct {
	target   topology.ReplicaID
	deadline time.Duration
	asked    bool
}

// TransferLeadership asks a voter to take over. The lease ends at once and
// proposals are refused; if the target does not take over within an election
// timeout, this replica stops leading all the same, because the target's vote
// may still be on its way.
func (c *Core) TransferLeadership(target topology.ReplicaID) error {
	if err := c.mayPropose(); err != nil {
		return err
	}
	if target == c.config.ID || !c.Membership().IsVoter(target) {
		return &ChangeError{Change{Member: Member{ID: target}}, "it cannot take over leadership"}
	}
	c.leading.transfer = transferState{target: target, deadline: c.now + c.config.ElectionTimeout}
	c.leading.appendWanted = true
	c.continueTransfer()
	return nil
}

// continueTransfer asks the target once it holds the whole log.
func (c *Core) continueTransfer() {
	transfer := &c.leading.transfer
	if c.role != Leader || transfer.target == 0 || transfer.asked {
		return
	}
	progress, ok := c.leading.peers[transfer.target]
	if ok && progress.Match == c.log.lastIndex() {
		transfer.asked = true
		c.send(Message{Kind: MessageTimeoutNow, To: transfer.target})
	}
}

func (c *Core) tickTransfer() {
	transfer := c.leading.transfer
	if transfer.target == 0 || c.now < transfer.deadline {
		return
	}
	if transfer.asked {
		c.fire(eventQuorumLost)
		return
	}
	c.leading.transfer = transferState{}
}
